#include "dotterelshift/storage/format.h"

#include <xxhash.h>  // for XXH3_64bits

#include <cstring>   // for memcpy
#include <optional>  // for optional

#include "dotterelshift/base/error.h"  // for Error

namespace dotterelshift::storage {

namespace {

constexpr uint32_t kFileMagic = 0x46535444;   // DTSF
constexpr uint32_t kBlockMagic = 0x42535444;  // DTSB
constexpr size_t kCheckedHeaderBytes = 16;    // in either header

// Numbers are stored in the host's byte order, little endian.
template <typename Number>
void Put(std::string& bytes, Number number) {
  bytes.append(reinterpret_cast<const char*>(&number), sizeof(number));
}

template <typename Number>
Number Get(std::string_view bytes, size_t offset) {
  Number number;
  std::memcpy(&number, bytes.data() + offset, sizeof(number));
  return number;
}

uint64_t BlockChecksum(std::string_view header, std::string_view payload) {
  const uint64_t seed = XXH3_64bits(header.data(), kCheckedHeaderBytes);
  return XXH3_64bits_withSeed(payload.data(), payload.size(), seed);
}

// Returns the block at an offset, or nullopt if there is no valid one.
std::optional<Block> BlockAt(std::string_view content, uint64_t offset) {
  if (content.size() < offset + kBlockHeaderBytes) return std::nullopt;
  const std::string_view header = content.substr(offset, kBlockHeaderBytes);
  if (Get<uint32_t>(header, 0) != kBlockMagic) return std::nullopt;
  const uint64_t length = Get<uint32_t>(header, 4);
  const uint64_t whole = kBlockHeaderBytes + length + BlockPadding(length);
  if (content.size() - offset < whole) return std::nullopt;
  const std::string_view payload =
      content.substr(offset + kBlockHeaderBytes, length);
  if (Get<uint64_t>(header, kCheckedHeaderBytes) !=
      BlockChecksum(header, payload))
    return std::nullopt;
  return Block{Get<uint64_t>(header, 8), offset, payload};
}

// Whether a valid block starts at or after an offset.
bool HasBlockAfter(std::string_view content, uint64_t offset) {
  std::string magic;
  Put(magic, kBlockMagic);
  for (size_t found = content.find(magic, offset);
       found != std::string_view::npos; found = content.find(magic, found + 1))
    if (BlockAt(content, found).has_value()) return true;
  return false;
}

}  // namespace

void ThrowDamaged(const std::string& file, uint64_t offset,
                  const std::string& what) {
  throw Error(ErrorKind::kStorageDamaged,
              file + ", offset " + std::to_string(offset) + ": " + what);
}

std::string EncodeFileHeader(FileKind kind, uint32_t version) {
  std::string header;
  Put(header, kFileMagic);
  Put(header, static_cast<uint32_t>(kind));
  Put(header, version);
  Put(header, uint32_t{0});
  Put<uint64_t>(header, XXH3_64bits(header.data(), kCheckedHeaderBytes));
  return header;
}

uint32_t CheckFileHeader(const std::string& file, std::string_view content,
                         FileKind kind) {
  const bool good = content.size() >= kFileHeaderBytes &&
                    Get<uint32_t>(content, 0) == kFileMagic &&
                    Get<uint32_t>(content, 4) == static_cast<uint32_t>(kind) &&
                    Get<uint64_t>(content, kCheckedHeaderBytes) ==
                        XXH3_64bits(content.data(), kCheckedHeaderBytes);
  if (!good) ThrowDamaged(file, 0, "the file header is not valid");
  const auto version = Get<uint32_t>(content, 8);
  if (version < kOldestFormatVersion || version > kFormatVersion) {
    ThrowDamaged(file, 8,
                 "format version " + std::to_string(version) +
                     " cannot be read; this program reads up to " +
                     std::to_string(kFormatVersion));
  }
  return version;
}

std::string EncodeBlockHeader(uint64_t sequence, std::string_view payload) {
  std::string header;
  Put(header, kBlockMagic);
  Put(header, static_cast<uint32_t>(payload.size()));
  Put(header, sequence);
  Put(header, BlockChecksum(header, payload));
  return header;
}

std::string EncodeBlock(uint64_t sequence, std::string_view payload) {
  std::string block = EncodeBlockHeader(sequence, payload);
  block.reserve(block.size() + payload.size() + BlockPadding(payload.size()));
  block.append(payload);
  block.append(BlockPadding(payload.size()), '\0');
  return block;
}

Blocks ReadBlocks(const std::string& file, std::string_view content,
                  Tail tail) {
  Blocks result;
  uint64_t offset = kFileHeaderBytes;
  while (offset < content.size()) {
    const std::optional<Block> block = BlockAt(content, offset);
    if (!block.has_value()) break;
    const bool follows = result.blocks.empty() ||
                         block->sequence == result.blocks.back().sequence + 1;
    if (!follows)
      ThrowDamaged(file, offset, "a block is missing before this offset");
    result.blocks.push_back(*block);
    const size_t length = block->payload.size();
    offset += kBlockHeaderBytes + length + BlockPadding(length);
  }
  const bool torn = offset < content.size();
  if (torn && (tail == Tail::kWhole || HasBlockAfter(content, offset + 1)))
    ThrowDamaged(file, offset, "a block's checksum does not match");
  result.valid_bytes = offset;
  return result;
}

}  // namespace dotterelshift::storage
