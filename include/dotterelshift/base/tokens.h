#ifndef DOTTERELSHIFT_BASE_TOKENS_H_
#define DOTTERELSHIFT_BASE_TOKENS_H_

#include <cstdint>  // for int64_t

namespace dotterelshift {

// A number of tokens. Stored amounts are never negative. Plain services are
// charged in the same unit.
using Tokens = int64_t;

// The largest amount accepted from settings and operators; small enough that
// the sum over all budgets does not overflow.
inline constexpr Tokens kMaxTokens = 1'000'000'000'000'000;

}  // namespace dotterelshift

#endif  // DOTTERELSHIFT_BASE_TOKENS_H_
