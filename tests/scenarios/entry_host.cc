#include "scenarios/entry_host.h"

#include <utility>  // for move

namespace dotterelshift::scenarios {
namespace {

constexpr Duration kHeartbeatInterval = 500ms;
constexpr Duration kCutOffTimeout = 3s;
constexpr Duration kResendInterval = 250ms;
constexpr Duration kGossipInterval = 100ms;
// Sequence number of the registration command, out of the range of the core's
// own commands, which are numbered from 1.
constexpr uint64_t kRegistration = 1ULL << 40;

}  // namespace

EntryHost::EntryHost(std::string name, DataCentreId data_centre,
                     bool serve_when_cut_off, EntryLinks links)
    : m_name(std::move(name)),
      m_data_centre(std::move(data_centre)),
      m_serve_when_cut_off(serve_when_cut_off),
      m_links(std::move(links)) {}

void EntryHost::Start() {
  ++m_incarnation;
  m_configuration = {};
  m_directory = directory::Directory();
  m_ledger = budget::MakeLedger();
  routing::RouterOptions router;
  router.data_centre = m_data_centre;
  m_router = routing::MakeRouter(router);
  m_queue = admission::MakeFairQueue();
  serving::RequestCoreOptions options;
  options.self = Self();
  options.serve_when_cut_off = m_serve_when_cut_off;
  m_core = serving::MakeRequestCore(
      options, {&m_configuration, &m_directory, m_ledger.get(), m_router.get(),
                m_queue.get()});
  m_reach = serving::ControlReach::kNever;
  m_generation = 0;
  m_unanswered.clear();
  m_ledger->SetConnected(false, m_links.network->Now());
  Register();
}

void EntryHost::Kill() {
  m_core.reset();
  m_endpoints.clear();
  m_requests.clear();
  m_links.records->OnEntryLost(m_name);
}

void EntryHost::Shutdown() {
  m_core->StartDraining(m_links.network->Now());
  ExecuteActions();
}

void EntryHost::Register() {
  wire::RegisterHostT body;
  body.data_centre = m_data_centre;
  body.address = "127.0.0.1:1";
  body.role = wire::HostRole::Entry;
  wire::CommandT command;
  command.id = std::make_unique<wire::CommandIdT>();
  command.id->host = m_name;
  command.id->incarnation = m_incarnation;
  command.id->sequence = kRegistration;
  command.body.Set(std::move(body));
  m_unanswered[kRegistration] = std::move(command);
}

void EntryHost::Tick() {
  if (!Alive()) return;
  const Instant now = m_links.network->Now();
  if (m_heartbeat_due <= now) SendHeartbeat();
  if (m_resend_due <= now) SendUnanswered();
  if (m_gossip_due <= now) GossipDirectory();
  if (m_reach == serving::ControlReach::kConnected &&
      now - m_last_heartbeat > kCutOffTimeout) {
    SetReach(serving::ControlReach::kCutOff);
  }
  m_directory.OnTimer(now);
  if (m_directory.Generation() != m_generation) Refresh();
  const auto due = m_core->NextTimer();
  if (due && *due <= now) m_core->OnTimer(now);
  ExecuteActions();
}

void EntryHost::SendHeartbeat() {
  const Instant sent = m_links.network->Now();
  m_heartbeat_due = sent + kHeartbeatInterval;
  const wire::EntryBeatT held = CurrentHoldings();
  for (ControlHost* control : m_links.controls()) {
    m_links.network->Send(m_name, control->Name(), [this, control, sent, held] {
      control->OnHeartbeat(m_name, held);
      control->ConfirmedRead([this, control, sent] {
        const Heartbeat heartbeat = MakeHeartbeat(*control, sent, Version());
        m_links.network->Send(control->Name(), m_name,
                              [this, heartbeat] { OnHeartbeat(heartbeat); });
      });
    });
  }
}

wire::EntryBeatT EntryHost::CurrentHoldings() const {
  wire::EntryBeatT heartbeat;
  for (const budget::BudgetHandle budget : m_ledger->All()) {
    auto held = std::make_unique<wire::BudgetHoldingT>();
    held->budget = m_ledger->IdOf(budget);
    held->tokens = m_ledger->Held(budget) - m_ledger->Reserved(budget);
    held->demand_per_second =
        m_ledger->DemandPerSecond(budget, m_links.network->Now());
    heartbeat.held.push_back(std::move(held));
  }
  return heartbeat;
}

EntryHost::Heartbeat EntryHost::MakeHeartbeat(const ControlHost& control,
                                              Instant sent, uint64_t version) {
  Heartbeat heartbeat;
  heartbeat.sent = sent;
  const state::State& state = control.GetState();
  heartbeat.version = state.GetConfiguration().Version();
  if (version > 0) heartbeat.changes = state.ChangesSince(version);
  heartbeat.whole = heartbeat.changes.empty() && heartbeat.version > version;
  if (heartbeat.whole) heartbeat.changes = state.GetConfiguration().AsChanges();
  heartbeat.quarantined = state.Quarantined(state.LastStamp());
  return heartbeat;
}

void EntryHost::OnHeartbeat(const Heartbeat& heartbeat) {
  if (!Alive()) return;
  m_last_heartbeat = std::max(m_last_heartbeat, heartbeat.sent);
  if (heartbeat.version > Version()) {
    if (heartbeat.whole) m_configuration = {};
    m_configuration.Apply(heartbeat.changes, heartbeat.version);
    m_links.records->Trace(
        m_links.network->Now(),
        m_name + " has version " + std::to_string(heartbeat.version));
    Refresh();
  }
  wire::QuarantinePushT push;
  for (const wire::SuspectAnswerT& entry : heartbeat.quarantined)
    push.entries.push_back(std::make_unique<wire::SuspectAnswerT>(entry));
  if (!push.entries.empty()) m_core->OnQuarantine(push, m_links.network->Now());
  if (Version() > 0) SetReach(serving::ControlReach::kConnected);
  ExecuteActions();
}

void EntryHost::SetReach(serving::ControlReach reach) {
  if (m_reach == reach) return;
  m_reach = reach;
  const bool connected = reach == serving::ControlReach::kConnected;
  const Instant now = m_links.network->Now();
  m_links.records->Trace(
      now, m_name + (connected ? " is connected" : " is cut off"));
  m_ledger->SetConnected(connected, now);
  m_core->OnControlReach(reach, now);
}

void EntryHost::SendUnanswered() {
  m_resend_due = m_links.network->Now() + kResendInterval;
  if (m_unanswered.empty()) return;
  std::vector<wire::CommandT> commands;
  for (const auto& [sequence, command] : m_unanswered)
    commands.push_back(command);
  for (ControlHost* control : m_links.controls()) {
    m_links.network->Send(m_name, control->Name(),
                          [control, commands] { control->Propose(commands); });
  }
}

void EntryHost::GossipDirectory() {
  const Instant now = m_links.network->Now();
  m_gossip_due = now + kGossipInterval;
  const wire::DirectoryDeltaT delta = m_directory.TakeDelta(now);
  if (delta.records.empty()) return;
  for (EntryHost* other : m_links.entries()) {
    if (other == this) continue;
    m_links.network->Send(m_name, other->Name(), [other, delta] {
      for (const auto& record : delta.records) other->OnAnnouncement(*record);
    });
  }
}

void EntryHost::OnAnnouncement(const wire::EndpointRecordT& record) {
  if (Alive()) m_directory.OnRecord(record, m_links.network->Now());
}

void EntryHost::Refresh() {
  const Instant now = m_links.network->Now();
  m_generation = m_directory.Generation();
  m_router->Refresh(m_directory, m_configuration, now);
  m_core->OnRefresh(now);
  ExecuteActions();
}

void EntryHost::OnRequest(const RequestRecord& record,
                          const callers::CallerRequest& request) {
  if (!Alive()) {
    m_links.records->OnEntryLost(m_name);
    return;
  }
  m_core->OnRequest(record.id, request, m_links.network->Now());
  ExecuteActions();
}

void EntryHost::OnCallerGone(RequestId request) {
  if (!Alive()) return;
  m_core->OnCallerGone(request, m_links.network->Now());
  ExecuteActions();
}

void EntryHost::OnAnswer(const wire::CommandAnswerT& answer) {
  if (!Alive() || answer.id->incarnation != m_incarnation) return;
  if (m_unanswered.erase(answer.id->sequence) == 0) return;
  m_core->OnAnswer(answer, m_links.network->Now());
  ExecuteActions();
}

void EntryHost::OnRecall(const wire::RecallT& recall) {
  if (!Alive()) return;
  m_core->OnRecall(recall, m_links.network->Now());
  ExecuteActions();
}

bool EntryHost::Is(const Connection& connection) const {
  return Alive() && connection.incarnation == m_incarnation;
}

void EntryHost::OnHead(const Connection& connection, int status) {
  if (!Is(connection)) return;
  m_core->OnAttemptHead(connection.attempt, status, m_links.network->Now());
  ExecuteActions();
}

void EntryHost::OnChunk(const Connection& connection, RequestId from,
                        const serving::Chunk& chunk) {
  if (!Is(connection)) return;
  const Instant now = m_links.network->Now();
  const auto verdict = m_core->OnChunk(connection.attempt, chunk, now);
  const auto request = m_requests.find(connection.attempt);
  if (verdict == serving::ChunkVerdict::kForward &&
      request != m_requests.end() && chunk.tokens > 0) {
    m_links.records->OnChunk(request->second, from, connection.attempt,
                             chunk.tokens, now);
  }
  ExecuteActions();
}

void EntryHost::OnEnd(const Connection& connection, serving::AttemptEnd end) {
  if (!Is(connection)) return;
  m_core->OnAttemptEnd(connection.attempt, end, m_links.network->Now());
  ExecuteActions();
}

void EntryHost::OnCut(const EndpointId& endpoint) {
  if (!Alive()) return;
  for (const auto& [attempt, at] : m_endpoints) {
    if (at != endpoint || !m_core->RequestOf(attempt)) continue;
    OnEnd({m_name, m_incarnation, attempt}, serving::AttemptEnd::kDied);
  }
}

void EntryHost::ExecuteActions() {
  for (auto actions = m_core->TakeActions(); !actions.empty();
       actions = m_core->TakeActions()) {
    for (const serving::Action& action : actions)
      std::visit([this](const auto& one) { Execute(one); }, action);
  }
  m_core->TakeSummaries();
}

void EntryHost::Execute(const serving::StartAttempt& action) {
  m_endpoints[action.attempt] = action.endpoint;
  m_requests[action.attempt] = action.request;
  Engine* engine = m_links.engine(action.endpoint);
  const Connection connection{m_name, m_incarnation, action.attempt};
  const bool cut = m_links.network->IsCut(m_name, action.endpoint);
  if (cut || !engine->Alive()) {
    m_links.network->After(1ms, [this, connection] {
      OnEnd(connection, serving::AttemptEnd::kNotSent);
    });
    return;
  }
  m_links.network->Send(m_name, action.endpoint,
                        [engine, connection, request = action.request] {
                          engine->Run(connection, request);
                        });
}

void EntryHost::Execute(const serving::CancelAttempt& action) {
  const EndpointId endpoint = m_endpoints[action.attempt];
  Engine* engine = m_links.engine(endpoint);
  const Connection connection{m_name, m_incarnation, action.attempt};
  m_links.network->Send(m_name, endpoint,
                        [engine, connection] { engine->Cancel(connection); });
}

void EntryHost::Execute(const serving::FinishResponse& action) {
  m_links.records->OnAnswered(action.request, m_links.network->Now());
}

void EntryHost::Execute(const serving::FailResponse& action) {
  m_links.records->OnFailed(action.request, action.kind,
                            m_links.network->Now());
}

void EntryHost::Execute(const serving::ProposeCommand& action) {
  m_unanswered[action.command.id->sequence] = action.command;
  for (ControlHost* control : m_links.controls()) {
    m_links.network->Send(
        m_name, control->Name(),
        [control, command = action.command] { control->Propose({command}); });
  }
}

void EntryHost::Execute(const serving::SpoolCommand& action) {
  for (ControlHost* control : m_links.controls()) {
    m_links.network->Send(m_name, control->Name(),
                          [this, control, command = action.command] {
                            if (!control->Alive()) return;
                            control->Spool(command);
                            Acknowledge(control->Name(), *command.id);
                          });
  }
}

void EntryHost::Acknowledge(const std::string& control,
                            const wire::CommandIdT& id) {
  m_links.network->Send(control, m_name, [this, id] {
    if (!Alive() || id.incarnation != m_incarnation) return;
    m_core->OnSpooled(id, m_links.network->Now());
    ExecuteActions();
  });
}

}  // namespace dotterelshift::scenarios
