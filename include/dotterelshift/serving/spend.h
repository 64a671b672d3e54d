#ifndef DOTTERELSHIFT_SERVING_SPEND_H_
#define DOTTERELSHIFT_SERVING_SPEND_H_

#include "dotterelshift/base/tokens.h"           // for Tokens
#include "dotterelshift/serving/request.h"       // for Attempt, Request
#include "dotterelshift/serving/request_core.h"  // for AttemptEnd

namespace dotterelshift::serving {

// What an attempt consumed.
struct Spend {
  Tokens spent = 0;
  Tokens difference = 0;  // between the engine's report and the own count
};

// What an engine may write of one stream between the last piece that came here
// and its hearing that the connection was closed.
inline constexpr Tokens kCancelAllowance = 256;

// The consumption of an attempt that ended by `end`: the larger of the engine's
// usage and the entry's own count, never above the reservation; where the
// engine said nothing of the prompt, its bound. An attempt whose connection
// broke or that timed out counts with its whole reservation: the engine may
// have written all of it, to nobody. Nothing for an attempt that no endpoint
// ran.
Spend SpendOf(const Request& request, const Attempt& attempt, AttemptEnd end);

// The consumption of an attempt that this entry cancelled over a connection
// that held: what came, and the allowance.
Spend SpendOfCancelled(const Request& request, const Attempt& attempt);

}  // namespace dotterelshift::serving

#endif  // DOTTERELSHIFT_SERVING_SPEND_H_
