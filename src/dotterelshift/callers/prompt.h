#ifndef DOTTERELSHIFT_SRC_CALLERS_PROMPT_H_
#define DOTTERELSHIFT_SRC_CALLERS_PROMPT_H_

#include <cstdint>      // for uint64_t
#include <string_view>  // for string_view
#include <vector>       // for vector

namespace dotterelshift::callers {

// Whether the bytes are UTF-8 by RFC 3629: no overlong forms, no surrogates,
// nothing past U+10FFFF.
bool IsUtf8(std::string_view bytes);

// Hashes of the leading whole blocks of a prompt, shortest prefix first. Each
// is XXH64 of its block, seeded by the one before; the first by the model's
// name, so that the same text under two models differs.
std::vector<uint64_t> PrefixHashes(std::string_view model,
                                   std::string_view text, size_t block_bytes,
                                   size_t max_blocks);

}  // namespace dotterelshift::callers

#endif  // DOTTERELSHIFT_SRC_CALLERS_PROMPT_H_
