#include "scenarios/world.h"

#include <sstream>  // for ostringstream

#include "dotterelshift/plan/intent.h"   // for ParseIntent
#include "dotterelshift/plan/planner.h"  // for MakePlan

namespace dotterelshift::scenarios {
namespace {

constexpr Duration kTick = 10ms;
constexpr Duration kAnnounceInterval = 1s;
constexpr Duration kDrainGracePeriod = 3s;
constexpr Duration kCutDetectionDelay = 50ms;
constexpr int kTeams = 10;
constexpr std::string_view kSecret = "scenario-secret";
const std::string kOperator = "operator";

std::string TeamKey(const TeamId& team) { return "key-of-team-0000-" + team; }

}  // namespace

World::World(const WorldOptions& options)
    : m_options(options), m_network(options.seed) {
  m_records.tokens_left = [this](const BudgetId& id) { return TokensLeft(id); };
  MakeControls();
  MakeEntries();
  MakeEngines();
  SetUpTeams();
  Run(3s);
}

void World::MakeControls() {
  ControlLinks links;
  links.network = &m_network;
  links.records = &m_records;
  links.controls = [this] {
    std::vector<ControlHost*> all;
    for (const auto& control : m_controls) all.push_back(control.get());
    return all;
  };
  links.answer = [this](const std::string& from,
                        const wire::CommandAnswerT& answer) {
    OnAnswer(from, answer);
  };
  links.recall = [this](const std::string& from, const HostId& holder,
                        const wire::RecallT& recall) {
    EntryHost* entry = FindEntry(holder);
    m_network.Send(from, holder, [entry, recall] { entry->OnRecall(recall); });
  };
  wire::MembershipT members;
  const auto& data_centres = m_options.deployment.data_centres;
  for (int i = 1; i <= m_options.deployment.controls; ++i) {
    auto replica = std::make_unique<wire::ReplicaT>();
    replica->id = i;
    replica->host = "c" + std::to_string(i);
    replica->voter = true;
    m_data_centres[replica->host] =
        data_centres.at((i - 1) % data_centres.size());
    m_controls.push_back(std::make_unique<ControlHost>(
        replica->host, static_cast<ReplicaId>(i), links));
    members.replicas.push_back(std::move(replica));
  }
  for (const auto& control : m_controls) control->StartGroup(members);
}

void World::MakeEntries() {
  EntryLinks links;
  links.network = &m_network;
  links.records = &m_records;
  links.controls = [this] {
    std::vector<ControlHost*> all;
    for (const auto& control : m_controls) all.push_back(control.get());
    return all;
  };
  links.entries = [this] {
    std::vector<EntryHost*> all;
    for (const auto& entry : m_entries) all.push_back(entry.get());
    return all;
  };
  links.engine = [this](const EndpointId& id) { return FindEngine(id); };
  const auto& data_centres = m_options.deployment.data_centres;
  for (int i = 1; i <= m_options.deployment.entries; ++i) {
    const std::string name = "e" + std::to_string(i);
    const DataCentreId& home = data_centres.at((i - 1) % data_centres.size());
    m_data_centres[name] = home;
    m_entry_names.push_back(name);
    m_entries.push_back(std::make_unique<EntryHost>(
        name, home, m_options.serve_when_cut_off, links));
    m_entries.back()->Start();
  }
}

void World::MakeEngines() {
  const Deployment& deployment = m_options.deployment;
  const auto home = [&](int i) {
    return deployment.data_centres.at((i - 1) % deployment.data_centres.size());
  };
  for (int i = 1; i <= deployment.model_servers; ++i)
    MakeEngine("m" + std::to_string(i), home(i), false);
  for (int i = 1; i <= deployment.service_servers; ++i)
    MakeEngine("s" + std::to_string(i), home(i), true);
}

void World::MakeEngine(const std::string& name, const DataCentreId& data_centre,
                       bool service) {
  wire::EndpointRecordT record;
  record.id = name;
  record.incarnation = 1;
  record.address = name + ":1";
  record.data_centre = data_centre;
  record.slots = 8;
  record.tokens_per_second = 800;
  if (service) {
    record.services = {m_options.deployment.service};
  } else {
    record.models.push_back(std::make_unique<wire::ModelStateT>());
    record.models.back()->model = m_options.deployment.model;
  }
  EngineEvents events;
  events.on_head = [this](const Connection& connection, int status) {
    FindEntry(connection.entry)->OnHead(connection, status);
  };
  events.on_chunk = [this](const Connection& connection, RequestId from,
                           const serving::Chunk& chunk) {
    FindEntry(connection.entry)->OnChunk(connection, from, chunk);
  };
  events.on_end = [this](const Connection& connection,
                         serving::AttemptEnd end) {
    FindEntry(connection.entry)->OnEnd(connection, end);
  };
  m_data_centres[name] = data_centre;
  m_engines[name] = std::make_unique<Engine>(record, &m_network, &m_records,
                                             std::move(events));
}

std::string World::MakeInitialIntent() const {
  std::ostringstream teams;
  std::ostringstream keys;
  std::ostringstream budgets;
  std::ostringstream top_ups;
  for (int i = 1; i <= kTeams; ++i) {
    const std::string team = "t" + std::to_string(i);
    // The first three teams are large: they have a higher weight.
    teams << " - {id: " << team << ", policy: " << m_options.policy
          << ", grant_way: " << m_options.grant_way
          << ", partition: " << m_options.partition
          << ", weight: " << (i <= 3 ? 4 : 1) << ", endpoint_sets: [all]}\n";
    keys << " - {id: k" << i << ", team: " << team << ", key: " << TeamKey(team)
         << "}\n";
    budgets << " - {id: b" << i << ", team: " << team << "}\n";
    top_ups << " - {id: first-" << i << ", budget: b" << i
            << ", tokens: " << m_options.tokens << "}\n";
  }
  std::ostringstream sets;
  for (const auto& [name, engine] : m_engines) sets << name << ", ";
  return "teams:\n" + teams.str() + "keys:\n" + keys.str() + "budgets:\n" +
         budgets.str() + "top_ups:\n" + top_ups.str() +
         "endpoint_sets: [{id: all, endpoints: [" + sets.str() +
         "], models: [" + m_options.deployment.model + "], services: [" +
         m_options.deployment.service + "]}]\n";
}

void World::SetUpTeams() {
  Run(2s);
  ControlHost* leader = Leader();
  if (!leader) return m_records.Break(m_network.Now(), "no leader at start");
  Plan("set-up", kOperator, MakeInitialIntent(), leader->Name());
  Run(200ms);
  Confirm("set-up", "set-up", kOperator, leader->Name());
  Run(200ms);
  const OperatorAnswer& answer = AnswerOf("set-up");
  if (!answer.answered || answer.error != ErrorKind::kNone)
    m_records.Break(m_network.Now(), "not set up: " + answer.detail);
}

void World::Run(Duration duration) {
  const Instant end = m_network.Now() + duration;
  while (m_network.Now() < end) {
    m_network.RunUntil(std::min(end, m_network.Now() + kTick));
    Tick();
  }
}

void World::Tick() {
  for (const auto& control : m_controls) control->Tick();
  for (const auto& entry : m_entries) entry->Tick();
  if (m_announce_due <= m_network.Now()) {
    m_announce_due = m_network.Now() + kAnnounceInterval;
    for (const auto& [name, engine] : m_engines) Announce(engine.get());
    CheckNow();
  }
}

// An endpoint announces itself to one entry that it can reach, in rotation.
void World::Announce(Engine* engine) {
  if (!engine->Alive()) return;
  const std::string& id = engine->Record().id;
  for (size_t i = 0; i < m_entries.size(); ++i) {
    EntryHost* entry = m_entries[++m_announcements % m_entries.size()].get();
    if (!entry->Alive() || m_network.IsCut(id, entry->Name())) continue;
    m_network.Send(id, entry->Name(), [entry, record = engine->Announce()] {
      entry->OnAnnouncement(record);
    });
    return;
  }
}

std::vector<std::string> World::Names(const std::string& name) const {
  std::vector<std::string> found;
  for (const auto& [host, data_centre] : m_data_centres)
    if (host == name || data_centre == name) found.push_back(host);
  if (found.empty())
    throw Error(ErrorKind::kBadField, "there is no host " + name);
  return found;
}

void World::Cut(const std::string& one, const std::string& other) {
  if (one == other) return;
  m_network.Cut(one, other);
  for (const auto& [host, engine_name] :
       {std::pair(one, other), std::pair(other, one)}) {
    EntryHost* entry = FindEntry(host);
    Engine* engine = FindEngine(engine_name);
    if (!entry || !engine) continue;
    entry->OnCut(engine_name);
    m_network.After(kCutDetectionDelay,
                    [engine, host = host] { engine->CancelAll(host); });
  }
}

void World::SetFault(const std::string& one, const std::string& other,
                     const LinkFault& fault) {
  // A connection to an engine preserves the order of its bytes, so its link has
  // no jitter and delivers no message twice.
  LinkFault kept = fault;
  if (FindEngine(one) || FindEngine(other)) kept = {.delay = fault.delay};
  m_network.SetFault(one, other, kept);
}

EntryHost* World::FindEntry(const std::string& name) const {
  for (const auto& entry : m_entries)
    if (entry->Name() == name) return entry.get();
  return nullptr;
}

ControlHost* World::FindControl(const std::string& name) const {
  for (const auto& control : m_controls)
    if (control->Name() == name) return control.get();
  return nullptr;
}

Engine* World::FindEngine(const std::string& name) const {
  const auto found = m_engines.find(name);
  return found == m_engines.end() ? nullptr : found->second.get();
}

ControlHost* World::Leader() const {
  for (const auto& control : m_controls)
    if (control->Leads()) return control.get();
  return nullptr;
}

void World::KillEntry(const std::string& name) {
  FindEntry(name)->Kill();
  m_network.After(kCutDetectionDelay, [this, name] {
    for (const auto& [id, engine] : m_engines) engine->CancelAll(name);
  });
}

void World::SendRequest(RequestRecord record) {
  record.budget = "b" + record.team.substr(1);
  record.target = record.service ? m_options.deployment.service
                                 : m_options.deployment.model;
  const RequestRecord& added = m_records.Add(std::move(record));
  callers::CallerRequest request;
  request.kind = added.service ? callers::RequestKind::kService
                               : callers::RequestKind::kChat;
  request.key_hash = state::HashKey(TeamKey(added.team), kSecret);
  request.target = added.target;
  request.stream = !added.service;
  request.prompt_bound = added.prompt;
  request.output_limit = added.service ? 0 : added.limit;
  request.idempotency_key = added.key;
  request.idempotent = added.idempotent;
  request.deadline = added.deadline;
  // Requests with the same key have the same content, as do the crashing
  // requests of one group.
  std::string content = std::to_string(added.id);
  if (added.crashes_engines) content = added.group;
  if (!added.key.empty()) content = added.team + added.key;
  request.content_hash = std::hash<std::string>()(content);
  EntryHost* entry = FindEntry(added.entry);
  m_network.After(1ms, [this, entry, request, id = added.id] {
    RequestRecord& sent = m_records.Of(id);
    // The key that an entry assigns to a request without one.
    if (sent.key.empty()) {
      sent.key = "~" + entry->Name() + "." +
                 std::to_string(entry->Self().incarnation) + "." +
                 std::to_string(id);
    }
    entry->OnRequest(sent, request);
  });
}

template <typename Body>
void World::ProposeAt(const std::string& control, const std::string& name,
                      Body body) {
  wire::CommandT command;
  command.id = std::make_unique<wire::CommandIdT>();
  command.id->host = kOperator;
  command.id->incarnation = 1;
  command.id->sequence = ++m_operator_sequence;
  command.body.Set(std::move(body));
  m_operator_commands[m_operator_sequence] = name;
  ControlHost* host = FindControl(control);
  if (host->Leads()) return host->Propose({std::move(command)});
  m_operator_answers[name] = {true, ErrorKind::kNoQuorum, "not accepted", 0};
}

void World::Plan(const std::string& name, const std::string& author,
                 const std::string& intent, const std::string& control) {
  m_operator_answers[name] = {};
  ControlHost* host = FindControl(control);
  if (!host->Alive()) {
    m_operator_answers[name] = {true, ErrorKind::kNoQuorum, "down", 0};
    return;
  }
  const auto hash = [](std::string_view key) {
    return state::HashKey(key, kSecret);
  };
  wire::StorePlanT body;
  try {
    const plan::Intent parsed = plan::ParseIntent(intent, name, hash);
    body.plan = std::make_unique<wire::PlanT>(
        plan::MakePlan(parsed, host->GetState(), name, author));
  } catch (const Error& error) {
    m_operator_answers[name] = {true, error.Kind(), error.what(), 0};
    return;
  }
  ProposeAt(control, name, std::move(body));
}

void World::Confirm(const std::string& name, const std::string& plan,
                    const std::string& author, const std::string& control) {
  m_operator_answers[name] = {};
  wire::ConfirmPlanT body;
  body.plan = plan;
  body.author = author;
  ProposeAt(control, name, std::move(body));
}

void World::OnAnswer(const std::string& from,
                     const wire::CommandAnswerT& answer) {
  if (answer.id->host != kOperator) {
    EntryHost* entry = FindEntry(answer.id->host);
    if (!entry) return;
    m_network.Send(from, answer.id->host,
                   [entry, answer] { entry->OnAnswer(answer); });
    return;
  }
  OperatorAnswer& kept =
      m_operator_answers[m_operator_commands[answer.id->sequence]];
  kept.answered = true;
  kept.error = static_cast<ErrorKind>(answer.error);
  kept.detail = answer.detail;
  if (const wire::PlanAnswerT* plan = answer.body.AsPlanAnswer())
    kept.version = plan->version;
}

void World::CheckNow() {
  CheckBudgets();
  CheckVersions();
  CheckDraining();
}

Tokens World::TokensLeft(const BudgetId& budget) const {
  Tokens left = 0;
  for (const auto& control : m_controls) {
    if (!control->Alive()) continue;
    const state::BudgetAccount* account =
        control->GetState().FindAccount(budget);
    if (!account) continue;
    left = std::max(
        left, account->purchased - account->lost - m_records.Consumed(budget));
  }
  return left;
}

void World::CheckBudgets() {
  const Instant now = m_network.Now();
  for (const auto& control : m_controls) {
    if (!control->Alive()) continue;
    const state::State& state = control->GetState();
    for (const std::string& line : state.Disagreements())
      m_records.Break(now, control->Name() + ": " + line);
    if (control.get() != Leader()) continue;
    for (const auto& [id, budget] : state.GetConfiguration().Budgets()) {
      const state::BudgetAccount* account = state.FindAccount(id);
      if (account->Free() < 0) m_records.Break(now, id + " is overdrawn");
      const Tokens consumed = m_records.Consumed(id);
      if (consumed > account->purchased) {
        m_records.Break(now, id + " consumed " + std::to_string(consumed) +
                                 " of " + std::to_string(account->purchased));
      }
    }
  }
}

void World::CheckVersions() {
  for (const auto& entry : m_entries) {
    if (!entry->Alive()) continue;
    auto& [incarnation, version] = m_versions[entry->Name()];
    if (incarnation == entry->Self().incarnation && entry->Version() < version)
      m_records.Break(m_network.Now(), entry->Name() + "'s version fell");
    incarnation = entry->Self().incarnation;
    version = entry->Version();
  }
}

void World::CheckDraining() {
  for (const auto& [id, engine] : m_engines) {
    if (!engine->Record().draining) {
      m_draining_since.erase(id);
      continue;
    }
    const auto since = m_draining_since.emplace(id, m_network.Now()).first;
    if (engine->LastStart() > since->second + kDrainGracePeriod)
      m_records.Break(m_network.Now(), id + " drains and got new work");
  }
}

}  // namespace dotterelshift::scenarios
