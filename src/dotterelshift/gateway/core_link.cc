#include <algorithm>  // for max, min
#include <iterator>   // for next

#include "dotterelshift/gateway/core_impl.h"  // for CoreImpl

namespace dotterelshift::gateway {
namespace {

// A request may wait for the outbound link until its target divided by this has
// passed since its arrival. The rest of the target is left for running it.
constexpr int kLinkWaitDivisor = 2;

// Each attempt, including one that begins late, may wait for at least the
// target divided by this.
constexpr int kRetryLinkWaitDivisor = 4;

std::string Ms(Duration duration) { return std::to_string(ToMs(duration)); }

}  // namespace

// Whether the request may be sent now: the pacer admits it, and no more urgent
// request is queued.
bool CoreImpl::CanSendNow(const ActiveRequest& active, Instant now) const {
  if (m_dependencies.pacer == nullptr) return true;
  const bool first =
      m_waiting.empty() || active.Rank() <= m_waiting.begin()->first;
  return first && m_dependencies.pacer->MaySend(active.info.onward_bytes, now);
}

Instant CoreImpl::LinkDeadline(const ActiveRequest& active, Instant now) {
  const Duration target = active.route->target;
  const Instant until = std::max(active.arrived + target / kLinkWaitDivisor,
                                 now + target / kRetryLinkWaitDivisor);
  return std::min(until, active.deadline);
}

bool CoreImpl::CanSendInTime(const ActiveRequest& active, Instant now) const {
  return CanSendNow(active, now) ||
         now + LinkWait(active, now) <= LinkDeadline(active, now);
}

// A request in stage kSlotReserved keeps its slot while it waits, as its
// prefill start has been reached.
void CoreImpl::WaitForLink(ActiveRequest& active, Instant now) {
  if (active.link_deadline == Instant{})
    active.link_deadline = LinkDeadline(active, now);
  if (active.stage != Stage::kSlotReserved) active.stage = Stage::kWaitsForLink;
  if (now + LinkWait(active, now) > active.link_deadline)
    return RefuseForLink(active, now);
  active.link_queued_at = now;
  const auto place =
      m_waiting.emplace(active.Rank(), active.info.onward_bytes).first;
  if (std::next(place) != m_waiting.end()) m_recheck_link_waits = true;
  SetTimer(active, active.link_deadline);
}

void CoreImpl::SendWaiting(Instant now) {
  while (!m_waiting.empty() &&
         m_dependencies.pacer->MaySend(m_waiting.begin()->second, now)) {
    ActiveRequest& active = m_active.at(m_waiting.begin()->first.id);
    active.link_wait += now - active.link_queued_at;
    LeaveLinkQueue(active);
    if (active.stage == Stage::kSlotReserved)
      Send(active, now);
    else
      Place(active, now);
  }
  RefuseOverdue(now);
}

// Refuses queued requests that can no longer be sent in time, because more
// urgent requests or response traffic used the link before them.
void CoreImpl::RefuseOverdue(Instant now) {
  m_recheck_link_waits = false;
  uint64_t before = 0;
  std::vector<RequestId> late;
  for (const auto& [rank, bytes] : m_waiting) {
    const Duration wait = m_dependencies.pacer->WaitBehind(before, bytes, now);
    if (now + wait > m_active.at(rank.id).link_deadline)
      late.push_back(rank.id);
    else
      before += bytes;
  }
  for (const RequestId id : late) RefuseForLink(m_active.at(id), now);
}

// The retry delay is short, as the links of other entries have capacity now.
void CoreImpl::RefuseForLink(ActiveRequest& active, Instant now) {
  const bool waited = active.link_queued_at != Instant{};
  const Duration queued = waited ? now - active.link_queued_at : 0s;
  Log("link_refused", active,
      {{"wait_ms", Ms(LinkWait(active, now))},
       {"bytes_ahead", std::to_string(BytesAhead(active.Rank()))},
       {"bytes", std::to_string(active.info.onward_bytes)},
       {"waited_ms", Ms(active.link_wait + queued)},
       {"left_ms", Ms(active.link_deadline - now)}});
  ++m_link_refused;
  if (active.may_have_run)
    return Fail(active, ErrorKind::kEndpointFailed, 0s, now);
  Fail(active, ErrorKind::kOverloaded,
       JitteredRetryAfter(active, m_options.min_link_retry_after, now), now);
}

// Expected wait from now, behind the more urgent requests in the queue.
Duration CoreImpl::LinkWait(const ActiveRequest& active, Instant now) const {
  return m_dependencies.pacer->WaitBehind(BytesAhead(active.Rank()),
                                          active.info.onward_bytes, now);
}

uint64_t CoreImpl::BytesAhead(const LinkRank& rank) const {
  uint64_t bytes = 0;
  for (auto at = m_waiting.begin(); at != m_waiting.end() && at->first < rank;
       ++at)
    bytes += at->second;
  return bytes;
}

void CoreImpl::LeaveLinkQueue(ActiveRequest& active) {
  if (active.link_queued_at == Instant{}) return;
  m_waiting.erase(active.Rank());
  active.link_queued_at = {};
}

void CoreImpl::OnHandedToLink(const ActiveRequest& active, Instant now) {
  if (m_dependencies.pacer == nullptr) return;
  m_dependencies.pacer->OnPrompt(active.attempt.id, active.info.onward_bytes,
                                 now);
}

void CoreImpl::OnNotSent(AttemptId attempt, Instant now) {
  if (m_dependencies.pacer != nullptr)
    m_dependencies.pacer->OnNotSent(attempt, now);
}

Instant CoreImpl::NextLinkTimer() const {
  if (m_waiting.empty()) return Instant::max();
  if (m_recheck_link_waits) return {};
  return m_dependencies.pacer->Next(m_waiting.begin()->second);
}

LinkQueue CoreImpl::WaitingForLink() const {
  LinkQueue queue{m_waiting.size(), 0, m_link_refused};
  for (const auto& [rank, bytes] : m_waiting) queue.bytes += bytes;
  return queue;
}

}  // namespace dotterelshift::gateway
