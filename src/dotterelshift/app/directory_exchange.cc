#include "dotterelshift/app/directory_exchange.h"

#include <memory>   // for make_shared
#include <string>   // for to_string
#include <utility>  // for move, exchange
#include <variant>  // for get_if

#include "dotterelshift/callers/front.h"           // for SendErrorResponse
#include "dotterelshift/endpoints/announcement.h"  // for ParseAnnouncement
#include "dotterelshift/telemetry/log.h"           // for Log

namespace dotterelshift::app {
namespace {

directory::SpreadOptions MakeSpreadOptions(const HostId& self) {
  directory::SpreadOptions options;
  options.self = self;
  return options;
}

}  // namespace

DirectoryExchange::DirectoryExchange(loop::Loop& loop, const HostId& self,
                                     Callbacks callbacks)
    : DirectoryExchange(loop, MakeSpreadOptions(self), {},
                        std::move(callbacks)) {}

DirectoryExchange::DirectoryExchange(
    loop::Loop& loop, const directory::SpreadOptions& spread,
    const directory::DirectoryOptions& directory, Callbacks callbacks)
    : m_loop(loop),
      m_callbacks(std::move(callbacks)),
      m_directory(directory),
      m_spread(spread, &m_directory),
      m_timer(loop, [this] { OnTimer(); }) {
  m_timer.ArmIn(0ms);
}

void DirectoryExchange::OnAnnounce(http::Exchange& exchange) {
  auto parsed = endpoints::ParseAnnouncement(exchange.GetRequest().body);
  if (const auto* refusal = std::get_if<callers::Refusal>(&parsed)) {
    callers::SendErrorResponse(exchange, refusal->kind, refusal->detail);
    return;
  }
  const auto& announcement = std::get<endpoints::Announcement>(parsed);
  m_spread.OnAnnounced(announcement.record, m_loop.Now());
  // Cache events are hints for this daemon only: see docs/decisions/routing.md.
  if (!announcement.cache_events.empty())
    m_callbacks.on_cache_events(announcement.cache_events);
  exchange.Answer(200, {{"content-type", "application/json"}}, "{}");
  OnTimer();
}

void DirectoryExchange::OnAnnounced(const wire::EndpointRecordT& record,
                                    size_t holders,
                                    std::function<void(ErrorKind)> callback) {
  m_spread.OnAnnounced(record, m_loop.Now());
  const directory::Endpoint* known = m_directory.Find(record.id);
  // No other daemon needs to be told that an endpoint leaves which is forgotten
  // here, or has started again since.
  const bool leaves = directory::IsDeparture(record) && known != nullptr &&
                      known->record.incarnation == record.incarnation;
  if (leaves) {
    // The others are asked while it is written here.
    const uint64_t key = directory::DepartureKey(known->record);
    if (m_departure_log != nullptr && m_departures.HoldersOf(key) < holders)
      m_spread.RequestConfirmation(record.id, m_loop.Now());
    Keep({known->record},
         [this, departure = known->record, holders,
          callback = std::move(callback)](ErrorKind error) mutable {
           if (error != ErrorKind::kNone) return callback(error);
           AwaitHolders(departure, holders, std::move(callback));
         });
  } else {
    callback(ErrorKind::kNone);
  }
  OnTimer();
}

void DirectoryExchange::SetDepartureLog(DepartureLog* log) {
  m_departure_log = log;
  for (const wire::EndpointRecordT& departure : log->TakeRestored())
    m_spread.OnAnnounced(departure, m_loop.Now());
}

void DirectoryExchange::Keep(
    const std::vector<wire::EndpointRecordT>& departures,
    std::function<void(ErrorKind)> callback) {
  if (m_departure_log == nullptr || departures.empty())
    return callback(ErrorKind::kNone);
  m_departure_log->Keep(departures, std::move(callback));
}

// Confirms the departures that were received, if they are kept.
void DirectoryExchange::Confirm(const wire::DirectoryDeltaT& delta) {
  std::vector<directory::Outgoing> confirmations = m_spread.TakeConfirmations();
  if (confirmations.empty()) return;
  std::vector<wire::EndpointRecordT> departures;
  for (const auto& record : delta.records)
    if (record != nullptr && directory::IsDeparture(*record))
      departures.push_back(*record);
  const auto sent = std::make_shared<std::vector<directory::Outgoing>>(
      std::move(confirmations));
  Keep(departures, [this, sent](ErrorKind error) {
    if (error == ErrorKind::kNone) Send(std::move(*sent));
  });
}

void DirectoryExchange::AwaitHolders(const wire::EndpointRecordT& record,
                                     size_t holders,
                                     std::function<void(ErrorKind)> callback) {
  const auto on_decided = [endpoint = record.id, holders,
                           callback = std::move(callback)](
                              const directory::Departures::Result& result) {
    const bool held = result.error == ErrorKind::kNone;
    telemetry::Log(
        held ? telemetry::LogLevel::kInfo : telemetry::LogLevel::kWarning,
        held ? "departure_held" : "departure_refused",
        {{"endpoint", endpoint},
         {"holders", std::to_string(result.holders)},
         {"needed", std::to_string(holders)},
         {"waited_ms", std::to_string(ToMs(result.waited))}});
    callback(result.error);
  };
  const Instant now = m_loop.Now();
  if (!m_departures.Await(directory::DepartureKey(record), holders, now,
                          on_decided))
    return;
  if (m_departure_log != nullptr) return;  // asked before
  m_spread.RequestConfirmation(record.id, now);
}

bool DirectoryExchange::OnReplaced(const EndpointId& endpoint,
                                   const HostId& from) {
  if (!m_directory.OnReplaced(endpoint, m_loop.Now())) return false;
  const directory::Endpoint& known = *m_directory.Find(endpoint);
  telemetry::Log(telemetry::LogLevel::kInfo, "endpoint_replaced",
                 {{"endpoint", endpoint},
                  {"address", known.record.address},
                  {"learned_from", from.empty() ? "response" : from},
                  {"announced_ms_ago",
                   std::to_string(ToMs(m_loop.Now() - known.last_news))}});
  OnTimer();
  return true;
}

void DirectoryExchange::OnPeerUp(const peers::PeerInfo& peer) {
  if (peer.role == wire::HostRole::Control)
    m_departures.OnPeerUp(peer.run.host);
  m_spread.OnPeerUp(peer.run.host, m_loop.Now());
  // A request to the peer may be due at once.
  m_timer.ArmAt(m_spread.NextTimer());
}

void DirectoryExchange::OnPeerDown(const peers::PeerInfo& peer) {
  m_spread.OnPeerDown(peer.run.host, m_loop.Now());
  m_departures.OnPeerDown(peer.run.host, m_loop.Now());
}

bool DirectoryExchange::OnFrame(const peers::PeerInfo& from,
                                const wire::FrameT& frame) {
  const wire::DirectoryDeltaT* delta = frame.body.AsDirectoryDelta();
  if (delta == nullptr) return false;
  m_spread.OnDelta(from.run.host, *delta, m_loop.Now());
  m_departures.OnConfirmed(from.run.host, delta->confirmed, m_loop.Now());
  Confirm(*delta);
  LogDepartures();
  OnTimer();
  return true;
}

void DirectoryExchange::LogDepartures() {
  for (const directory::ReceivedDeparture& departure :
       m_spread.TakeDepartures()) {
    const std::string state = departure.draining ? "draining"
                              : departure.gone   ? "gone"
                                                 : "silent";
    telemetry::Log(telemetry::LogLevel::kInfo, "endpoint_left_received",
                   {{"endpoint", departure.endpoint},
                    {"state", state},
                    {"from", departure.from},
                    {"age_ms", std::to_string(departure.age_ms)},
                    {"by", departure.by_request ? "request" : "update"}});
  }
}

void DirectoryExchange::LogContradictions() {
  for (const directory::Contradiction& contradiction :
       m_directory.TakeContradictions()) {
    telemetry::Log(telemetry::LogLevel::kWarning, "endpoint_contradicts",
                   {{"endpoint", contradiction.endpoint},
                    {"known_version", contradiction.known_version},
                    {"version", contradiction.version}});
  }
}

void DirectoryExchange::Send(std::vector<directory::Outgoing> all) {
  for (directory::Outgoing& outgoing : all)
    m_hub->Send(outgoing.host, peers::MakeFrame(std::move(outgoing.delta)));
}

void DirectoryExchange::OnTimer() {
  const Instant now = m_loop.Now();
  LogContradictions();
  if (now >= m_spread.NextTimer()) {
    m_departures.OnTimer(now);
    Send(m_spread.OnTimer(now));
  }
  if (m_directory.Generation() != m_generation) {
    m_generation = m_directory.Generation();
    m_callbacks.on_offer_changed();
  }
  m_timer.ArmAt(m_spread.NextTimer());
}

}  // namespace dotterelshift::app
