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

// The consumption of an attempt that ended by `end`; a cancelled one counts as
// kDied. The larger of the engine's usage and the entry's own count, never
// above the reservation; where the engine said nothing of the prompt, its
// bound. Nothing for an attempt that no endpoint ran.
Spend SpendOf(const Request& request, const Attempt& attempt, AttemptEnd end);

}  // namespace dotterelshift::serving

#endif  // DOTTERELSHIFT_SERVING_SPEND_H_
