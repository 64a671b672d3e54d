#ifndef DOTTERELSHIFT_SERVING_SPEND_H_
#define DOTTERELSHIFT_SERVING_SPEND_H_

#include "dotterelshift/base/tokens.h"           // for Tokens
#include "dotterelshift/serving/request.h"       // for Attempt, Request
#include "dotterelshift/serving/request_core.h"  // for AttemptEnd

namespace dotterelshift::serving {

// The tokens that an attempt consumed.
struct Spend {
  Tokens spent = 0;
  Tokens difference = 0;  // between the engine's report and the entry's count
};

// Tokens that an engine may generate for a stream after the last received
// chunk, until it notices that the connection was closed.
inline constexpr Tokens kCancelAllowance = 256;

// The consumption of an attempt that ended by `end`: the larger of the engine's
// reported usage and the entry's own count, limited to the reservation. Without
// a usage report, the prompt counts with its upper bound. An attempt whose
// connection broke or that timed out counts with its whole reservation, because
// the engine may have generated all of it without this entry receiving it. An
// attempt that no endpoint ran consumes nothing.
Spend SpendOf(const Request& request, const Attempt& attempt, AttemptEnd end);

// The consumption of an attempt that this entry cancelled while its connection
// was intact: the received tokens plus kCancelAllowance.
Spend SpendOfCancelled(const Request& request, const Attempt& attempt);

}  // namespace dotterelshift::serving

#endif  // DOTTERELSHIFT_SERVING_SPEND_H_
