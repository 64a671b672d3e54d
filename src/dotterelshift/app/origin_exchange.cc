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
      m_responder(origins, loop.Now()),
      m_timer(loop, [] {}) {}

void OriginExchange::SetEntries(
    const std::vector<origins::DistantEntry>& entries) {
  if (!m_asked.OnNamed(entries, m_loop.Now())) return;
  m_lookup.SetEntries(m_asked.Entries());
  for (const auto& [host, address] : m_addresses)
    m_lookup.OnUp(address, host, m_loop.Now());
  telemetry::Log(telemetry::LogLevel::kInfo, "askable_entries",
                 {{"entries", std::to_string(entries.size())}});
}

void OriginExchange::OnEntryUp(const peers::PeerInfo& entry) {
  m_addresses[entry.run.host] = entry.address;
  m_lookup.OnUp(entry.address, entry.run.host, m_loop.Now());
}

void OriginExchange::OnEntryDown(const peers::PeerInfo& entry) {
  m_addresses.erase(entry.run.host);
  m_lookup.OnDown(entry.address, m_loop.Now());
  m_responder.OnDown(entry.run.host);
}

void OriginExchange::OnDialEnded(const peers::DialReport& report) {
  if (report.result != peers::DialResult::kUp)
    m_lookup.OnDialFailed(report.address, m_loop.Now());
}

bool OriginExchange::OnFrame(const peers::PeerInfo& peer,
                             const wire::FrameT& frame) {
  if (const auto* question = frame.body.AsOriginQuestion()) {
    OnQuestion(peer, *question);
    return true;
  }
  const auto* answer = frame.body.AsOriginAnswer();
  if (answer != nullptr) OnAnswer(peer, *answer);
  return answer != nullptr;
}

void OriginExchange::OnQuestion(const peers::PeerInfo& peer,
                                const wire::OriginQuestionT& question) {
  m_totals.received += question.streams.size();
  m_responder.OnQuestion(peer.run.host, question.streams, m_loop.Now());
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
    m_responder.OnLearned(stream, now);
    m_lookup.OnLearned(stream, now);
  }
}

std::vector<origins::EndedLookup> OriginExchange::Exchange() {
  const Instant now = m_loop.Now();
  TakeLearned(now);
  Dial(now);
  SendQuestions(now);
  m_lookup.OnTimer(now);
  m_responder.OnTimer(now);
  SendAnswers(now);
  HangUpIdle(now);
  const Instant next = std::min(m_lookup.NextTimer(), m_responder.NextTimer());
  if (next != Instant::max()) m_timer.ArmAt(next);
  std::vector<origins::EndedLookup> ended = m_lookup.TakeEnded();
  for (const origins::EndedLookup& lookup : ended)
    ++m_totals.ended[lookup.outcome];
  return ended;
}

void OriginExchange::Dial(Instant now) {
  for (const std::string& address : m_lookup.TakeDials()) {
    m_hub->Dial(address);
    m_dialled[address] = now;
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

void OriginExchange::SendAnswers(Instant now) {
  for (auto& [host, answer] : m_responder.TakeAnswers(now)) {
    wire::OriginAnswerT frame;
    frame.origins = std::move(answer.known);
    frame.unclear = std::move(answer.unclear);
    frame.missing = std::move(answer.missing);
    frame.starting = answer.starting;
    m_hub->Send(host, peers::MakeFrame(std::move(frame)));
  }
}

void OriginExchange::SetMetrics(telemetry::Metrics& metrics) const {
  metrics.SetCounter("dotterelshift_origin_questions_asked_total",
                     "Origins of streams asked for, one for each entry asked",
                     static_cast<double>(m_totals.asked));
  metrics.SetCounter("dotterelshift_origin_questions_received_total",
                     "Origins of streams that other entries asked for",
                     static_cast<double>(m_totals.received));
  for (const auto& [outcome, count] : m_totals.ended) {
    metrics.SetCounter("dotterelshift_origin_lookups_" +
                           std::string(NameOf(outcome)) + "_total",
                       "Streams looked up at other entries, by outcome",
                       static_cast<double>(count));
  }
}

}  // namespace dotterelshift::app
