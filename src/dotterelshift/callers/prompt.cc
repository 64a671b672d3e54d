#include "dotterelshift/callers/prompt.h"

#include <xxhash.h>  // for XXH64

namespace dotterelshift::callers {
namespace {

// Length of the UTF-8 sequence that a lead byte starts (0 for an invalid lead
// byte), and the valid range of the second byte. The range excludes overlong
// forms, surrogates and code points above U+10FFFF.
struct Utf8Lead {
  size_t length = 0;
  uint8_t min_allowed = 0x80;
  uint8_t max_allowed = 0xBF;
};

Utf8Lead Utf8LeadOf(uint8_t byte) {
  if (byte < 0x80) return {1};
  if (byte >= 0xC2 && byte <= 0xDF) return {2};
  if (byte == 0xE0) return {3, 0xA0, 0xBF};
  if (byte == 0xED) return {3, 0x80, 0x9F};
  if (byte >= 0xE1 && byte <= 0xEF) return {3};
  if (byte == 0xF0) return {4, 0x90, 0xBF};
  if (byte >= 0xF1 && byte <= 0xF3) return {4};
  if (byte == 0xF4) return {4, 0x80, 0x8F};
  return {};
}

}  // namespace

bool IsUtf8(std::string_view bytes) {
  size_t i = 0;
  while (i < bytes.size()) {
    const Utf8Lead lead = Utf8LeadOf(static_cast<uint8_t>(bytes[i]));
    if (lead.length == 0 || lead.length > bytes.size() - i) return false;
    for (size_t k = 1; k < lead.length; ++k) {
      const auto next = static_cast<uint8_t>(bytes[i + k]);
      const uint8_t min_allowed = k == 1 ? lead.min_allowed : 0x80;
      const uint8_t max_allowed = k == 1 ? lead.max_allowed : 0xBF;
      if (next < min_allowed || next > max_allowed) return false;
    }
    i += lead.length;
  }
  return true;
}

std::vector<uint64_t> PrefixHashes(std::string_view model,
                                   std::string_view text, size_t block_bytes,
                                   size_t max_blocks) {
  std::vector<uint64_t> hashes;
  uint64_t hash = XXH64(model.data(), model.size(), 0);
  while (text.size() >= block_bytes && hashes.size() < max_blocks) {
    hash = XXH64(text.data(), block_bytes, hash);
    hashes.push_back(hash);
    text.remove_prefix(block_bytes);
  }
  return hashes;
}

}  // namespace dotterelshift::callers
