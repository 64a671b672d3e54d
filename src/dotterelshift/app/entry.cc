#include <optional>  // for optional
#include <string>    // for string
#include <utility>   // for move

#include "dotterelshift/app/control_link.h"        // for ControlLink
#include "dotterelshift/app/daemon.h"              // for Daemon
#include "dotterelshift/app/dial_log.h"            // for LogDial
#include "dotterelshift/app/directory_exchange.h"  // for DirectoryExchange
#include "dotterelshift/app/hub_options.h"         // for MakeHubOptions
#include "dotterelshift/app/listen_options.h"      // for SetAccount
#include "dotterelshift/app/operator_backend.h"    // for OperatorBackend
#include "dotterelshift/app/process_memory.h"      // for ProcessMemory
#include "dotterelshift/app/registration.h"        // for Registration
#include "dotterelshift/app/request_traffic.h"     // for RequestTraffic
#include "dotterelshift/telemetry/log.h"           // for Log

namespace dotterelshift::app {
namespace {

using serving::ControlReach;

// Interval at which control's reachability, the holdings and the gauges are
// checked.
constexpr Duration kTick = 50ms;
// How long a drained entry waits for control to accept its returned grants.
constexpr Duration kGrantReturnTimeout = 10s;
// Interval at which the router adopts the load that endpoints report. The
// reports themselves are delayed.
constexpr Duration kLoadRefreshInterval = 500ms;

// The request core numbers its own commands from 1.
constexpr uint64_t kRegistrationSequence = 0;

// The entry role: connects callers with endpoints and control through the
// request core.
class Entry : public Daemon {
 public:
  Entry(loop::Loop& loop, const settings::Settings& settings,
        Incarnation incarnation);

  uint16_t PeerPort() const override { return m_hub->Port(); }
  uint16_t HttpPort() const override { return m_server->Port(); }
  void Shutdown() override;

 private:
  serving::RequestCoreOptions CoreOptions() const;
  static routing::RouterOptions MakeRouterOptions(
      const settings::Settings& settings, Incarnation incarnation);
  callers::FrontOptions FrontOptions() const;
  http::ServerOptions ServerOptions();
  peers::HubCallbacks HubCallbacks();
  void OnExchange(std::shared_ptr<http::Exchange> exchange);
  void AnswerReady(http::Exchange& exchange);
  void OnPeerFrame(const peers::PeerInfo& peer, const wire::FrameT& frame);
  void TakeFromLink();
  void Refresh();
  void OnTick();
  void UpdateGauges();
  void SendToControl();
  void CheckDrained();

  loop::Loop& m_loop;
  settings::Settings m_settings;
  ProcessMemory m_memory;
  HostRun m_self;
  std::optional<Registration> m_registration;  // once the peer port is known
  std::string m_secret;
  ControlLink m_link;
  DirectoryExchange m_directory;
  std::unique_ptr<budget::Ledger> m_ledger;
  std::unique_ptr<routing::Router> m_router;
  std::unique_ptr<admission::FairQueue> m_queue;
  std::unique_ptr<serving::RequestCore> m_core;
  std::unique_ptr<telemetry::Metrics> m_metrics;
  std::unique_ptr<RequestTraffic> m_traffic;
  std::unique_ptr<http::Server> m_server;
  std::unique_ptr<peers::Hub> m_hub;
  std::unique_ptr<OperatorBackend> m_backend;
  std::unique_ptr<operators::Api> m_api;
  loop::Timer m_tick;
  loop::Timer m_notice;
  loop::PrepareWatcher m_prepare;
  ControlReach m_reach = ControlReach::kNever;
  uint64_t m_version = 0;
  Instant m_next_load_refresh{};
  bool m_shutting_down = false;
  bool m_draining = false;
  std::optional<Instant> m_drained_since;
};

Entry::Entry(loop::Loop& loop, const settings::Settings& settings,
             Incarnation incarnation)
    : m_loop(loop),
      m_settings(settings),
      m_memory(settings),
      m_self{settings.host, incarnation},
      m_secret(settings::ReadSecret(settings.secret_file)),
      m_link([&] {
        ControlLinkOptions options;
        options.self = m_self;
        options.cut_off_after = settings.cut_off_after;
        return options;
      }()),
      m_directory(loop, settings.host,
                  {[this] { Refresh(); },
                   [this](const std::vector<wire::CacheEventT>& events) {
                     m_router->OnCacheEvents(events, m_loop.Now());
                   }}),
      m_ledger(budget::MakeLedger()),
      m_router(routing::MakeRouter(MakeRouterOptions(settings, incarnation))),
      m_queue(admission::MakeFairQueue({settings.max_waiting_per_team})),
      m_metrics(telemetry::MakeMetrics()),
      m_tick(loop, [this] { OnTick(); }),
      m_notice(loop,
               [this] {
                 m_draining = true;
                 m_core->StartDraining(m_loop.Now());
                 m_traffic->Pump();
               }),
      m_prepare(
          loop, [this] { SendToControl(); }, EV_MINPRI + 1) {
  serving::RequestCoreDependencies parts;
  parts.configuration = &m_link.GetConfiguration();
  parts.directory = &m_directory.GetDirectory();
  parts.ledger = m_ledger.get();
  parts.router = m_router.get();
  parts.queue = m_queue.get();
  m_core = serving::MakeRequestCore(CoreOptions(), parts);
  RequestTraffic::Callbacks callbacks;
  callbacks.propose = [this](wire::CommandT command) {
    m_link.Propose(std::move(command));
  };
  callbacks.spool = [this](wire::CommandT command) {
    m_link.Spool(std::move(command));
  };
  m_traffic = std::make_unique<RequestTraffic>(
      loop, FrontOptions(), endpoints::AttemptRunnerOptions(), *m_core,
      *m_metrics, callbacks);
  m_server = http::MakeServer(loop, ServerOptions(),
                              [this](std::shared_ptr<http::Exchange> exchange) {
                                OnExchange(std::move(exchange));
                              });
  m_hub = peers::MakeHub(
      loop, MakeHubOptions(settings, m_secret, incarnation, m_server->Port()),
      HubCallbacks());
  m_directory.SetHub(m_hub.get());
  m_backend = MakeEntryBackend(
      loop, *m_hub, m_link, m_directory.GetDirectory(),
      settings.http_address + ":" + std::to_string(m_server->Port()));
  operators::ApiOptions api;
  api.fleet_secret = m_secret;
  if (!settings.operator_key_file.empty())
    api.keys = settings::ReadOperatorKeys(settings.operator_key_file);
  m_api = operators::MakeApi(api, *m_backend);
  m_registration.emplace(RegistrationOptions{
      m_self, settings.data_centre,
      settings.address + ":" + std::to_string(m_hub->Port())});
  m_link.Propose(m_registration->Command(kRegistrationSequence));
  m_tick.ArmIn(0ms);
}

serving::RequestCoreOptions Entry::CoreOptions() const {
  serving::RequestCoreOptions options;
  options.self = m_self;
  options.max_attempts = static_cast<int>(m_settings.max_attempts);
  options.serve_when_cut_off = m_settings.serve_when_cut_off;
  return options;
}

routing::RouterOptions Entry::MakeRouterOptions(
    const settings::Settings& settings, Incarnation incarnation) {
  routing::RouterOptions options;
  options.data_centre = settings.data_centre;
  options.seed = incarnation;
  return options;
}

callers::FrontOptions Entry::FrontOptions() const {
  callers::FrontOptions options;
  options.fleet_secret = m_secret;
  options.limits.default_output_limit = m_settings.default_output_limit;
  options.limits.max_output_limit = m_settings.max_output_limit;
  options.limits.default_deadline = m_settings.default_deadline;
  options.limits.service_charge = m_settings.service_charge;
  return options;
}

http::ServerOptions Entry::ServerOptions() {
  http::ServerOptions options;
  SetAccount(options, m_memory.Account(), "http");
  options.address = m_settings.http_address;
  options.port = m_settings.http_port;
  options.max_body_bytes = m_settings.max_body_bytes;
  options.max_connections = m_settings.max_connections;
  options.receive_timeout = m_settings.receive_timeout;
  options.refusal = callers::ServerRefusalResponse;
  return options;
}

peers::HubCallbacks Entry::HubCallbacks() {
  peers::HubCallbacks callbacks;
  callbacks.on_up = [this](const peers::PeerInfo& peer) {
    m_directory.OnPeerUp(peer);
    if (peer.role != wire::HostRole::Control) return;
    m_link.OnPeerUp(peer.run.host, m_loop.Now());
    m_tick.ArmIn(0ms);
  };
  callbacks.on_down = [this](const peers::PeerInfo& peer) {
    m_directory.OnPeerDown(peer);
    if (peer.role != wire::HostRole::Control) return;
    m_link.OnPeerDown(peer.run.host, m_loop.Now());
    m_tick.ArmIn(0ms);
  };
  callbacks.on_frame = [this](const peers::PeerInfo& peer,
                              const wire::FrameT& frame) {
    OnPeerFrame(peer, frame);
  };
  callbacks.on_dial_ended = LogDial;
  return callbacks;
}

void Entry::OnExchange(std::shared_ptr<http::Exchange> exchange) {
  const std::string& path = exchange->GetRequest().path;
  if (path.starts_with("/v1/")) {
    m_traffic->Accept(std::move(exchange));
  } else if (path == "/endpoint/v1/announce") {
    m_directory.OnAnnounce(*exchange);
  } else if (path.starts_with("/operator/v1/")) {
    m_api->Accept(std::move(exchange));
  } else if (path == "/healthz") {
    exchange->Answer(200, {{"content-type", "text/plain"}}, "ok\n");
  } else if (path == "/readyz") {
    AnswerReady(*exchange);
  } else if (path == "/metrics") {
    UpdateGauges();
    exchange->Answer(200, {{"content-type", "text/plain; version=0.0.4"}},
                     m_metrics->Text());
  } else {
    callers::SendErrorResponse(*exchange, ErrorKind::kUnknownPath, path);
  }
}

void Entry::AnswerReady(http::Exchange& exchange) {
  const bool ready = m_reach == ControlReach::kConnected && !m_shutting_down;
  const std::string_view word = m_shutting_down ? "draining" : NameOf(m_reach);
  exchange.Answer(ready ? 200 : 503, {{"content-type", "text/plain"}},
                  std::string(word) + "\n");
}

void Entry::OnPeerFrame(const peers::PeerInfo& peer,
                        const wire::FrameT& frame) {
  if (m_directory.OnFrame(peer, frame)) return;
  if (peer.role != wire::HostRole::Control) return;
  m_link.OnFrame(peer.run.host, frame, m_loop.Now());
  TakeFromLink();
}

void Entry::TakeFromLink() {
  const Instant now = m_loop.Now();
  m_core->OnEntriesChanged(m_link.EntryIndex(), m_link.EntryCount());
  if (m_link.GetConfiguration().Version() != m_version) Refresh();
  if (m_link.Reach() != m_reach) {
    m_reach = m_link.Reach();
    telemetry::Log(telemetry::LogLevel::kInfo, "control_reach",
                   {{"reach", std::string(NameOf(m_reach))}});
    m_core->OnControlReach(m_reach, now);
  }
  for (const wire::CommandAnswerT& answer : m_link.TakeAnswers()) {
    // Commands of a superseded incarnation are refused, so it stops serving.
    if (m_registration->OnAnswer(answer) == IncarnationStatus::kSuperseded)
      Shutdown();
    m_core->OnAnswer(answer, now);
  }
  for (const wire::CommandIdT& id : m_link.TakeSpooled())
    m_core->OnSpooled(id, now);
  for (const wire::RecallT& recall : m_link.TakeRecalls())
    m_core->OnRecall(recall, now);
  for (const wire::QuarantinePushT& push : m_link.TakeQuarantines())
    m_core->OnQuarantine(push, now);
  m_traffic->Pump();
}

void Entry::Refresh() {
  const Instant now = m_loop.Now();
  m_version = m_link.GetConfiguration().Version();
  m_core->OnRefresh(now);
  m_traffic->Pump();
}

void Entry::OnTick() {
  const Instant now = m_loop.Now();
  m_memory.OnTick(*m_hub, now);
  std::vector<wire::BudgetHoldingT> holdings;
  for (const budget::BudgetHandle budget : m_ledger->All()) {
    if (m_ledger->Held(budget) == 0) continue;
    wire::BudgetHoldingT holding;
    holding.budget = m_ledger->IdOf(budget);
    holding.tokens = m_ledger->Held(budget) - m_ledger->Reserved(budget);
    holding.demand_per_second = m_ledger->DemandPerSecond(budget, now);
    holdings.push_back(std::move(holding));
  }
  m_link.SetHoldings(std::move(holdings));
  if (now >= m_next_load_refresh) {
    m_next_load_refresh = now + kLoadRefreshInterval;
    m_router->Refresh(m_directory.GetDirectory(), m_link.GetConfiguration(),
                      now);
  }
  m_link.OnTimer(now);
  TakeFromLink();
  CheckDrained();
  m_tick.ArmIn(kTick);
}

void Entry::SendToControl() {
  for (const auto& [host, frame] : m_link.TakeFrames(m_loop.Now()))
    m_hub->Send(host, frame);
}

void Entry::UpdateGauges() {
  const peers::HubCounters& hub = m_hub->Counters();
  const serving::ServingCounters& serving = m_core->Counters();
  m_metrics->SetGauge("dotterelshift_open_requests",
                      "Requests taken and not ended",
                      static_cast<double>(m_core->OpenRequests()));
  m_metrics->SetGauge("dotterelshift_control_reach",
                      "0 never, 1 connected, 2 cut off",
                      static_cast<double>(m_reach));
  m_metrics->SetGauge("dotterelshift_configuration_version", "Version in force",
                      static_cast<double>(m_version));
  size_t usable = 0;
  for (const auto& [id, endpoint] : m_directory.GetDirectory().All())
    usable += endpoint.usable ? 1 : 0;
  m_metrics->SetGauge("dotterelshift_endpoints_usable",
                      "Endpoints that may be given work",
                      static_cast<double>(usable));
  const std::pair<std::string_view, uint64_t> counters[] = {
      {"dotterelshift_late_pieces_dropped_total", serving.late_chunks_dropped},
      {"dotterelshift_retries_total", serving.retries},
      {"dotterelshift_retries_denied_total", serving.retries_denied},
      {"dotterelshift_false_refusals_total", serving.false_refusals},
      {"dotterelshift_unwitnessed_attempts_total",
       serving.attempts_without_opening},
      {"dotterelshift_spooled_settlements_total", serving.spooled_settlements},
      {"dotterelshift_peer_bytes_in_total", hub.bytes_in},
      {"dotterelshift_peer_bytes_out_total", hub.bytes_out},
      {"dotterelshift_peer_bad_frames_total",
       hub.bad_frames + hub.oversized_frames},
      {"dotterelshift_peer_refused_hellos_total", hub.refused_hellos},
  };
  for (const auto& [name, value] : counters)
    m_metrics->SetCounter(name, "See docs/OPERATING.md",
                          static_cast<double>(value));
}

void Entry::Shutdown() {
  if (m_shutting_down) return;
  m_shutting_down = true;
  telemetry::Log(telemetry::LogLevel::kInfo, "shutdown_begun");
  m_notice.ArmIn(m_settings.shutdown_notice);
}

void Entry::CheckDrained() {
  if (!m_draining || !m_core->Drained() || m_traffic->OpenResponses() > 0)
    return;
  const Instant now = m_loop.Now();
  if (!m_drained_since.has_value()) m_drained_since = now;
  // Settlements are committed or spooled by now. Grants are returned as soon as
  // control can be reached; after kGrantReturnTimeout they are left to the next
  // incarnation.
  const bool returned = m_reach == ControlReach::kConnected && m_link.Idle();
  if (!returned && now - *m_drained_since < kGrantReturnTimeout) return;
  telemetry::Log(telemetry::LogLevel::kInfo, "shutdown_done",
                 {{"grants_returned", returned ? "yes" : "no"}});
  m_loop.Stop();
}

}  // namespace

std::unique_ptr<Daemon> MakeEntry(loop::Loop& loop,
                                  const settings::Settings& settings,
                                  Incarnation incarnation) {
  return std::make_unique<Entry>(loop, settings, incarnation);
}

}  // namespace dotterelshift::app
