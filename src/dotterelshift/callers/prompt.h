#ifndef DOTTERELSHIFT_SRC_CALLERS_PROMPT_H_
#define DOTTERELSHIFT_SRC_CALLERS_PROMPT_H_

#include <cstdint>      // for uint64_t
#include <string_view>  // for string_view
#include <vector>       // for vector

namespace dotterelshift::callers {

// Whether the bytes are valid UTF-8 (RFC 3629): no overlong forms, no
// surrogates, nothing above U+10FFFF.
bool IsUtf8(std::string_view bytes);

// Hashes of the leading full blocks of a prompt, shortest prefix first. Each is
// the XXH64 of its block, seeded with the previous hash. The first is seeded
// with the hash of the model's name, so that the same text hashes differently
// for different models.
std::vector<uint64_t> PrefixHashes(std::string_view model,
                                   std::string_view text, size_t block_bytes,
                                   size_t max_blocks);

}  // namespace dotterelshift::callers

#endif  // DOTTERELSHIFT_SRC_CALLERS_PROMPT_H_
