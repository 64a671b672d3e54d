#include "dotterelshift/directory/record_requests.h"

#include <algorithm>   // for any_of
#include <cstddef>     // for size_t
#include <functional>  // for hash
#include <string>      // for string
#include <utility>     // for move

namespace dotterelshift::directory {
namespace {

// Between two requests because of digests that are not the first ones of their
// connections.
constexpr Duration kMinLastingInterval = 10s;

}  // namespace

RecordRequests::RecordRequests(HostId self, Duration answer_timeout,
                               bool only_receives)
    : m_self(std::move(self)),
      m_answer_timeout(answer_timeout),
      m_only_receives(only_receives) {}

void RecordRequests::OnPeerUp(const HostId& host, bool ask_now) {
  OnPeerDown(host);
  m_peers[host].due = ask_now;
}

void RecordRequests::OnPeerDown(const HostId& host) {
  m_peers.erase(host);
  if (m_asked != host) return;
  m_asked.clear();
  m_next_lasting = {};
}

void RecordRequests::OnDigest(const HostId& host, uint64_t digest,
                              uint64_t own) {
  const auto found = m_peers.find(host);
  if (found == m_peers.end()) return;
  Peer& peer = found->second;
  const bool differs =
      digest != own && digest != kNoRecordsDigest && digest != peer.answered;
  const bool missed_updates =
      !peer.IsCompared() && !(m_only_receives && MostOthersAgree(host));
  const bool at_once = missed_updates || own == kNoRecordsDigest;
  const bool second_in_a_row = peer.differed;
  peer.lasting = !at_once && (!peer.due || peer.lasting);
  peer.due = differs && (at_once || second_in_a_row || peer.due);
  peer.digest = digest;
  peer.differed = differs;
}

void RecordRequests::OnAnswer(const HostId& host, uint64_t digest) {
  if (m_asked == host) m_asked.clear();
  const auto found = m_peers.find(host);
  if (found == m_peers.end()) return;
  found->second = {.digest = digest, .answered = digest};
}

// Whether more of the other peers agreed with this daemon's records when they
// were last compared than differ, counting `host` as one that differs.
bool RecordRequests::MostOthersAgree(const HostId& host) const {
  size_t agree = 0;
  size_t differ = 1;
  for (const auto& [other, peer] : m_peers) {
    if (other == host || other == m_asked || !peer.IsCompared()) continue;
    ++(peer.differed || peer.due ? differ : agree);
  }
  return agree > differ;
}

bool RecordRequests::MayAsk(Instant now) const {
  const bool waiting = !m_asked.empty() && now - m_asked_at < m_answer_timeout;
  return !waiting && std::ranges::any_of(m_peers, [&](const auto& item) {
    return IsAskable(item.second, now);
  });
}

bool RecordRequests::IsAskable(const Peer& peer, Instant now) const {
  return peer.due && (!peer.lasting || now >= m_next_lasting);
}

void RecordRequests::AbandonOverdue(Instant now) {
  if (m_asked.empty() || now - m_asked_at < m_answer_timeout) return;
  m_asked.clear();
  m_next_lasting = {};
}

std::optional<HostId> RecordRequests::Next(uint64_t own, Instant now) {
  AbandonOverdue(now);
  if (!m_asked.empty()) return std::nullopt;
  std::optional<HostId> next;
  for (auto& [host, peer] : m_peers) {
    // Another peer's answer may have brought what this one holds.
    if (peer.digest == own) peer.due = false;
    if (!IsAskable(peer, now)) continue;
    if (!next || Rank(host) < Rank(*next)) next = host;
  }
  if (!next) return std::nullopt;
  m_asked = *next;
  m_asked_at = now;
  Peer& asked = m_peers[*next];
  if (asked.lasting) m_next_lasting = now + kMinLastingInterval;
  asked.due = false;
  asked.differed = false;
  return next;
}

uint64_t RecordRequests::Rank(const HostId& host) const {
  return std::hash<std::string>{}(m_self + host);
}

}  // namespace dotterelshift::directory
