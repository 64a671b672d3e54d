#include "dotterelshift/gateway/granter_lease.h"

#include <algorithm>   // for count_if, lower_bound, max, sort
#include <functional>  // for greater

namespace dotterelshift::gateway {

void GranterLease::SetPeers(std::vector<HostId> peers) {
  std::sort(peers.begin(), peers.end());
  m_peers = std::move(peers);
}

void GranterLease::OnGroup(const EntryGroup& group, Instant confirmed,
                           Instant now) {
  if (m_confirmed && confirmed <= *m_confirmed) return;
  const bool first = !m_confirmed;
  const bool other = !first && group.data_centre != m_group.data_centre;
  m_confirmed = confirmed;
  if (other) m_counts.clear();
  if (first) {
    m_votes_from =
        now + std::max<Duration>(0s, m_options.join_time - group.counted_for);
  } else if (other) {
    m_votes_from = now + m_options.join_time;
  }
  m_group = group;
  m_counts[group.entries] = confirmed;
  std::erase_if(m_counts, [&](const auto& count) {
    return confirmed - count.second >= m_options.count_memory;
  });
}

size_t GranterLease::Entries() const {
  return m_counts.empty() ? 0 : m_counts.rbegin()->first;
}

bool GranterLease::MayVote(Instant now) const {
  const Instant known = m_confirmed.value_or(m_started);
  return now - m_started >= m_options.lease && now >= m_votes_from &&
         now - known < m_options.count_memory;
}

bool GranterLease::VoteFor(const HostId& candidate, Duration duration,
                           uint64_t round, Instant now) {
  if (!MayVote(now)) return false;
  const bool free = now >= m_vote.until || m_vote.candidate == candidate;
  if (free) m_vote = {candidate, now + duration, round};
  return free;
}

wire::LeaseVoteT GranterLease::OnRequest(const HostId& from,
                                         const wire::LeaseRequestT& request,
                                         Instant now) {
  wire::LeaseVoteT vote;
  vote.round = request.round;
  vote.entries = static_cast<uint32_t>(Entries());
  const bool same_group =
      !m_confirmed || request.data_centre == m_group.data_centre;
  if (!same_group) return vote;
  if (request.duration_ms == 0) {
    const bool newer = request.round > m_vote.round;
    if (m_vote.candidate == from && newer) m_vote = {};
    if (m_seen.candidate == from) m_seen = {};
    return vote;
  }
  const Duration duration = std::chrono::milliseconds(request.duration_ms);
  vote.granted = VoteFor(from, duration, request.round, now);
  const bool unknown = now >= m_seen.until || m_seen.candidate == from;
  if (!vote.granted && !MayVote(now) && unknown)
    m_seen = {from, now + duration};
  return vote;
}

HostId GranterLease::Holder(Instant now) const {
  if (now < m_vote.until) return m_vote.candidate;
  return now < m_seen.until ? m_seen.candidate : HostId();
}

size_t GranterLease::Rank() const {
  const auto place =
      std::lower_bound(m_peers.begin(), m_peers.end(), m_options.self);
  return static_cast<size_t>(place - m_peers.begin());
}

wire::LeaseRequestT GranterLease::MakeRequest(Duration duration) const {
  wire::LeaseRequestT request;
  request.data_centre = m_group.data_centre;
  request.round = m_round;
  request.duration_ms = static_cast<uint32_t>(ToMs(duration));
  return request;
}

GranterLease::Requests GranterLease::OnTimer(Instant now) {
  UpdateHeld(now);
  m_next_check = now + m_options.candidate_delay / 4;
  if (m_candidate_since) {
    const bool failed =
        !IsHeld(now) && now - *m_candidate_since >= m_options.candidate_timeout;
    if (failed || !m_needed || !MayVote(now)) return EndCandidacy(now);
    return now >= m_next_request ? Ask(now) : Requests();
  }
  if (!m_needed || m_retired || !MayVote(now) || Entries() == 0) return {};
  if (!IsVacant(now)) {
    m_not_before = {};
    return {};
  }
  if (m_not_before == Instant{})
    m_not_before =
        now + m_options.candidate_delay * static_cast<int64_t>(Rank());
  if (now < m_not_before) return {};
  BeginCandidacy(now);
  return Ask(now);
}

void GranterLease::BeginCandidacy(Instant now) {
  m_candidate_since = now;
  m_received.clear();
  m_asked_at.clear();
}

GranterLease::Requests GranterLease::EndCandidacy(Instant now) {
  m_candidate_since.reset();
  m_held_until = {};
  m_not_before =
      now + m_options.candidate_delay * static_cast<int64_t>(1 + Rank());
  if (m_vote.candidate == m_options.self) m_vote = {};
  ++m_round;
  Requests requests;
  for (const HostId& peer : m_peers)
    requests.emplace_back(peer, MakeRequest(0s));
  return requests;
}

GranterLease::Requests GranterLease::Ask(Instant now) {
  m_asked_at[++m_round] = now;
  while (now - m_asked_at.begin()->second > m_options.lease)
    m_asked_at.erase(m_asked_at.begin());
  m_next_request = now + m_options.renew_interval;
  if (VoteFor(m_options.self, m_options.lease, m_round, now))
    m_received[m_options.self] = {now + m_options.lease, Entries()};
  UpdateHeld(now);
  Requests requests;
  for (const HostId& peer : m_peers)
    requests.emplace_back(peer, MakeRequest(m_options.lease));
  return requests;
}

void GranterLease::OnVote(const HostId& from, const wire::LeaseVoteT& vote,
                          Instant now) {
  const auto asked = m_asked_at.find(vote.round);
  if (!m_candidate_since || asked == m_asked_at.end() || !vote.granted) return;
  Received& received = m_received[from];
  received.until = std::max(received.until, asked->second + m_options.lease);
  received.entries = vote.entries;
  UpdateHeld(now);
}

size_t GranterLease::Votes(Instant now) const {
  return static_cast<size_t>(
      std::count_if(m_received.begin(), m_received.end(),
                    [&](const auto& one) { return now < one.second.until; }));
}

// The lease is held until so many votes expire that no majority is left.
void GranterLease::UpdateHeld(Instant now) {
  if (!m_candidate_since) return;
  size_t entries = Entries();
  std::vector<Instant> until;
  for (const auto& [host, received] : m_received) {
    if (now >= received.until) continue;
    entries = std::max(entries, received.entries);
    until.push_back(received.until);
  }
  const size_t majority = entries / 2 + 1;
  if (until.size() < majority) return;
  std::sort(until.begin(), until.end(), std::greater<>());
  if (!IsHeld(now)) m_held_since = now;
  m_held_until = until[majority - 1];
}

GranterLease::Requests GranterLease::Retire(Instant now) {
  m_retired = true;
  if (!m_candidate_since) return {};
  return EndCandidacy(now);
}

Instant GranterLease::NextTimer(Instant now) const {
  if (m_candidate_since) return m_next_request;
  if (!m_needed) return Instant::max();
  if (!IsVacant(now)) return std::max(m_vote.until, m_seen.until);
  return std::max(m_not_before, m_next_check);
}

}  // namespace dotterelshift::gateway
