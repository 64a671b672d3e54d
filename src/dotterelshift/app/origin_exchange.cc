#include "dotterelshift/app/origin_exchange.h"

#include <algorithm>  // for min
#include <utility>    // for move

#include "dotterelshift/telemetry/log.h"  // for Log

namespace dotterelshift::app {
namespace {

// A connection to an entry of another data centre is kept for this long after
// the last question.
constexpr Duration kIdleTime = 60s;

}  // namespace

// The timer only causes an event loop iteration, which calls Exchange().
OriginExchange::OriginExchange(loop::Loop& loop,
                               origins::StreamOrigins& origins)
    : m_loop(loop),
      m_origins(origins),
      m_copies(origins),
      m_answers(loop, origins),
      m_timer(loop, [] {}) {}

void OriginExchange::SetEntries(
    const std::vector<origins::DistantEntry>& entries) {
  if (!m_asked.OnNamed(entries, m_loop.Now())) return;
  m_lookup.SetEntries(m_asked.Entries());
  TellConnected();
  telemetry::Log(telemetry::LogLevel::kInfo, "askable_entries",
                 {{"entries", std::to_string(entries.size())}});
}

void OriginExchange::SetControl(const std::vector<std::string>& addresses) {
  std::set<std::string> control(addresses.begin(), addresses.end());
  if (control == m_control) return;
  m_control = std::move(control);
  m_lookup.SetControl(addresses);
  TellConnected();
  TakeControlHosts();
}

// The lookup ignores connections to daemons that cannot be asked.
void OriginExchange::TellConnected() {
  for (const auto& [host, address] : m_addresses)
    m_lookup.OnUp(address, host, m_loop.Now());
}

void OriginExchange::OnUp(const peers::PeerInfo& peer) {
  m_addresses[peer.run.host] = peer.address;
  m_lookup.OnUp(peer.address, peer.run.host, m_loop.Now());
  TakeControlHosts();
}

void OriginExchange::OnDown(const peers::PeerInfo& peer) {
  m_addresses.erase(peer.run.host);
  m_lookup.OnDown(peer.address, m_loop.Now());
  m_answers.OnDown(peer.run.host);
  TakeControlHosts();
}

// Those that hold copies: connected, and members of control.
void OriginExchange::TakeControlHosts() {
  origins::OriginCopies::Hosts hosts;
  for (const auto& [host, address] : m_addresses)
    if (m_control.contains(address)) hosts.emplace(host, address);
  m_copies.SetHosts(hosts, m_loop.Now());
}

void OriginExchange::OnDialEnded(const peers::DialReport& report) {
  if (report.result != peers::DialResult::kUp)
    m_lookup.OnDialFailed(report.address, m_loop.Now());
}

bool OriginExchange::OnFrame(const peers::PeerInfo& peer,
                             const wire::FrameT& frame) {
  if (const auto* question = frame.body.AsOriginQuestion()) {
    m_answers.OnQuestion(peer, *question);
    return true;
  }
  const auto* answer = frame.body.AsOriginAnswer();
  if (answer != nullptr) OnAnswer(peer, *answer);
  return answer != nullptr;
}

// What is learned counts for this entry's own view from then on.
void OriginExchange::OnAnswer(const peers::PeerInfo& peer,
                              const wire::OriginAnswerT& answer) {
  const Instant now = m_loop.Now();
  const HostId& from = peer.run.host;
  m_origins.OnUpdates(from, answer.origins, now);
  for (const origins::StreamKey stream : answer.unclear)
    m_origins.OnUnclear(from, stream, now);
  TakeLearned(now);
  m_lookup.OnMissing(peer.address, answer.missing, answer.starting, now);
}

void OriginExchange::TakeLearned(Instant now) {
  for (const origins::StreamKey stream : m_origins.TakeLearned()) {
    m_answers.OnLearned(stream);
    m_lookup.OnLearned(stream, now);
  }
}

std::vector<origins::EndedLookup> OriginExchange::Exchange() {
  const Instant now = m_loop.Now();
  TakeLearned(now);
  Dial(now);
  SendCopies();
  SendQuestions(now);
  m_lookup.OnTimer(now);
  m_answers.Send(*m_hub);
  HangUpIdle(now);
  const Instant next = std::min(m_lookup.NextTimer(), m_answers.NextTimer());
  if (next != Instant::max()) m_timer.ArmAt(next);
  std::vector<origins::EndedLookup> ended = m_lookup.TakeEnded();
  for (const origins::EndedLookup& lookup : ended)
    ++m_totals.ended[lookup.outcome];
  return ended;
}

void OriginExchange::Dial(Instant now) {
  for (const std::string& address : m_lookup.TakeDials()) {
    m_hub->Dial(address);
    // Connections to control stay.
    if (!m_control.contains(address)) m_dialled[address] = now;
  }
}

void OriginExchange::HangUpIdle(Instant now) {
  std::erase_if(m_dialled, [this, now](const auto& item) {
    // In a small fleet all connections stay.
    const bool idle = now - item.second >= kIdleTime &&
                      m_asked.IsLargeFleet() && m_may_hang_up(item.first);
    if (!idle) return false;
    m_hub->HangUp(item.first);
    m_lookup.OnDown(item.first, now);
    return true;
  });
}

// In the same event loop iteration as the streams' first events.
void OriginExchange::SendCopies() {
  m_copies.Add(m_origins.TakeUncopied());
  for (auto& [host, copies] : m_copies.TakeCopies()) {
    m_totals.copied += copies.size();
    wire::LoadNotesT frame;
    frame.origins = std::move(copies);
    m_hub->Send(host, peers::MakeFrame(std::move(frame)));
  }
}

void OriginExchange::SendQuestions(Instant now) {
  for (origins::OriginQuestion& question : m_lookup.TakeQuestions(now)) {
    m_totals.asked += question.streams.size();
    const auto address = m_addresses.find(question.to);
    if (address != m_addresses.end() && m_dialled.contains(address->second))
      m_dialled[address->second] = now;
    wire::OriginQuestionT frame;
    frame.streams = std::move(question.streams);
    m_hub->Send(question.to, peers::MakeFrame(std::move(frame)));
  }
}

void OriginExchange::SetMetrics(telemetry::Metrics& metrics) const {
  metrics.SetCounter("dotterelshift_origin_questions_asked_total",
                     "Origins of streams asked for, one for each daemon asked",
                     static_cast<double>(m_totals.asked));
  metrics.SetCounter("dotterelshift_origin_questions_received_total",
                     "Origins of streams that other entries asked for",
                     static_cast<double>(m_answers.Received()));
  metrics.SetCounter("dotterelshift_origins_copied_total",
                     "Origins of streams sent to control, one for each host",
                     static_cast<double>(m_totals.copied));
  for (const auto& [outcome, count] : m_totals.ended) {
    metrics.SetCounter("dotterelshift_origin_lookups_" +
                           std::string(NameOf(outcome)) + "_total",
                       "Streams looked up at other entries, by outcome",
                       static_cast<double>(count));
  }
}

}  // namespace dotterelshift::app
