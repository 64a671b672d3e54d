#include "dotterelshift/app/other_entries.h"

#include <algorithm>  // for binary_search, min, sort
#include <string>     // for to_string
#include <utility>    // for exchange, move

#include "dotterelshift/telemetry/log.h"  // for LogDecision

namespace dotterelshift::app {
namespace {

// Number of entries to which SendToNextFew() sends a frame.
constexpr size_t kMaxReceivers = 3;

}  // namespace

// The timer only causes an event loop iteration, which calls SendUpdates().
OtherEntries::OtherEntries(loop::Loop& loop, peers::Hub& hub,
                           const DataCentreId& data_centre,
                           const gateway::LoadUpdatePacerOptions& notes)
    : m_hub(hub),
      m_data_centre(data_centre),
      m_load_update_pacer(notes),
      m_load_update_timer(loop, [] {}) {}

bool OtherEntries::IsServed(const peers::PeerInfo& peer) const {
  return peer.role == wire::HostRole::Entry &&
         (!m_own_only || peer.data_centre == m_data_centre);
}

void OtherEntries::SetOwnDataCentreOnly(bool only, gateway::FleetLoad& load) {
  if (std::exchange(m_own_only, only) == only || !only) return;
  for (const peers::PeerInfo& peer : m_hub.Peers())
    if (!IsServed(peer)) load.OnEntryGone(peer.run.host);
}

void OtherEntries::OnLoadUpdates(const peers::PeerInfo& from,
                                 const wire::LoadNotesT& notes,
                                 gateway::FleetLoad& load, Instant now) const {
  if (IsServed(from)) load.OnLoadUpdates(from.run.host, notes, now);
}

std::vector<HostId> OtherEntries::Hosts() const {
  std::vector<HostId> hosts;
  for (const peers::PeerInfo& peer : m_hub.Peers())
    if (IsServed(peer)) hosts.push_back(peer.run.host);
  std::sort(hosts.begin(), hosts.end());
  return hosts;
}

void OtherEntries::SendUpdates(gateway::FleetLoad& load,
                               origins::StreamOrigins& origins,
                               origins::RestartSuspects& restarts,
                               std::vector<EndpointKey>* replaced,
                               Instant now) {
  if (!load.HasLoadUpdates() && !origins.HasUpdates() &&
      !restarts.HasNotices() && replaced->empty())
    return;
  if (!m_load_update_pacer.MaySend(now))
    return m_load_update_timer.ArmAt(m_load_update_pacer.Next());
  const std::vector<HostId> hosts = Hosts();
  wire::LoadNotesT body;
  body.notes = load.TakeLoadUpdates(m_load_update_pacer.Most(hosts.size()));
  body.troubles = load.TakeTroubleChanges(now);
  body.origins = origins.TakeUpdates();
  body.replaced = std::exchange(*replaced, {});
  body.processes = restarts.TakeNotices(now);
  const size_t count = body.notes.size() + body.troubles.size() +
                       body.origins.size() + body.replaced.size() +
                       body.processes.size();
  m_load_update_pacer.OnSent(count, hosts.size(), now);
  if (count == 0) return;
  const wire::FrameT frame = peers::MakeFrame(std::move(body));
  for (const HostId& host : hosts) m_hub.Send(host, frame);
}

void OtherEntries::SendTakeovers(
    const std::vector<gateway::StreamTakeover>& takeovers, Instant now) {
  if (takeovers.empty()) return;
  wire::LoadNotesT body;
  for (const gateway::StreamTakeover& takeover : takeovers)
    body.takeovers.emplace_back(takeover.stream, takeover.after_event,
                                static_cast<uint32_t>(ToMs(now - takeover.at)));
  const wire::FrameT frame = peers::MakeFrame(std::move(body));
  for (const HostId& host : Hosts()) m_hub.Send(host, frame);
}

void OtherEntries::SendKnowledgeTo(const peers::PeerInfo& entry,
                                   const gateway::FleetLoad& load,
                                   const origins::StreamOrigins& origins,
                                   const origins::RestartSuspects& restarts,
                                   Instant now) {
  if (!IsServed(entry)) return;
  const HostId& host = entry.run.host;
  const std::vector<HostId> hosts = Hosts();
  // The host itself may have restarted, and has lost what it knew.
  const auto is_connected = [&hosts, &host](const HostId& other) {
    return other != host && std::ranges::binary_search(hosts, other);
  };
  wire::LoadNotesT body;
  body.origins = origins.ForNewEntry(is_connected, now);
  body.troubles = load.Troubles(now);
  body.processes = restarts.AllNotices(now);
  if (body.origins.empty() && body.troubles.empty() && body.processes.empty())
    return;
  m_hub.Send(host, peers::MakeFrame(std::move(body)));
}

void OtherEntries::SendLoan(const HostId& to, const wire::TokenBorrowT& borrow,
                            Tokens lent) {
  telemetry::LogDecision("tokens_lent", "",
                         {{"team", borrow.budget},
                          {"to", to},
                          {"wanted", std::to_string(borrow.wanted)},
                          {"minimum", std::to_string(borrow.minimum)},
                          {"lent", std::to_string(lent)}});
  if (lent == 0) return;
  wire::TokenLoanT loan;
  loan.budget = borrow.budget;
  loan.tokens = lent;
  m_hub.Send(to, peers::MakeFrame(std::move(loan)));
}

void OtherEntries::SendToNextFew(const wire::FrameT& frame) {
  const std::vector<HostId> hosts = Hosts();
  const size_t count = std::min(kMaxReceivers, hosts.size());
  for (size_t i = 0; i < count; ++i)
    m_hub.Send(hosts[m_next_receiver++ % hosts.size()], frame);
}

}  // namespace dotterelshift::app
