#include <algorithm>    // for sort
#include <charconv>     // for from_chars
#include <string_view>  // for string_view

#include "dotterelshift/gateway/core_impl.h"  // for CoreImpl

namespace dotterelshift::gateway {
namespace {

// A notice of another entry was on its way for no longer than this. Runs that
// began less than this before it may be newer than what it tells of.
constexpr Duration kMaxNoticeDelay = 100ms;

// 0: not a number, so that nothing is known of the events before.
uint64_t EventNumber(std::string_view id) {
  uint64_t number = 0;
  std::from_chars(id.data(), id.data() + id.size(), number);
  return number;
}

bool IsResumableStream(const ActiveRequest& active) {
  return active.route != nullptr && active.route->kind == RouteKind::kStream &&
         active.route->resumable;
}

origins::StreamKey StreamOf(const ActiveRequest& active) {
  const std::string& first = active.info.first_caller_id;
  return origins::StreamKeyOf(active.team,
                              first.empty() ? active.info.caller_id : first);
}

// Whether the run began before its caller resumed the stream at another entry.
// Each run that resumes it begins after an event, and later ones never after an
// earlier event.
bool IsEarlier(const ActiveRequest& active, const StreamTakeover& takeover) {
  if (active.info.first_caller_id.empty()) return true;
  const uint64_t after = EventNumber(active.info.last_event_id);
  if (after != takeover.after_event) return after < takeover.after_event;
  return active.arrived + kMaxNoticeDelay < takeover.at;
}

}  // namespace

// The caller may have left its connection without closing it, or the close has
// not arrived: the run before would go on beside the next one.
void CoreImpl::TakeOver(const ActiveRequest& active, Instant now) {
  if (!IsResumableStream(active) || active.info.first_caller_id.empty()) return;
  const StreamTakeover takeover{StreamOf(active),
                                EventNumber(active.info.last_event_id), now};
  m_takeovers.push_back(takeover);
  std::vector<RequestId> earlier;
  for (const auto& [id, other] : m_active) {
    if (id != active.id && IsResumableStream(other) &&
        StreamOf(other) == takeover.stream)
      earlier.push_back(id);
  }
  EndRuns(earlier, "", now);
}

void CoreImpl::OnTakenOver(const StreamTakeover& takeover, const HostId& by,
                           Instant now) {
  std::vector<RequestId> earlier;
  for (const auto& [id, active] : m_active) {
    if (IsResumableStream(active) && StreamOf(active) == takeover.stream &&
        IsEarlier(active, takeover))
      earlier.push_back(id);
  }
  EndRuns(earlier, by, now);
}

void CoreImpl::EndRuns(const std::vector<RequestId>& runs, const HostId& by,
                       Instant now) {
  std::vector<RequestId> ordered = runs;
  std::ranges::sort(ordered);
  for (const RequestId id : ordered) {
    ActiveRequest& active = m_active.at(id);
    ++m_resumptions.taken_over;
    Log("stream_taken_over", active,
        {{"by", by.empty() ? "this entry" : by},
         {"endpoint", active.attempt.endpoint.id},
         {"arrived_ms_ago", std::to_string(ToMs(now - active.arrived))},
         {"head_relayed", active.head_relayed ? "yes" : "no"}},
        active.attempt.id);
    CancelAttemptIfSent(active);
    Fail(active, ErrorKind::kEndpointFailed, 0s, now);
  }
}

}  // namespace dotterelshift::gateway
