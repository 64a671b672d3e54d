#ifndef DOTTERELSHIFT_BASE_TOKENS_H_
#define DOTTERELSHIFT_BASE_TOKENS_H_

#include <cstdint>  // for int64_t

namespace dotterelshift {

// An amount of tokens. Never negative in a stored amount; plain services are
// charged in the same unit.
using Tokens = int64_t;

// The largest amount that settings and operators may name, far from overflow
// when summed over all budgets.
inline constexpr Tokens kMaxTokens = 1'000'000'000'000'000;

}  // namespace dotterelshift

#endif  // DOTTERELSHIFT_BASE_TOKENS_H_
