#ifndef DOTTERELSHIFT_STORAGE_FORMAT_H_
#define DOTTERELSHIFT_STORAGE_FORMAT_H_

#include <cstdint>      // for uint32_t
#include <string>       // for string
#include <string_view>  // for string_view
#include <vector>       // for vector

namespace dotterelshift::storage {

// The version that is written; every one from the oldest on is read.
inline constexpr uint32_t kFormatVersion = 1;
inline constexpr uint32_t kOldestFormatVersion = 1;

enum class FileKind : uint32_t {
  kIdentity = 1,
  kLog = 2,
  kSnapshot = 3,
  kSpool = 4
};

// The header that every file begins with, and its size.
std::string EncodeFileHeader(FileKind kind, uint32_t version = kFormatVersion);
inline constexpr size_t kFileHeaderBytes = 24;

// Throws Error(kStorageDamaged) naming the file when the header is not one of
// this kind, or of a version that cannot be read. Returns the version.
uint32_t CheckFileHeader(const std::string& file, std::string_view content,
                         FileKind kind);

// A block is the unit of a synced write: its header holds a number that rises
// by one from block to block, and a checksum over all of it.
std::string EncodeBlockHeader(uint64_t sequence, std::string_view payload);
inline constexpr size_t kBlockHeaderBytes = 24;

// Zeros after a payload, so that each block begins where its numbers can be
// read in place.
constexpr size_t BlockPadding(size_t payload_bytes) {
  return (8 - payload_bytes % 8) % 8;
}

// A whole block: header, payload, padding.
std::string EncodeBlock(uint64_t sequence, std::string_view payload);

struct Block {
  uint64_t sequence = 0;
  uint64_t offset = 0;
  std::string_view payload;
};

struct Blocks {
  std::vector<Block> blocks;
  uint64_t valid_bytes = 0;  // what follows is torn
};

// Whether a file may end in a write that a crash interrupted.
enum class Tail { kMayBeTorn, kWhole };

// Cuts the content after a file's header into its blocks. A torn tail is a bad
// block with no good one behind it: each block is written only after the one
// before it was synced, so that a good block behind a bad one proves damage.
// Throws Error(kStorageDamaged) naming file and offset.
Blocks ReadBlocks(const std::string& file, std::string_view content, Tail tail);

// The exception for a damaged file.
[[noreturn]] void ThrowDamaged(const std::string& file, uint64_t offset,
                               const std::string& what);

}  // namespace dotterelshift::storage

#endif  // DOTTERELSHIFT_STORAGE_FORMAT_H_
