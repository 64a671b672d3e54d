#include <map>      // for map
#include <set>      // for set
#include <string>   // for string
#include <utility>  // for move

#include "dotterelshift/app/command_id.h"          // for MakeCommandId
#include "dotterelshift/app/control_options.h"     // for ReplicaOptionsOf
#include "dotterelshift/app/control_replica.h"     // for ControlReplica
#include "dotterelshift/app/daemon.h"              // for Daemon
#include "dotterelshift/app/dial_log.h"            // for LogDial
#include "dotterelshift/app/directory_exchange.h"  // for DirectoryExchange
#include "dotterelshift/app/entry_pushes.h"        // for EntryPushes
#include "dotterelshift/app/gauges.h"              // for SetReplicaGauges
#include "dotterelshift/app/hub_options.h"         // for MakeHubOptions
#include "dotterelshift/app/listen_options.h"      // for ListenOptions
#include "dotterelshift/app/member_dials.h"        // for MemberDials
#include "dotterelshift/app/operator_backend.h"    // for MakeControlBackend
#include "dotterelshift/app/origin_store.h"        // for OriginStore
#include "dotterelshift/app/process_memory.h"      // for ProcessMemory
#include "dotterelshift/app/routes_control.h"      // for ControlAdapter
#include "dotterelshift/app/routes_port.h"         // for MakeRoutesControl
#include "dotterelshift/app/suspect_changes.h"     // for SuspectChangesIn
#include "dotterelshift/base/address.h"            // for ParseAddress
#include "dotterelshift/budget/recall_core.h"      // for RecallCore
#include "dotterelshift/callers/front.h"           // for SendErrorResponse
#include "dotterelshift/endpoints/order_sender.h"  // for SendOrder
#include "dotterelshift/orders/order_core.h"       // for OrderCore
#include "dotterelshift/replication/membership.h"  // for VoterCount
#include "dotterelshift/telemetry/log.h"           // for Log
#include "dotterelshift/telemetry/metrics.h"       // for Metrics

namespace dotterelshift::app {
namespace {

constexpr Duration kTick = 100ms;
// How often the leader proposes to compact old bills and claims.
constexpr Duration kAgeOutInterval = 60s;
// Shorter than the longest delivery time that the order core allows for.
constexpr Duration kOrderTimeout = 8s;

// The control role: runs one replica of the state and serves the entries that
// propose to it and the operators.
class Control : public Daemon {
 public:
  Control(loop::Loop& loop, const settings::Settings& settings,
          Incarnation incarnation, std::unique_ptr<ControlAdapter> adapter);

  uint16_t PeerPort() const override { return m_hub->Port(); }
  uint16_t HttpPort() const override { return m_server->Port(); }
  void Shutdown() override {
    telemetry::Log(telemetry::LogLevel::kInfo, "shutdown_done");
    m_loop.Stop();
  }
  void Reload(const settings::Settings& settings) override;

 private:
  void DialMemberAddress(const std::string& address);
  void HangUpOldMembers();

  http::ServerOptions ServerOptions();
  peers::HubCallbacks HubCallbacks();
  ControlReplicaCallbacks ReplicaCallbacks();
  void LogLeadership() const;
  void OnExchange(std::shared_ptr<http::Exchange> exchange);
  void OnPeerUp(const peers::PeerInfo& peer);
  void OnPeerFrame(const peers::PeerInfo& peer, const wire::FrameT& frame);
  void OnPropose(const peers::PeerInfo& peer, const wire::ProposeT& propose);
  void OnHeartbeat(const peers::PeerInfo& peer, const wire::EntryBeatT& beat);
  void OnSpool(const peers::PeerInfo& peer, const wire::SpoolT& spool);
  void SendHint(const HostId& host);
  void OnApplied(const wire::CommandBatchT& batch,
                 const std::vector<wire::CommandAnswerT>& answers);
  void RecallFor(const wire::CommandIdT& requester,
                 const wire::RequestGrantT& request,
                 const wire::GrantAnswerT& answer);
  void SendOrders();
  void SendOrder(const orders::OrderAction& action);
  void SchedulePushes();
  void PushPending();
  void OnTick();
  std::unique_ptr<wire::CommandIdT> NextId();
  void UpdateGauges();

  loop::Loop& m_loop;
  settings::Settings m_settings;
  ProcessMemory m_memory;
  HostRun m_self;
  std::string m_secret;
  uint64_t m_sequence = 0;
  std::unique_ptr<ControlAdapter> m_adapter;
  DirectoryExchange m_directory;
  DepartureLog m_departure_log;
  MemberDials m_member_dials;
  OriginStore m_origins;
  std::unique_ptr<telemetry::Metrics> m_metrics;
  std::unique_ptr<http::Server> m_server;
  std::unique_ptr<http::Server> m_metrics_server;
  std::unique_ptr<peers::Hub> m_hub;
  std::unique_ptr<ControlReplica> m_replica;
  std::unique_ptr<OperatorBackend> m_backend;
  std::unique_ptr<operators::Api> m_api;
  std::unique_ptr<EntryPushes> m_pushes;
  std::unique_ptr<RoutesControl> m_routes;  // for the adapter
  budget::RecallCore m_recalls;
  std::unique_ptr<http::Client> m_client;
  std::unique_ptr<orders::OrderCore> m_orders;
  loop::Timer m_tick;
  loop::Timer m_push;
  bool m_pushes_scheduled = false;
  Instant m_next_age_out{};
};

Control::Control(loop::Loop& loop, const settings::Settings& settings,
                 Incarnation incarnation,
                 std::unique_ptr<ControlAdapter> adapter)
    : m_loop(loop),
      m_settings(settings),
      m_memory(settings),
      m_self{settings.host, incarnation},
      m_secret(settings::ReadSecret(settings.secret_file)),
      m_adapter(std::move(adapter)),
      m_directory(loop, ControlSpreadOptionsOf(settings), {},
                  {[] {}, [](const std::vector<wire::CacheEventT>&) {}}),
      m_departure_log(loop, settings.data_folder),
      m_origins(loop),
      m_metrics(telemetry::MakeMetrics()),
      m_client(http::MakeClient(loop)),
      m_orders(orders::MakeOrderCore()),
      m_tick(loop, [this] { OnTick(); }),
      m_push(loop, [this] { PushPending(); }) {
  m_server = http::MakeServer(loop, ServerOptions(),
                              [this](std::shared_ptr<http::Exchange> exchange) {
                                OnExchange(std::move(exchange));
                              });
  if (settings.metrics_port != 0) {
    m_metrics_server =
        http::MakeServer(loop,
                         ListenOptionsAt(settings, MetricsListenOf(settings),
                                         m_memory.Account()),
                         [this](std::shared_ptr<http::Exchange> exchange) {
                           OnExchange(std::move(exchange));
                         });
  }
  m_hub = peers::MakeHub(
      loop, MakeHubOptions(settings, m_secret, incarnation, m_server->Port()),
      HubCallbacks());
  m_directory.SetHub(m_hub.get());
  m_directory.SetDepartureLog(&m_departure_log);
  m_origins.Connect(m_hub.get());
  m_replica = MakeControlReplica(
      loop, ReplicaOptionsOf(settings, incarnation, m_hub->Port()),
      ReplicaCallbacks());
  m_pushes =
      std::make_unique<EntryPushes>(*m_hub, *m_replica, settings.retry_window);
  const std::string http_address = HttpAddressOf(settings, m_server->Port());
  m_backend =
      MakeControlBackend(loop, *m_hub, *m_replica, m_directory.GetDirectory(),
                         http_address, m_self, [this] { return NextId(); });
  m_routes = MakeRoutesControl(
      loop, *m_replica, *m_backend, m_directory,
      [this](Incarnation newest) { m_self.incarnation = newest + 1; });
  operators::ApiOptions api;
  api.fleet_secret = m_secret;
  if (!settings.operator_key_file.empty())
    api.keys = settings::ReadOperatorKeys(settings.operator_key_file);
  m_api = operators::MakeApi(api, *m_backend);
  for (const std::string& seed : SeedPeersOf(settings))
    m_member_dials.OnDialled(seed, loop.Now());
  m_tick.ArmIn(0ms);
}

http::ServerOptions Control::ServerOptions() {
  http::ServerOptions options = ListenOptions(m_settings, m_memory.Account());
  options.refusal = callers::ServerRefusalResponse;
  return options;
}

peers::HubCallbacks Control::HubCallbacks() {
  peers::HubCallbacks callbacks;
  callbacks.on_up = [this](const peers::PeerInfo& peer) { OnPeerUp(peer); };
  callbacks.on_down = [this](const peers::PeerInfo& peer) {
    m_directory.OnPeerDown(peer);
    m_origins.OnDown(peer.run.host);
    if (m_pushes) m_pushes->OnDown(peer.run.host, m_loop.Now());
  };
  callbacks.on_frame = [this](const peers::PeerInfo& peer,
                              const wire::FrameT& frame) {
    OnPeerFrame(peer, frame);
  };
  callbacks.on_dial_ended = LogDial;
  return callbacks;
}

ControlReplicaCallbacks Control::ReplicaCallbacks() {
  ControlReplicaCallbacks callbacks;
  callbacks.send = [this](const HostId& host, const wire::FrameT& frame) {
    m_hub->Send(host, frame);
  };
  callbacks.on_applied = [this](
                             const wire::CommandBatchT& batch,
                             const std::vector<wire::CommandAnswerT>& answers) {
    OnApplied(batch, answers);
  };
  callbacks.control_hosts = [this] {
    std::vector<HostId> hosts;
    for (const peers::PeerInfo& peer : m_hub->Peers())
      if (peer.role == wire::HostRole::Control) hosts.push_back(peer.run.host);
    return hosts;
  };
  callbacks.on_members_received =
      [this](const std::vector<std::string>& members) {
        for (const std::string& address : members) DialMemberAddress(address);
      };
  callbacks.on_leadership_changed = [this] {
    const bool leads = m_replica != nullptr && m_replica->Leads();
    m_orders->OnLeadership(leads, m_loop.Now());
    if (m_replica == nullptr) return;
    LogLeadership();
  };
  return callbacks;
}

void Control::LogLeadership() const {
  const replication::Node& node = m_replica->GetNode();
  const ReplicaLoad load = m_replica->Load();
  telemetry::Log(
      telemetry::LogLevel::kInfo, "leadership",
      {{"leader", m_replica->LeaderHost()},
       {"term", std::to_string(node.Term())},
       {"role", std::string(replication::NameOf(node.Role()))},
       {"acts", m_replica->Leads() ? "yes" : "no"},
       {"members", std::to_string(node.Members().replicas.size())},
       {"voters", std::to_string(replication::VoterCount(node.Members()))},
       {"last_index", std::to_string(node.LastIndex())},
       {"commit_index", std::to_string(node.Commit())},
       {"unapplied", std::to_string(load.unapplied_entries)},
       {"hellos", std::to_string(load.hellos)}});
}

void Control::OnExchange(std::shared_ptr<http::Exchange> exchange) {
  const std::string& path = exchange->GetRequest().path;
  if (m_adapter != nullptr && m_adapter->Accept(exchange, *m_routes)) return;
  if (path.starts_with("/operator/v1/")) {
    m_api->Accept(std::move(exchange));
  } else if (path == "/healthz") {
    exchange->Answer(200, {{"content-type", "text/plain"}}, "ok\n");
  } else if (path == "/readyz") {
    const bool ready = m_replica->Leads() || !m_replica->LeaderHost().empty();
    exchange->Answer(ready ? 200 : 503, {{"content-type", "text/plain"}},
                     ready ? "ready\n" : "no leader\n");
  } else if (path == "/metrics") {
    UpdateGauges();
    exchange->Answer(200, {{"content-type", "text/plain; version=0.0.4"}},
                     m_metrics->Text());
  } else {
    callers::SendErrorResponse(*exchange, ErrorKind::kUnknownPath, path);
  }
}

void Control::OnPeerUp(const peers::PeerInfo& peer) {
  m_directory.OnPeerUp(peer);
  if (peer.role != wire::HostRole::Entry) return;
  m_pushes->OnUp(peer);
  if (m_replica->Leads())
    m_pushes->PushQuarantine(peer.run.host, m_loop.WallNow());
}

void Control::OnPeerFrame(const peers::PeerInfo& peer,
                          const wire::FrameT& frame) {
  if (m_directory.OnFrame(peer, frame)) return;
  if (m_origins.OnFrame(peer, frame)) return;
  if (const auto* propose = frame.body.AsPropose()) {
    OnPropose(peer, *propose);
  } else if (const auto* beat = frame.body.AsEntryBeat()) {
    OnHeartbeat(peer, *beat);
  } else if (const auto* spool = frame.body.AsSpool()) {
    OnSpool(peer, *spool);
  } else if (peer.role == wire::HostRole::Control) {
    m_replica->OnFrame(peer, frame);
  }
}

void Control::OnPropose(const peers::PeerInfo& peer,
                        const wire::ProposeT& propose) {
  std::vector<wire::CommandT> commands;
  for (const auto& command : propose.commands) {
    // An entry may propose only for its own incarnation; a replica also for the
    // entries whose commands it has spooled.
    const bool own = command != nullptr && command->id != nullptr &&
                     (peer.role == wire::HostRole::Control ||
                      (command->id->host == peer.run.host &&
                       command->id->incarnation == peer.run.incarnation));
    if (own) commands.push_back(*command);
  }
  const HostId host = peer.run.host;
  m_replica->Propose(
      std::move(commands),
      [this, host](ErrorKind error, std::vector<wire::CommandAnswerT> answers) {
        if (error != ErrorKind::kNone) {
          SendHint(host);
          return;
        }
        wire::ProposeAnswersT reply;
        for (wire::CommandAnswerT& answer : answers) {
          reply.answers.push_back(
              std::make_unique<wire::CommandAnswerT>(std::move(answer)));
        }
        m_hub->Send(host, peers::MakeFrame(std::move(reply)));
      });
}

void Control::SendHint(const HostId& host) {
  wire::LeaderHintT hint;
  hint.host = m_replica->LeaderHost();
  hint.term = m_replica->GetNode().Term();
  hint.control = ReplicaAddresses(m_replica->GetNode());
  m_hub->Send(host, peers::MakeFrame(std::move(hint)));
}

void Control::OnHeartbeat(const peers::PeerInfo& peer,
                          const wire::EntryBeatT& beat) {
  if (!m_pushes->OnHeartbeat(peer.run.host, beat, m_loop.Now())) return;
  m_recalls.OnHeartbeat(peer.run.host, beat, m_loop.Now());
  const HostId host = peer.run.host;
  m_replica->ConfirmedRead(
      [this, host, sequence = beat.sequence](ErrorKind error) {
        if (error == ErrorKind::kNone) {
          SchedulePushes();
          return m_pushes->AnswerHeartbeat(host, sequence, m_loop.Now(),
                                           m_loop.WallNow());
        }
        // An entry that has just started knows only the seeds, and possibly
        // none of them leads.
        SendHint(host);
      });
}

void Control::OnSpool(const peers::PeerInfo& peer, const wire::SpoolT& spool) {
  try {
    m_replica->Spool(spool);
  } catch (const Error& error) {
    // Not stored, so not acknowledged: the entry sends it again.
    telemetry::Log(telemetry::LogLevel::kError, "spool_not_stored",
                   {{"detail", error.what()}});
    return;
  }
  wire::SpoolStoredT stored;
  for (const auto& command : spool.commands) {
    if (command == nullptr || command->id == nullptr) continue;
    stored.ids.push_back(std::make_unique<wire::CommandIdT>(*command->id));
  }
  m_hub->Send(peer.run.host, peers::MakeFrame(std::move(stored)));
}

void Control::OnApplied(const wire::CommandBatchT& batch,
                        const std::vector<wire::CommandAnswerT>& answers) {
  // While the log is restored at the start no entry is connected.
  if (m_replica == nullptr || !m_replica->Leads()) return;
  for (size_t i = 0; i < answers.size(); ++i) {
    const wire::CommandT& command = *batch.commands[i];
    const auto* request = command.body.AsRequestGrant();
    const auto* grant = answers[i].body.AsGrantAnswer();
    if (request != nullptr && grant != nullptr)
      RecallFor(*command.id, *request, *grant);
  }
  SchedulePushes();
  const auto suspects = SuspectChangesIn(batch, answers);
  if (!suspects.empty()) m_pushes->PushSuspects(suspects);
}

// Recalls idle tokens from other holders if a request was granted less than its
// minimum.
void Control::RecallFor(const wire::CommandIdT& requester,
                        const wire::RequestGrantT& request,
                        const wire::GrantAnswerT& answer) {
  const bool enough = answer.tokens > 0 && answer.tokens >= request.minimum;
  if (enough || answer.elsewhere == 0) return;
  if (!m_recalls.IsDue(request, m_loop.Now())) return;
  const HostRun run{requester.host, requester.incarnation};
  auto recalls = m_recalls.OnShortage(
      run, request, m_replica->GetState().HoldingsOf(request.budget),
      m_loop.Now());
  for (budget::RecallMessage& message : recalls)
    m_hub->Send(message.host, peers::MakeFrame(std::move(message.recall)));
}

void Control::SendOrders() {
  if (!m_replica->Leads()) return;
  const auto actions =
      m_orders->Decide(m_replica->GetState(), m_directory.GetDirectory(),
                       m_replica->GetNode().LeaseUntil(), m_loop.Now());
  for (const orders::OrderAction& action : actions) {
    if (action.kind == orders::OrderAction::Kind::kSend) {
      SendOrder(action);
    } else {
      wire::RecordOrderT record;
      record.order = action.order.id;
      record.state = action.state;
      record.detail = action.detail;
      wire::CommandT command;
      command.body.Set(std::move(record));
      // If the record is not committed, the order core decides again.
      m_backend->Propose(std::move(command),
                         [](ErrorKind, const wire::CommandAnswerT&) {});
    }
  }
}

void Control::SendOrder(const orders::OrderAction& action) {
  const std::string id = action.order.id;
  endpoints::SendOrder(
      *m_client, action.address, action.order, kOrderTimeout,
      [this, id](wire::OrderState state, const std::string& detail) {
        m_orders->OnResult(id, state, detail, m_loop.Now());
        SendOrders();
      });
}

// Pushes in a separate loop iteration, so that all changes applied in one
// iteration are pushed once, and frames of the group are handled between the
// pushes to a large fleet.
void Control::SchedulePushes() {
  if (std::exchange(m_pushes_scheduled, true)) return;
  m_push.ArmIn(0ms);
}

void Control::PushPending() {
  m_pushes_scheduled = false;
  if (!m_replica->Leads()) return;
  if (m_pushes->PushPending(m_loop.Now(), m_loop.WallNow())) SchedulePushes();
}

void Control::OnTick() {
  const Instant now = m_loop.Now();
  m_memory.OnTick(*m_hub, now);
  SendOrders();
  // Retries pushes that were postponed because of an entry's backlog.
  SchedulePushes();
  HangUpOldMembers();
  if (m_replica->Leads() && now >= m_next_age_out) {
    m_next_age_out = now + kAgeOutInterval;
    wire::CommandT command;
    command.body.Set(wire::AgeOutT());
    m_backend->Propose(std::move(command),
                       [](ErrorKind, const wire::CommandAnswerT&) {});
  }
  m_tick.ArmIn(kTick);
}

std::unique_ptr<wire::CommandIdT> Control::NextId() {
  return MakeCommandId(m_self, ++m_sequence);
}

// Dials a hub address received from another daemon; ignores invalid ones.
void Control::DialMemberAddress(const std::string& address) {
  if (!ParseAddress(address)) return;
  m_hub->Dial(address);
  m_member_dials.OnDialled(address, m_loop.Now());
}

// Without a leader, the members that are known may be outdated.
void Control::HangUpOldMembers() {
  if (m_replica->LeaderHost().empty()) return;
  const std::vector<std::string> seeds = SeedPeersOf(m_settings);
  std::set<std::string> wanted(seeds.begin(), seeds.end());
  for (const auto& member : m_replica->GetNode().Members().replicas)
    wanted.insert(member->host);
  for (const std::string& address :
       m_member_dials.TakeUnwanted(wanted, m_loop.Now())) {
    telemetry::Log(telemetry::LogLevel::kInfo, "member_dial_ended",
                   {{"address", address}});
    m_hub->HangUp(address);
  }
}

void Control::Reload(const settings::Settings& settings) {
  m_settings.seeds = settings.seeds;
  for (const std::string& seed : SeedPeersOf(settings)) DialMemberAddress(seed);
}

void Control::UpdateGauges() {
  SetReplicaGauges(*m_metrics, *m_replica, m_pushes->Entries());
  SetTokenGauges(*m_metrics, m_replica->GetState());
  SetRoutesSentCounters(*m_metrics, m_pushes->Sent());
  SetHubMetrics(*m_metrics, *m_hub);
  m_origins.SetMetrics(*m_metrics);
  m_memory.SetMetrics(*m_metrics);
}

}  // namespace

std::unique_ptr<Daemon> MakeControl(loop::Loop& loop,
                                    const settings::Settings& settings,
                                    Incarnation incarnation,
                                    std::unique_ptr<ControlAdapter> adapter) {
  return std::make_unique<Control>(loop, settings, incarnation,
                                   std::move(adapter));
}

}  // namespace dotterelshift::app
