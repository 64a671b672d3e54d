#include "dotterelshift/serving/spend.h"

#include <algorithm>  // for max, min
#include <cstdlib>    // for llabs

namespace dotterelshift::serving {

Spend SpendOf(const Request& request, const Attempt& attempt, AttemptEnd end) {
  const bool ran = attempt.dispatched && end != AttemptEnd::kNotSent &&
                   end != AttemptEnd::kRefusedBeforeRun;
  if (!ran) return {};
  if (end == AttemptEnd::kCallerError && !attempt.has_usage) return {};
  if (request.IsService())
    return {std::min(attempt.reserved, request.caller.prompt_bound), 0};

  if (end == AttemptEnd::kDied || end == AttemptEnd::kTimedOut)
    return {attempt.reserved, 0};

  const Tokens prompt =
      attempt.has_usage ? attempt.usage_prompt : request.caller.prompt_bound;
  const Tokens output = std::max(attempt.counted_output, attempt.usage_output);
  Spend spend;
  spend.spent = std::min(attempt.reserved, prompt + output);
  if (attempt.has_usage)
    spend.difference =
        std::llabs(attempt.usage_output - attempt.counted_output);
  return spend;
}

Spend SpendOfCancelled(const Request& request, const Attempt& attempt) {
  Spend spend = SpendOf(request, attempt, AttemptEnd::kWhole);
  const bool wrote = attempt.dispatched && !request.IsService();
  const Tokens unseen = wrote ? kCancelAllowance : 0;
  spend.spent = std::min(attempt.reserved, spend.spent + unseen);
  return spend;
}

}  // namespace dotterelshift::serving
