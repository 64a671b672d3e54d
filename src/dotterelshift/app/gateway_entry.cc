#include <functional>  // for bind_front
#include <optional>    // for optional
#include <string>      // for string
#include <utility>     // for move

#include "dotterelshift/app/command_id.h"             // for MakeCommandId
#include "dotterelshift/app/control_link.h"           // for ControlLink
#include "dotterelshift/app/daemon.h"                 // for Daemon
#include "dotterelshift/app/dial_log.h"               // for LogDial
#include "dotterelshift/app/directory_exchange.h"     // for DirectoryExchange
#include "dotterelshift/app/endpoint_relays.h"        // for EndpointRelays
#include "dotterelshift/app/entry_peers.h"            // for EntryPeers
#include "dotterelshift/app/entry_shutdown.h"         // for EntryShutdown
#include "dotterelshift/app/gateway_options.h"        // for CoreOptionsOf
#include "dotterelshift/app/gateway_traffic.h"        // for GatewayTraffic
#include "dotterelshift/app/gauges.h"                 // for SetGauges
#include "dotterelshift/app/hub_options.h"            // for MakeHubOptions
#include "dotterelshift/app/link_guard.h"             // for LinkGuard
#include "dotterelshift/app/listen_options.h"         // for ListenOptions
#include "dotterelshift/app/origin_exchange.h"        // for OriginExchange
#include "dotterelshift/app/process_memory.h"         // for ProcessMemory
#include "dotterelshift/app/registration.h"           // for Registration
#include "dotterelshift/app/version_tracker.h"        // for VersionTracker
#include "dotterelshift/callers/front.h"              // for SendErrorResponse
#include "dotterelshift/gateway/suspicion_command.h"  // for SuspicionCommand
#include "dotterelshift/telemetry/log.h"              // for Log

namespace dotterelshift::app {
namespace {

using serving::ControlReach;

// Interval at which the link to control and the spend reports are checked.
constexpr Duration kTick = 50ms;

// Limits are reported to control for this long after the last response that
// named or lifted them: some heartbeats.
constexpr Duration kLimitNotesMemory = 3s;

// The entry role under published routes: connects callers with endpoints and
// control through the gateway's core.
class GatewayEntry : public Daemon {
 public:
  GatewayEntry(loop::Loop& loop, const settings::Settings& settings,
               Incarnation incarnation,
               std::unique_ptr<gateway::Dialect> dialect);

  uint16_t PeerPort() const override { return m_hub->Port(); }
  uint16_t HttpPort() const override { return m_server->Port(); }
  void Shutdown() override;
  void Reload(const settings::Settings& settings) override;

 private:
  void StartServers();
  peers::HubCallbacks HubCallbacks();
  gateway::CoreDependencies Parts();
  EndpointRelays::Parts RelayParts();
  EntryPeers::Parts PeerParts();
  void OnExchange(std::shared_ptr<http::Exchange> exchange);
  void OnHealth(http::Exchange& exchange);
  void OnPeerFrame(const peers::PeerInfo& peer, const wire::FrameT& frame);
  void TakeFromLink();
  void TakeRoutes();
  void TakeEntryCount();
  void OnReach();
  void OnAnswer(const wire::CommandAnswerT& answer);
  void OnSuspect(const wire::SuspectAnswerT& suspect);
  void Register();
  void DialMembers();
  std::unique_ptr<wire::CommandIdT> NextId();
  void OnEndpointsChanged();
  void OnTick();
  bool MayKeep(size_t silent) const;
  LinkGuard::Traffic LinkTraffic() const;
  void SendToPeers();
  void UpdateGauges();
  bool IsReady() const {
    return m_reach != ControlReach::kNever && m_version > 0 &&
           !m_shutdown->HasBegun() && !m_link_guard.IsShedding();
  }

  loop::Loop& m_loop;
  settings::Settings m_settings;
  ProcessMemory m_memory;
  uint64_t m_sequence = 0;
  Registration m_registration;
  std::unique_ptr<gateway::Dialect> m_dialect;
  ControlLink m_link;
  DirectoryExchange m_directory;
  VersionTracker m_versions;
  OriginExchange m_origins;
  gateway::FleetLoad m_load;
  gateway::FleetLimits m_limits;
  gateway::HeldGrants m_budgets;
  gateway::RetryShare m_retries;
  LinkGuard m_link_guard;
  gateway::EndpointPaths m_paths;
  gateway::SendPacer m_pacer;
  uint64_t m_paced_bytes = 0;  // other bytes sent, as last reported to m_pacer
  quarantine::Blocklist m_blocklist;
  gateway::CrashSuspects m_suspects;
  std::unique_ptr<gateway::Core> m_core;
  std::unique_ptr<telemetry::Metrics> m_metrics;
  std::unique_ptr<GatewayTraffic> m_traffic;
  std::unique_ptr<http::Server> m_server;
  std::unique_ptr<http::Server> m_health;
  std::unique_ptr<http::Server> m_metrics_server;
  std::unique_ptr<peers::Hub> m_hub;
  std::unique_ptr<EntryPeers> m_entry_peers;
  std::unique_ptr<EndpointRelays> m_relays;
  ControlReach m_reach = ControlReach::kNever;
  uint64_t m_version = 0;           // of the routes in force here
  uint64_t m_received_version = 0;  // of the newest received, valid or not
  std::shared_ptr<const gateway::RouteTable> m_routes;
  size_t m_entries = 1;
  std::unique_ptr<EntryShutdown> m_shutdown;
  loop::Timer m_tick;
  loop::PrepareWatcher m_prepare;
};

GatewayEntry::GatewayEntry(loop::Loop& loop, const settings::Settings& settings,
                           Incarnation incarnation,
                           std::unique_ptr<gateway::Dialect> dialect)
    : m_loop(loop),
      m_settings(settings),
      m_memory(settings),
      m_registration(RegistrationOptionsOf(settings, incarnation)),
      m_dialect(std::move(dialect)),
      m_link(ControlLinkOptionsOf(m_registration.Self())),
      m_directory(loop, SpreadOptionsOf(settings.host), DirectoryOptionsOf(),
                  {[this] { OnEndpointsChanged(); },
                   [](const std::vector<wire::CacheEventT>&) {}}),
      m_versions(m_directory),
      m_origins(loop, m_versions.Origins()),
      m_load(LoadOptionsOf(settings)),
      m_limits(LimitOptionsOf(settings), m_load, loop.Now()),
      m_budgets({}, [this] { return NextId(); }),
      m_retries(RetryOptionsOf(settings)),
      m_link_guard(settings),
      m_paths(PathOptionsOf(settings)),
      m_pacer(SendPacerOptionsOf(settings)),
      m_core(gateway::MakeCore(CoreOptionsOf(incarnation), Parts())),
      m_metrics(telemetry::MakeMetrics()),
      m_traffic(std::make_unique<GatewayTraffic>(
          loop, *m_core, *m_dialect, *m_metrics, m_link_guard,
          settings.source_address, ResponseBoundsOf(settings))),
      m_tick(loop, [this] { OnTick(); }),
      m_prepare(
          loop, [this] { SendToPeers(); }, EV_MINPRI + 1) {
  m_traffic->SetKeepPolicy([this](size_t silent) { return MayKeep(silent); });
  m_traffic->SetIdleClosed(
      std::bind_front(&VersionTracker::OnIdleClosed, &m_versions));
  StartServers();
  const std::string secret = settings::ReadSecret(settings.secret_file);
  m_hub = peers::MakeHub(
      loop, MakeHubOptions(settings, secret, incarnation, m_server->Port()),
      HubCallbacks());
  m_relays = std::make_unique<EndpointRelays>(loop, settings, RelayParts());
  m_entry_peers = std::make_unique<EntryPeers>(
      loop, settings.data_centre, LoadUpdatePacerOptionsOf(settings),
      PeerParts());
  m_shutdown = std::make_unique<EntryShutdown>(
      loop,
      EntryShutdown::Parts{m_core.get(), m_traffic.get(), m_server.get(),
                           m_relays.get(), &m_link, &m_budgets, &m_limits});
  m_directory.SetHub(m_hub.get());
  Register();
  m_tick.ArmIn(0ms);
}

gateway::CoreDependencies GatewayEntry::Parts() {
  return {.load = &m_load,
          .budgets = &m_budgets,
          .retries = &m_retries,
          .blocklist = &m_blocklist,
          .pacer = &m_pacer,
          .paths = &m_paths,
          .versions = &m_versions.Versions(),
          .origins = &m_versions.Origins(),
          .restarts = &m_versions.Restarts(),
          .lookup = &m_origins.Lookup(),
          .suspects = &m_suspects,
          .limits = &m_limits};
}

EndpointRelays::Parts GatewayEntry::RelayParts() {
  return {.paths = &m_paths,
          .directory = &m_directory.GetDirectory(),
          .core = m_core.get(),
          .hub = m_hub.get(),
          .has_room = [this] { return !m_link_guard.IsFull(m_loop.Now()); },
          .pump = [this] { m_traffic->Pump(); }};
}

// Once holdings are being returned to control, nothing is lent any more.
EntryPeers::Parts GatewayEntry::PeerParts() {
  return {.hub = m_hub.get(),
          .core = m_core.get(),
          .load = &m_load,
          .budgets = &m_budgets,
          .versions = &m_versions,
          .exchange = &m_origins,
          .directory = &m_directory,
          .relays = m_relays.get(),
          .traffic = m_traffic.get(),
          .limits = &m_limits,
          .may_lend = [this] { return !m_shutdown->IsReturning(); }};
}

void GatewayEntry::StartServers() {
  http::ServerOptions options = ListenOptions(m_settings, m_memory.Account());
  m_traffic->SetMemory(&m_memory.Account());
  m_link_guard.SetOptions(options);
  m_traffic->SetOptions(options);
  m_server = http::MakeServer(m_loop, options,
                              [this](std::shared_ptr<http::Exchange> exchange) {
                                OnExchange(std::move(exchange));
                              });
  const auto serve_health = [this](const std::string& listen) {
    return http::MakeServer(
        m_loop, ListenOptionsAt(m_settings, listen, m_memory.Account()),
        [this](const std::shared_ptr<http::Exchange>& exchange) {
          OnHealth(*exchange);
        });
  };
  if (!m_settings.health_listen.empty())
    m_health = serve_health(m_settings.health_listen);
  if (m_settings.metrics_port != 0)
    m_metrics_server = serve_health(MetricsListenOf(m_settings));
}

void GatewayEntry::OnExchange(std::shared_ptr<http::Exchange> exchange) {
  m_link_guard.OnRequest(exchange->GetRequest());
  m_traffic->Accept(std::move(exchange));
}

peers::HubCallbacks GatewayEntry::HubCallbacks() {
  peers::HubCallbacks callbacks;
  callbacks.on_up = [this](const peers::PeerInfo& peer) {
    telemetry::Log(telemetry::LogLevel::kInfo, "peer_up",
                   {{"peer", peer.run.host}});
    if (peer.role != wire::HostRole::Control) return m_entry_peers->OnUp(peer);
    m_directory.OnPeerUp(peer);
    m_origins.OnUp(peer);
    m_link.OnPeerUp(peer.run.host, m_loop.Now());
    m_tick.ArmIn(0ms);
  };
  callbacks.on_down = [this](const peers::PeerInfo& peer) {
    telemetry::Log(telemetry::LogLevel::kWarning, "peer_down",
                   {{"peer", peer.run.host}});
    if (peer.role != wire::HostRole::Control)
      return m_entry_peers->OnDown(peer);
    m_directory.OnPeerDown(peer);
    m_origins.OnDown(peer);
    m_link.OnPeerDown(peer.run.host, m_loop.Now());
    m_tick.ArmIn(0ms);
  };
  callbacks.on_frame = std::bind_front(&GatewayEntry::OnPeerFrame, this);
  callbacks.on_dial_ended = [this](const peers::DialReport& report) {
    LogDial(report);
    m_origins.OnDialEnded(report);
  };
  return callbacks;
}

void GatewayEntry::OnPeerFrame(const peers::PeerInfo& peer,
                               const wire::FrameT& frame) {
  if (peer.role != wire::HostRole::Control)
    return m_entry_peers->OnFrame(peer, frame);
  if (m_origins.OnFrame(peer, frame)) return;
  if (m_directory.OnFrame(peer, frame)) return;
  m_link.OnFrame(peer.run.host, frame, m_loop.Now());
  TakeFromLink();
}

void GatewayEntry::TakeFromLink() {
  const Instant now = m_loop.Now();
  if (m_link.RoutesVersion() != m_received_version) TakeRoutes();
  if (m_link.EntryCount() != m_entries) TakeEntryCount();
  if (const std::optional<Instant> confirmed = m_link.ConfirmedAt()) {
    m_retries.OnEntryCount(m_link.EntryCount(), *confirmed, now);
    m_limits.OnCount({m_link.EntryCount(), m_link.DataCentreCount(),
                      m_link.CountedFor(), *confirmed},
                     now);
  }
  m_limits.OnNotes(m_link.TakeLimitNotes(), "control", now);
  if (m_link.Reach() != m_reach) OnReach();
  for (const wire::CommandAnswerT& answer : m_link.TakeAnswers())
    OnAnswer(answer);
  for (const wire::RecallT& recall : m_link.TakeRecalls())
    m_budgets.OnRecall(recall, now);
  for (const wire::QuarantinePushT& push : m_link.TakeQuarantines())
    for (const auto& entry : push.entries) OnSuspect(*entry);
  DialMembers();
  m_traffic->Pump();
}

void GatewayEntry::TakeRoutes() {
  m_received_version = m_link.RoutesVersion();
  const Instant start = m_loop.Now();
  std::string why;
  auto routes = m_dialect->ReadRoutes(m_link.RoutesDocument(), &why);
  if (!routes) {
    // Control validates routes before it commits them, so that this happens
    // only if control runs another version of the program.
    telemetry::Log(
        telemetry::LogLevel::kError, "routes_unreadable",
        {{"version", std::to_string(m_received_version)}, {"why", why}});
    return;
  }
  m_version = m_received_version;
  m_routes = std::make_shared<const gateway::RouteTable>(std::move(*routes));
  m_server->SetCallerTimes(CallerTimesOf(m_routes->Get().limits));
  m_core->OnRoutes(m_routes, m_entries, m_loop.Now());
  telemetry::Log(telemetry::LogLevel::kInfo, "routes_in_force",
                 {{"version", std::to_string(m_version)},
                  {"entries", std::to_string(m_entries)},
                  {"bytes", std::to_string(m_link.RoutesDocument().size())},
                  {"read_ms", std::to_string(ToMs(m_loop.Now() - start))}});
}

// Reuses the parsed routes; only the number of entries has changed.
void GatewayEntry::TakeEntryCount() {
  m_entries = m_link.EntryCount();
  m_load.SetEntries(m_entries);
  if (m_routes) m_core->OnRoutes(m_routes, m_entries, m_loop.Now());
}

void GatewayEntry::OnReach() {
  m_reach = m_link.Reach();
  telemetry::Log(
      telemetry::LogLevel::kInfo, "control_reach",
      {{"reach", std::string(NameOf(m_reach))}, {"leader", m_link.Leader()}});
  const bool connected = m_reach == ControlReach::kConnected;
  m_budgets.SetConnected(connected, m_loop.Now());
  m_suspects.SetConnected(connected);
}

void GatewayEntry::OnAnswer(const wire::CommandAnswerT& answer) {
  const IncarnationStatus status = m_registration.OnAnswer(answer);
  if (status == IncarnationStatus::kSuperseded) return Shutdown();
  if (status == IncarnationStatus::kRaised) return Register();
  if (const auto* suspect = answer.body.AsSuspectAnswer()) OnSuspect(*suspect);
  if (m_budgets.OnAnswer(answer, m_loop.Now()))
    m_core->OnBudgetChanged(m_loop.Now());
}

void GatewayEntry::OnSuspect(const wire::SuspectAnswerT& suspect) {
  if (suspect.shared)
    m_suspects.OnAnswer(suspect, m_loop.Now());
  else
    m_blocklist.OnEntry(suspect, m_loop.Now());
}

void GatewayEntry::Register() {
  m_link.Propose(m_registration.Command(++m_sequence));
}

std::unique_ptr<wire::CommandIdT> GatewayEntry::NextId() {
  return MakeCommandId(m_registration.Self(), ++m_sequence);
}

void GatewayEntry::DialMembers() {
  for (const std::string& address : m_link.ControlAddresses())
    m_hub->Dial(address);
  for (const std::string& address : m_link.EntryAddresses())
    m_hub->Dial(address);
  m_entry_peers->SetEntryAddresses(m_link.EntryAddresses());
  m_entry_peers->SetDistantEntries(m_link.DistantEntries());
  m_origins.SetControl(m_link.ControlAddresses());
}

void GatewayEntry::OnEndpointsChanged() {
  m_core->OnEndpointsChanged(m_directory.GetDirectory(), m_loop.Now());
  m_versions.LogChanges();
  m_traffic->Pump();
}

void GatewayEntry::OnTick() {
  const Instant now = m_loop.Now();
  m_memory.OnTick(*m_hub, now);
  m_link_guard.OnControlRoundTrip(m_link.TakeMaxHeartbeatTime());
  m_link_guard.Watch(*m_server, m_hub->Counters(), now);
  m_link.SetHoldings(m_budgets.Holdings(now));
  m_link.SetLimitNotes(m_limits.OwnNotes(kLimitNotesMemory, now));
  m_link.OnTimer(now);
  TakeFromLink();
  m_traffic->CheckAcknowledged();
  m_relays->OnTick();
  m_versions.OnTick(m_link, *m_core, now);
  m_link.SetWantsRelays(m_paths.LacksRelay(now), now);
  m_shutdown->Check();
  m_tick.ArmIn(kTick);
}

// An entry that shuts down keeps no connections, so that callers on open ones
// move to other entries too.
bool GatewayEntry::MayKeep(size_t silent) const {
  return !m_shutdown->HasBegun() &&
         m_link_guard.MayKeep(*m_server, silent, m_loop.Now());
}

LinkGuard::Traffic GatewayEntry::LinkTraffic() const {
  const peers::HubCounters& peers = m_hub->Counters();
  const gateway::LinkBytes relayed = {m_relays->Bytes(), m_relays->Bytes()};
  return {m_traffic->Bytes() + relayed,
          {peers.bytes_in, peers.bytes_out},
          m_core->WaitingForLink().bytes};
}

// Called at the end of each event loop iteration: sends commands to control and
// load updates to the other entries.
void GatewayEntry::SendToPeers() {
  const Instant now = m_loop.Now();
  m_link_guard.Adjust(*m_server, LinkTraffic(), now);
  const uint64_t bytes = m_traffic->BytesToCallers() +
                         m_hub->Counters().bytes_out + m_relays->Bytes();
  m_pacer.OnBytes(bytes - std::exchange(m_paced_bytes, bytes), now);
  m_entry_peers->Send(now);
  if (m_shutdown->IsReturning()) {
    m_shutdown->ReturnHoldings();
  } else if (m_registration.Done()) {
    for (wire::CommandT& command : m_budgets.TakeCommands(now))
      m_link.Propose(std::move(command));
  }
  for (const gateway::SuspectReport& suspicion : m_core->TakeSuspectReports()) {
    wire::CommandT command = gateway::SuspicionCommand(suspicion);
    command.id = NextId();
    m_link.Propose(std::move(command));
  }
  for (const auto& [host, frame] : m_link.TakeFrames(now))
    m_hub->Send(host, frame);
  m_relays->StartProbes();
}

void GatewayEntry::OnHealth(http::Exchange& exchange) {
  const std::string& path = exchange.GetRequest().path;
  if (path == "/metrics") {
    UpdateGauges();
    exchange.Answer(200, {{"content-type", "text/plain; version=0.0.4"}},
                    m_metrics->Text());
  } else if (path == m_dialect->ReadyPath() || path == "/readyz") {
    exchange.Answer(IsReady() ? 200 : 503, {{"content-type", "text/plain"}},
                    IsReady() ? "ready\n" : "not ready\n");
  } else if (path == "/healthz") {
    exchange.Answer(200, {{"content-type", "text/plain"}}, "ok\n");
  } else {
    callers::SendErrorResponse(exchange, ErrorKind::kUnknownPath, path);
  }
}

void GatewayEntry::UpdateGauges() {
  SetGauges(
      *m_metrics,
      {{"dotterelshift_open_requests", "Requests taken and not ended",
        Number(m_core->OpenRequests())},
       {"dotterelshift_control_reach", "0 never, 1 connected, 2 cut off",
        Number(m_reach)},
       {"dotterelshift_routes_version", "Version in force", Number(m_version)},
       {"dotterelshift_commands_unanswered",
        "Sent to control, or waiting for a leader",
        Number(m_link.Unanswered())}});
  SetHeldTokenGauges(*m_metrics, m_budgets.HeldSums());
  SetHubMetrics(*m_metrics, *m_hub);
  m_link_guard.SetMetrics(*m_metrics);
  m_traffic->SetMetrics();
  SetLinkQueueMetrics(*m_metrics, m_core->WaitingForLink());
  SetRetryMetrics(*m_metrics, m_retries.UseByService(m_loop.Now()));
  SetLimitMetrics(*m_metrics, m_limits, *m_core, m_loop.Now());
  SetEndpointMetrics(*m_metrics, m_load.CountByService(m_loop.Now()));
  m_versions.SetMetrics(*m_metrics, *m_core);
  m_origins.SetMetrics(*m_metrics);
  m_relays->SetMetrics(*m_metrics);
  m_memory.SetMetrics(*m_metrics);
  SetSuspectMetrics(*m_metrics, m_suspects, *m_core, m_loop.Now());
}

// Applies only what may change while running: the addresses through which the
// group can be reached.
void GatewayEntry::Reload(const settings::Settings& settings) {
  for (const std::string& seed : settings.seeds)
    m_hub->Dial(PeerAddressOf(seed, settings.peer_port));
  m_settings.shutdown_limit = settings.shutdown_limit;
}

void GatewayEntry::Shutdown() {
  m_shutdown->Begin(m_settings.shutdown_notice, m_settings.shutdown_limit);
}

}  // namespace

std::unique_ptr<Daemon> MakeGatewayEntry(
    loop::Loop& loop, const settings::Settings& settings,
    Incarnation incarnation, std::unique_ptr<gateway::Dialect> dialect) {
  return std::make_unique<GatewayEntry>(loop, settings, incarnation,
                                        std::move(dialect));
}

}  // namespace dotterelshift::app
