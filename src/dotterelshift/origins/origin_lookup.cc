#include "dotterelshift/origins/origin_lookup.h"

#include <algorithm>  // for count_if, find, sort

#include "dotterelshift/origins/rendezvous.h"  // for RendezvousRank

namespace dotterelshift::origins {
namespace {

bool Contains(const std::vector<std::string>& addresses,
              const std::string& address) {
  return std::ranges::find(addresses, address) != addresses.end();
}

}  // namespace

std::string_view NameOf(LookupOutcome outcome) {
  switch (outcome) {
    case LookupOutcome::kLearned:
      return "learned";
    case LookupOutcome::kNowhere:
      return "nowhere";
    case LookupOutcome::kIncomplete:
      return "incomplete";
  }
  return "unknown";
}

void OriginLookup::SetEntries(const std::vector<DistantEntry>& entries) {
  SetCandidates(false, entries);
}

void OriginLookup::SetControl(const std::vector<std::string>& addresses) {
  std::vector<DistantEntry> hosts;
  hosts.reserve(addresses.size());
  for (const std::string& address : addresses) hosts.push_back({address, ""});
  SetCandidates(true, hosts);
}

void OriginLookup::SetCandidates(bool control,
                                 const std::vector<DistantEntry>& candidates) {
  std::map<std::string, Candidate> before;
  for (const auto& [group, known] : m_groups)
    for (const Candidate& candidate : known)
      before[candidate.address] = candidate;
  std::erase_if(m_groups, [control](const auto& item) {
    return item.first.control == control;
  });
  for (const auto& [address, data_centre] : candidates) {
    Candidate candidate;
    candidate.address = address;
    const auto known = before.find(address);
    if (known != before.end()) candidate = known->second;
    m_groups[{control, data_centre}].push_back(candidate);
  }
}

OriginLookup::Candidate* OriginLookup::Find(const std::string& address) {
  for (auto& [group, candidates] : m_groups) {
    const auto found =
        std::ranges::find(candidates, address, &Candidate::address);
    if (found != candidates.end()) return &*found;
  }
  return nullptr;
}

std::vector<OriginLookup::Candidate*> OriginLookup::RankFor(
    StreamKey stream, Candidates& candidates) {
  std::vector<Candidate*> ranked;
  for (Candidate& candidate : candidates) ranked.push_back(&candidate);
  std::ranges::sort(ranked, [stream](const Candidate* a, const Candidate* b) {
    if (a->unresponsive != b->unresponsive) return b->unresponsive;
    return RendezvousRank(stream, a->address) <
           RendezvousRank(stream, b->address);
  });
  return ranked;
}

// Asks as many candidates as wanted. Those that are not connected are dialled,
// and asked once they are.
void OriginLookup::Ask(StreamKey stream, const Group& group, Inquiry& inquiry) {
  const auto candidates = m_groups.find(group);
  if (candidates == m_groups.end()) return;
  const size_t wanted = group.control ? m_options.asked_of_control
                                      : m_options.asked_per_data_centre;
  size_t open = inquiry.awaiting.size();
  for (Candidate* candidate : RankFor(stream, candidates->second)) {
    if (open >= wanted) return;
    if (Contains(inquiry.tried, candidate->address)) continue;
    inquiry.tried.push_back(candidate->address);
    inquiry.awaiting.push_back(candidate->address);
    candidate->asked = true;
    if (candidate->up)
      m_questions[candidate->host].push_back(stream);
    else if (!std::exchange(candidate->dialled, true))
      m_dials.push_back(candidate->address);
    // Another one is asked beside one that may not answer.
    if (!candidate->unresponsive) ++open;
  }
}

bool OriginLookup::Start(StreamKey stream, Instant now) {
  if (m_groups.empty()) return false;
  if (m_lookups.contains(stream)) return true;
  if (m_lookups.size() >= m_options.max_lookups) return false;
  Lookup& lookup = m_lookups[stream];
  lookup.begun = now;
  m_not_sent.push_back(stream);
  for (const auto& [group, candidates] : m_groups)
    Ask(stream, group, lookup.inquiries[group]);
  EndIfAnswered(stream, now);
  return true;
}

void OriginLookup::OnUp(const std::string& address, const HostId& host,
                        Instant now) {
  Candidate* candidate = Find(address);
  if (candidate == nullptr) return;
  candidate->host = host;
  candidate->up = true;
  candidate->dialled = false;
  candidate->unresponsive = false;
  candidate->asked_since.reset();
  for (auto& [stream, lookup] : m_lookups) {
    for (const auto& [group, inquiry] : lookup.inquiries)
      if (Contains(inquiry.awaiting, address))
        m_questions[host].push_back(stream);
  }
  if (m_questions.contains(host)) candidate->asked_since = now;
}

void OriginLookup::OnDown(const std::string& address, Instant now) {
  Candidate* candidate = Find(address);
  if (candidate == nullptr) return;
  candidate->up = false;
  candidate->dialled = false;
  candidate->asked = false;
  candidate->asked_since.reset();
  m_questions.erase(candidate->host);
  std::vector<StreamKey> lost;
  for (auto& [stream, lookup] : m_lookups) {
    for (auto& [group, inquiry] : lookup.inquiries) {
      if (std::erase(inquiry.awaiting, address) == 0) continue;
      Ask(stream, group, inquiry);
      lost.push_back(stream);
    }
  }
  for (const StreamKey stream : lost) EndIfAnswered(stream, now);
}

void OriginLookup::OnDialFailed(const std::string& address, Instant now) {
  Candidate* candidate = Find(address);
  if (candidate == nullptr || candidate->up) return;
  candidate->unresponsive = true;
  OnDown(address, now);
}

void OriginLookup::OnLearned(StreamKey stream, Instant now) {
  if (m_lookups.contains(stream)) End(stream, LookupOutcome::kLearned, now);
}

void OriginLookup::OnMissing(const std::string& address,
                             const std::vector<StreamKey>& streams,
                             bool starting, Instant now) {
  if (Candidate* candidate = Find(address)) {
    candidate->unresponsive = false;
    candidate->asked_since.reset();
  }
  for (const StreamKey stream : streams) {
    const auto found = m_lookups.find(stream);
    if (found == m_lookups.end()) continue;
    for (auto& [group, inquiry] : found->second.inquiries) {
      if (std::erase(inquiry.awaiting, address) == 0) continue;
      if (!starting) inquiry.answered = true;
      if (starting) Ask(stream, group, inquiry);
    }
    EndIfAnswered(stream, now);
  }
}

bool OriginLookup::IsAwaited(const Group& group, const Inquiry& inquiry) const {
  const auto candidates = m_groups.find(group);
  if (candidates == m_groups.end()) return false;
  return std::ranges::any_of(
      candidates->second, [&inquiry](const Candidate& candidate) {
        return !candidate.unresponsive &&
               Contains(inquiry.awaiting, candidate.address);
      });
}

void OriginLookup::EndIfAnswered(StreamKey stream, Instant now) {
  const auto found = m_lookups.find(stream);
  if (found == m_lookups.end()) return;
  bool complete = true;
  for (const auto& [group, inquiry] : found->second.inquiries) {
    if (IsAwaited(group, inquiry)) return;
    complete = complete && inquiry.answered;
  }
  End(stream, complete ? LookupOutcome::kNowhere : LookupOutcome::kIncomplete,
      now);
}

void OriginLookup::End(StreamKey stream, LookupOutcome outcome, Instant now) {
  const auto node = m_lookups.extract(stream);
  const Lookup& lookup = node.mapped();
  EndedLookup ended{stream, outcome, now - lookup.begun};
  ended.groups = lookup.inquiries.size();
  ended.answered = static_cast<size_t>(std::ranges::count_if(
      lookup.inquiries, [](const auto& item) { return item.second.answered; }));
  m_ended.push_back(ended);
}

void OriginLookup::MarkUnresponsive(const Lookup& lookup, Instant now) {
  for (const auto& [group, inquiry] : lookup.inquiries) {
    for (const std::string& address : inquiry.awaiting) {
      Candidate* candidate = Find(address);
      if (candidate == nullptr || !candidate->asked_since) continue;
      candidate->unresponsive =
          now - *candidate->asked_since >= m_options.unresponsive_after;
    }
  }
}

void OriginLookup::OnTimer(Instant now) {
  while (!m_by_begin.empty() &&
         now - m_by_begin.front().first >= m_options.timeout) {
    const auto [sent, stream] = m_by_begin.front();
    m_by_begin.pop_front();
    const auto found = m_lookups.find(stream);
    // The stream may have been looked up again since.
    if (found == m_lookups.end() || found->second.sent != sent) continue;
    MarkUnresponsive(found->second, now);
    End(stream, LookupOutcome::kIncomplete, now);
  }
}

Instant OriginLookup::NextTimer() const {
  if (m_by_begin.empty()) return Instant::max();
  return m_by_begin.front().first + m_options.timeout;
}

std::vector<OriginQuestion> OriginLookup::TakeQuestions(Instant now) {
  for (const StreamKey stream : std::exchange(m_not_sent, {})) {
    const auto found = m_lookups.find(stream);
    if (found == m_lookups.end()) continue;
    found->second.sent = now;
    m_by_begin.emplace_back(now, stream);
  }
  for (auto& [group, candidates] : m_groups) {
    for (Candidate& candidate : candidates)
      if (std::exchange(candidate.asked, false) && !candidate.asked_since)
        candidate.asked_since = now;
  }
  std::vector<OriginQuestion> questions;
  for (auto& [host, streams] : std::exchange(m_questions, {}))
    questions.push_back({host, std::move(streams)});
  return questions;
}

}  // namespace dotterelshift::origins
