#include "dotterelshift/http/response_gate.h"

#include <utility>  // for move
#include <vector>   // for vector

namespace dotterelshift::http {
namespace {

// The rest of a head that was sent in two packets arrives within this time.
constexpr Duration kLookInterval = 1ms;

// After this time a part of a head is left to libcurl.
constexpr Duration kMaxHold = 250ms;

}  // namespace

bool ResponseGate::Begin(int descriptor, const DueResponse& due) {
  Awaited awaited;
  const DueResponse none{.is_due = nullptr, .on_skipped = due.on_skipped};
  if (awaited.filter.Look(descriptor, none) != FilterResult::kNothing)
    return false;
  if (!due.is_due) return true;
  awaited.due = due;
  m_awaited[descriptor] = std::move(awaited);
  return true;
}

ReadDecision ResponseGate::OnReadable(int descriptor) {
  const auto found = m_awaited.find(descriptor);
  if (found == m_awaited.end()) return ReadDecision::kRead;
  Awaited& awaited = found->second;
  const Instant now = m_loop.Now();
  switch (awaited.filter.Look(descriptor, awaited.due)) {
    case FilterResult::kNothing:
      awaited.partial_since = {};
      return ReadDecision::kHold;
    case FilterResult::kPartial:
      if (awaited.partial_since == Instant{}) awaited.partial_since = now;
      if (now - awaited.partial_since >= kMaxHold) break;
      m_timer.ArmIn(kLookInterval);
      return ReadDecision::kHold;
    case FilterResult::kResponse:
      break;
    case FilterResult::kEndless:
      return ReadDecision::kGiveUp;
  }
  m_awaited.erase(found);
  return ReadDecision::kRead;
}

bool ResponseGate::IsHeld(int descriptor) const {
  const auto found = m_awaited.find(descriptor);
  return found != m_awaited.end() && found->second.partial_since != Instant{};
}

void ResponseGate::LookAgain() {
  std::vector<int> held;
  for (const auto& [descriptor, awaited] : m_awaited)
    if (awaited.partial_since != Instant{}) held.push_back(descriptor);
  for (const int descriptor : held) m_look_again(descriptor);
}

}  // namespace dotterelshift::http
