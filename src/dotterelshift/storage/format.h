#ifndef DOTTERELSHIFT_STORAGE_FORMAT_H_
#define DOTTERELSHIFT_STORAGE_FORMAT_H_

#include <cstdint>      // for uint32_t
#include <string>       // for string
#include <string_view>  // for string_view
#include <vector>       // for vector

namespace dotterelshift::storage {

// Files are written in kFormatVersion. All versions from kOldestFormatVersion
// on can be read.
inline constexpr uint32_t kFormatVersion = 1;
inline constexpr uint32_t kOldestFormatVersion = 1;

enum class FileKind : uint32_t {
  kIdentity = 1,
  kLog = 2,
  kSnapshot = 3,
  kSpool = 4,
  kDepartures = 5
};

// Encodes the header at the start of every file.
std::string EncodeFileHeader(FileKind kind, uint32_t version = kFormatVersion);
inline constexpr size_t kFileHeaderBytes = 24;

// Checks a file's header and returns its format version. Throws
// Error(kStorageDamaged) with the file name if the header is invalid, of
// another kind, or of an unsupported version.
uint32_t CheckFileHeader(const std::string& file, std::string_view content,
                         FileKind kind);

// Encodes the header of a block, the unit of a synced write. It contains a
// sequence number, which increases by one from block to block, and a checksum
// of the header and the payload.
std::string EncodeBlockHeader(uint64_t sequence, std::string_view payload);
inline constexpr size_t kBlockHeaderBytes = 24;

// Number of zero bytes after a payload. They align the next block to 8 bytes,
// so that its numbers can be read in place.
constexpr size_t BlockPadding(size_t payload_bytes) {
  return (8 - payload_bytes % 8) % 8;
}

// Encodes a complete block: header, payload and padding.
std::string EncodeBlock(uint64_t sequence, std::string_view payload);

struct Block {
  uint64_t sequence = 0;
  uint64_t offset = 0;
  std::string_view payload;
};

struct Blocks {
  std::vector<Block> blocks;
  uint64_t valid_bytes = 0;  // size of the valid prefix; the rest is torn
};

// Whether a file may end with a write that was interrupted by a crash.
enum class Tail { kMayBeTorn, kWhole };

// Splits the content after a file's header into blocks. A torn tail is an
// invalid block without a valid one after it: each block is written only after
// the previous one was synced, so a valid block after an invalid one proves
// damage. Throws Error(kStorageDamaged) with file and offset.
Blocks ReadBlocks(const std::string& file, std::string_view content, Tail tail);

// Throws Error(kStorageDamaged) with file and offset.
[[noreturn]] void ThrowDamaged(const std::string& file, uint64_t offset,
                               const std::string& what);

}  // namespace dotterelshift::storage

#endif  // DOTTERELSHIFT_STORAGE_FORMAT_H_
