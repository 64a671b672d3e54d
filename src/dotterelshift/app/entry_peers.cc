#include "dotterelshift/app/entry_peers.h"

#include <algorithm>  // for find
#include <chrono>     // for milliseconds
#include <utility>    // for move

#include "dotterelshift/telemetry/log.h"  // for LogDecision

namespace dotterelshift::app {

EntryPeers::EntryPeers(loop::Loop& loop, const DataCentreId& data_centre,
                       const gateway::LoadUpdatePacerOptions& pacer,
                       Parts parts)
    : m_loop(loop),
      m_data_centre(data_centre),
      m_parts(std::move(parts)),
      m_others(loop, *m_parts.hub, data_centre, pacer),
      m_limits_timer(loop, [] {}) {
  m_parts.exchange->Connect(m_parts.hub, [this](const std::string& address) {
    return MayHangUp(address);
  });
}

void EntryPeers::SetDistantEntries(
    const std::vector<origins::DistantEntry>& entries) {
  m_parts.exchange->SetEntries(entries);
  m_others.SetOwnDataCentreOnly(!entries.empty(), *m_parts.load);
}

void EntryPeers::OnUp(const peers::PeerInfo& entry) {
  m_parts.relays->OnEntryUp(entry);
  m_parts.exchange->OnUp(entry);
  m_parts.limits->OnEntryUp(entry.run.host, entry.data_centre, m_loop.Now());
  m_others.SendKnowledgeTo(entry, *m_parts.load, m_parts.versions->Origins(),
                           m_parts.versions->Restarts(), m_loop.Now());
}

void EntryPeers::OnDown(const peers::PeerInfo& entry) {
  m_parts.relays->OnEntryDown(entry.run.host);
  m_parts.exchange->OnDown(entry);
  m_parts.limits->OnEntryDown(entry.run.host);
  m_parts.load->OnEntryGone(entry.run.host);
}

void EntryPeers::OnFrame(const peers::PeerInfo& peer,
                         const wire::FrameT& frame) {
  if (const auto* question = frame.body.AsOriginQuestion())
    OnQuestion(peer, *question);
  if (m_parts.exchange->OnFrame(peer, frame)) return;
  if (const auto* notes = frame.body.AsLoadNotes()) {
    OnLoadNotes(peer, *notes);
  } else if (const auto* borrow = frame.body.AsTokenBorrow()) {
    OnBorrow(peer, *borrow);
  } else if (const auto* limits = frame.body.AsLimitExchange()) {
    m_parts.limits->OnMessage(peer.run.host, *limits, m_loop.Now());
  } else if (const auto* offer = frame.body.AsRelayOffer()) {
    m_parts.relays->OnOffer(peer, *offer);
    m_parts.traffic->Pump();
  } else if (const auto* loan = frame.body.AsTokenLoan()) {
    const Instant now = m_loop.Now();
    m_parts.budgets->OnLoan(*loan, now);
    m_parts.core->OnBudgetChanged(now);
    m_parts.traffic->Pump();
  }
}

void EntryPeers::OnLoadNotes(const peers::PeerInfo& peer,
                             const wire::LoadNotesT& notes) {
  const Instant now = m_loop.Now();
  m_others.OnLoadUpdates(peer, notes, *m_parts.load, now);
  for (const wire::TroubleNote& note : notes.troubles) LogTrouble(peer, note);
  for (const EndpointKey endpoint : notes.replaced)
    OnReplaced(endpoint, peer.run.host);
  for (const wire::ProcessNote& note : notes.processes) OnProcessNote(note);
  m_parts.versions->Origins().OnUpdates(peer.run.host, notes.origins, now);
  OnTakeovers(peer, notes.takeovers);
}

void EntryPeers::OnTakeovers(
    const peers::PeerInfo& peer,
    const std::vector<wire::StreamTakeover>& takeovers) {
  if (takeovers.empty()) return;
  const Instant now = m_loop.Now();
  for (const wire::StreamTakeover& takeover : takeovers) {
    const Instant at = now - std::chrono::milliseconds(takeover.age_ms());
    m_parts.core->OnTakenOver({takeover.stream(), takeover.after_event(), at},
                              peer.run.host, now);
  }
  m_parts.traffic->Pump();
}

// An entry of another data centre is connected to a few entries of this one,
// and not to all of those that may run the stream.
void EntryPeers::OnQuestion(const peers::PeerInfo& peer,
                            const wire::OriginQuestionT& question) {
  if (peer.data_centre == m_data_centre) return;
  const Instant now = m_loop.Now();
  std::vector<gateway::StreamTakeover> takeovers;
  for (const origins::StreamKey stream : question.streams) {
    takeovers.push_back({stream, 0, now});
    m_parts.core->OnTakenOver(takeovers.back(), peer.run.host, now);
  }
  m_others.SendTakeovers(takeovers, now);
  m_parts.traffic->Pump();
}

void EntryPeers::LogTrouble(const peers::PeerInfo& peer,
                            const wire::TroubleNote& note) const {
  const origins::EndpointContact* contact = m_parts.load->Find(note.endpoint());
  telemetry::LogDecision(
      "endpoint_in_trouble", "",
      {{"endpoint", contact == nullptr ? "unknown" : contact->id},
       {"refusals", std::to_string(note.refusals())},
       {"last_choice_ms", std::to_string(note.last_choice_ms())},
       {"learned_from", peer.run.host}});
}

bool EntryPeers::OnReplaced(EndpointKey endpoint, const HostId& from) {
  const origins::EndpointContact* contact = m_parts.load->Find(endpoint);
  if (contact == nullptr) return false;
  // What the directory changes is taken over at once, the contact included.
  const EndpointId id = contact->id;
  return m_parts.directory->OnReplaced(id, from);
}

void EntryPeers::TakeReplaced() {
  for (const EndpointKey endpoint : m_parts.core->TakeReplaced())
    if (OnReplaced(endpoint, "")) m_replaced.push_back(endpoint);
}

void EntryPeers::OnProcessNote(const wire::ProcessNote& note) {
  const origins::EndpointContact* contact = m_parts.load->Find(note.endpoint());
  if (contact != nullptr)
    m_parts.versions->Restarts().OnTold(*contact, note, m_loop.Now());
}

void EntryPeers::OnBorrow(const peers::PeerInfo& peer,
                          const wire::TokenBorrowT& borrow) {
  const Tokens lent = m_parts.may_lend() ? m_parts.budgets->OnBorrow(
                                               borrow, peer.run, m_loop.Now())
                                         : 0;
  m_others.SendLoan(peer.run.host, borrow, lent);
}

// The end of a connection also ends the tunnels of the two entries.
bool EntryPeers::MayHangUp(const std::string& address) const {
  return !m_parts.relays->IsInUse() &&
         std::ranges::find(m_addresses, address) == m_addresses.end();
}

void EntryPeers::Send(Instant now) {
  // First, as streams whose origin was learned are sent to endpoints, which the
  // other entries are told of.
  m_parts.core->OnOriginsLookedUp(m_parts.exchange->Exchange(), now);
  m_parts.traffic->Pump();
  m_others.SendTakeovers(m_parts.core->TakeTakeovers(), now);
  for (wire::TokenBorrowT& borrow : m_parts.budgets->TakeBorrowRequests())
    m_others.SendToNextFew(peers::MakeFrame(std::move(borrow)));
  SendForLimits(now);
  TakeReplaced();
  m_others.SendUpdates(*m_parts.load, m_parts.versions->Origins(),
                       m_parts.versions->Restarts(), &m_replaced, now);
}

// The timer only causes an event loop iteration, which calls this again.
void EntryPeers::SendForLimits(Instant now) {
  gateway::FleetLimits& limits = *m_parts.limits;
  if (limits.NextTimer(now) <= now) limits.OnTimer(now);
  m_parts.core->OnPermits(now);
  m_parts.traffic->Pump();
  for (auto& [host, message] : limits.TakeMessages())
    m_parts.hub->Send(host, peers::MakeFrame(std::move(message)));
  const Instant next = limits.NextTimer(now);
  if (next == Instant::max())
    m_limits_timer.Cancel();
  else
    m_limits_timer.ArmAt(next);
}

}  // namespace dotterelshift::app
