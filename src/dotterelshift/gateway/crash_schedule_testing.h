#ifndef DOTTERELSHIFT_SRC_GATEWAY_CRASH_SCHEDULE_TESTING_H_
#define DOTTERELSHIFT_SRC_GATEWAY_CRASH_SCHEDULE_TESTING_H_

// Entries, endpoints and control on an injected clock; requests whose prompt
// has a certain segment crash each endpoint that begins to respond to them. For
// tests only.

#include <algorithm>  // for max, min
#include <map>        // for map
#include <memory>     // for unique_ptr
#include <random>     // for mt19937_64
#include <set>        // for set
#include <string>     // for string
#include <utility>    // for move
#include <variant>    // for visit
#include <vector>     // for vector

#include "dotterelshift/directory/spread.h"                      // for PulseKey
#include "dotterelshift/gateway/core.h"                          // for MakeCore
#include "dotterelshift/gateway/crash_schedule_parts_testing.h"  // for CrashScheduleOptions
#include "dotterelshift/gateway/retry_share_testing.h"  // for MakeLeasedShare
#include "dotterelshift/gateway/suspicion_command.h"    // for SuspicionCommand
#include "dotterelshift/state/state.h"                  // for MakeState

namespace dotterelshift::gateway {

class CrashSchedule {
 public:
  explicit CrashSchedule(const CrashScheduleOptions& options)
      : m_options(options), m_random(options.seed) {
    Route route;
    route.name = route.path_prefix = "/s/";
    route.host = "h";
    route.kind = RouteKind::kStream;
    route.services = {{"llm", 1}};
    route.timeout = 6s;
    route.target = 600ms;
    route.attempts = 2;
    route.resumable = true;
    Routes routes;
    routes.version = 1;
    routes.routes = {route};
    routes.services = {{"llm", 10, EngineCapacity{8, 400'000, 4}}};
    for (size_t i = 0; i < std::max<size_t>(3, options.teams); ++i)
      routes.teams.push_back(
          {TeamOf(i), {"key" + TeamOf(i)}, std::nullopt, std::nullopt});
    m_routes = std::make_shared<const RouteTable>(std::move(routes));
    for (int i = 0; i < kEndpoints; ++i) StartEndpoint();
    for (size_t i = 0; i < kEntries; ++i) m_nodes.push_back(MakeNode(i));
  }

  CrashScheduleResult Run() {
    const Instant crashing_from = m_now + 6s;
    const Instant end = crashing_from + m_options.crashing_for;
    Instant next_sound = m_now + 1s;
    Instant next_crashing = crashing_from;
    Instant next_kill = crashing_from + 2s;
    Instant next_other = crashing_from;
    for (; m_now < end + 4s; m_now += kStep) {
      for (; m_now >= next_sound && m_now < end; next_sound += Gap(70))
        SendSound();
      for (; m_now >= next_crashing && m_now < end;
           next_crashing += Gap(m_options.crashing_per_second))
        SendCrashing();
      if (m_options.kills && m_now >= next_kill && m_now < end) {
        next_kill += 2s;
        Kill(Draw(kEntries));
      }
      if (m_options.other_crashes && m_now >= next_other && m_now < end) {
        next_other += 700ms;
        CrashAny();
      }
      Restart();
      DeliverCommands();
      for (size_t i = 0; i < kEntries; ++i) Proceed(*m_nodes[i]);
    }
    return m_result;
  }

 private:
  static constexpr Duration kStep = 5ms;
  static constexpr int kEndpoints = 12;
  static constexpr size_t kEntries = 6;
  static constexpr int kEvents = 10;
  static constexpr Duration kEventInterval = 50ms;
  static constexpr Duration kPrefill = 60ms;
  static constexpr Duration kCommandTime = 10ms;  // to control, and committed
  static constexpr Duration kPushTime = 5ms;
  static constexpr uint64_t kCrashing = 999'999;  // the segment

  struct Endpoint {
    bool up = false;
    Instant starts_at{};
    EndpointId id;
    uint64_t sequence = 0;
    Instant announces_at{};
  };
  struct EndpointRun {
    RequestId request = 0;
    std::string caller_id;
    EndpointId endpoint;
    bool crashing = false;
    int next = 0;  // 0: the head
    Instant next_at{};
  };
  struct Caller {
    bool crashing = false;
    bool counts = false;  // among the sound ones that are judged
    bool of_other_team = false;
    bool relayed = false;
  };
  struct Node {
    explicit Node(const HostId& name)
        : host(name),
          budgets({}, [] { return std::make_unique<wire::CommandIdT>(); }),
          retries(MakeLeasedShare({.ratio = 1, .slack = 1'000'000}, 1,
                                  Instant(1000s))),
          paths(EndpointPathsOptions{"dc"}) {}
    HostId host;
    Incarnation incarnation = 1;
    uint64_t sequence = 0;
    directory::Directory directory;
    origins::ServiceVersions versions;
    origins::StreamOrigins origins;
    origins::RestartSuspects restarts{directory};
    FleetLoad load{FleetLoadOptions{"dc"}};
    HeldGrants budgets;
    RetryShare retries;
    EndpointPaths paths;
    quarantine::Blocklist blocklist;
    CrashSuspects suspects;
    std::unique_ptr<Core> core;
    std::map<AttemptId, EndpointRun> running;
    std::map<RequestId, Caller> callers;
  };
  struct InFlightCommand {
    Instant at{};
    std::string host;
    Incarnation incarnation = 0;
    wire::CommandT command;
  };

  static std::string TeamOf(size_t number) {
    return "t" + std::to_string(number);
  }
  uint64_t Draw(uint64_t below) { return m_random() % below; }
  Duration Gap(double per_second) {
    std::exponential_distribution<double> gap(per_second);
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(gap(m_random)));
  }
  WallMs Wall() const { return ToMs(m_now.time_since_epoch()); }

  std::unique_ptr<Node> MakeNode(size_t index) {
    auto node = std::make_unique<Node>("n" + std::to_string(index));
    node->incarnation = ++m_last_incarnation;
    CoreDependencies parts;
    parts.load = &node->load;
    parts.budgets = &node->budgets;
    parts.retries = &node->retries;
    parts.versions = &node->versions;
    parts.origins = &node->origins;
    parts.restarts = &node->restarts;
    parts.paths = &node->paths;
    parts.blocklist = &node->blocklist;
    parts.suspects = &node->suspects;
    node->suspects.SetConnected(!m_options.no_control);
    node->core = MakeCore({}, parts);
    node->core->OnRoutes(m_routes, kEntries, m_now);
    for (Endpoint& endpoint : m_endpoints)
      if (endpoint.up) Deliver(*node, endpoint);
    node->core->OnEndpointsChanged(node->directory, m_now);
    for (const wire::SuspectAnswerT& known : m_state->Quarantined(Wall()))
      Tell(*node, known);
    return node;
  }

  void Tell(Node& node, const wire::SuspectAnswerT& known) {
    if (known.shared)
      node.suspects.OnAnswer(known, m_now);
    else
      node.blocklist.OnEntry(known, m_now);
  }

  void StartEndpoint() {
    Endpoint& endpoint = m_endpoints.emplace_back();
    Begin(endpoint);
  }
  void Begin(Endpoint& endpoint) {
    endpoint.up = true;
    endpoint.id = "e" + std::to_string(++m_last_endpoint);
    endpoint.sequence = 0;
    endpoint.announces_at = m_now;
  }

  // An endpoint comes back under a new id after two to four seconds; the old
  // one is reported silent after three.
  void Restart() {
    for (Endpoint& endpoint : m_endpoints) {
      if (!endpoint.up && m_now >= endpoint.starts_at) Begin(endpoint);
      if (!endpoint.up || m_now < endpoint.announces_at) continue;
      endpoint.announces_at = m_now + 800ms;
      ++endpoint.sequence;
      for (auto& node : m_nodes) Deliver(*node, endpoint);
    }
    for (auto gone = m_crashed_at.begin(); gone != m_crashed_at.end();) {
      if (m_now < gone->second + 3s) {
        ++gone;
        continue;
      }
      for (auto& node : m_nodes) DeliverSilence(*node, gone->first);
      gone = m_crashed_at.erase(gone);
    }
  }

  wire::EndpointRecordT RecordOf(const EndpointId& id, uint64_t sequence) {
    wire::EndpointRecordT record;
    record.id = id;
    record.incarnation = 1;
    record.sequence = sequence;
    record.address = record.id + ":80";
    record.data_centre = "dc";
    record.services = {"llm"};
    record.slots = 8;
    record.software_version = "v1";
    return record;
  }
  void Deliver(Node& node, const Endpoint& endpoint) {
    const uint64_t before = node.directory.Generation();
    node.directory.OnRecord(RecordOf(endpoint.id, endpoint.sequence), m_now);
    if (node.directory.Generation() != before)
      node.core->OnEndpointsChanged(node.directory, m_now);
  }
  void DeliverSilence(Node& node, const EndpointId& id) {
    const directory::Endpoint* known = node.directory.Find(id);
    if (known == nullptr) return;
    wire::EndpointRecordT record = RecordOf(id, known->record.sequence);
    record.silent = true;
    node.directory.OnRecord(record, m_now);
    node.core->OnEndpointsChanged(node.directory, m_now);
  }

  Endpoint* Find(const EndpointId& id) {
    for (Endpoint& endpoint : m_endpoints)
      if (endpoint.up && endpoint.id == id) return &endpoint;
    return nullptr;
  }

  void Crash(Endpoint& endpoint) {
    endpoint.up = false;
    endpoint.starts_at = m_now + std::chrono::milliseconds(2000 + Draw(2000));
    m_crashed_at[endpoint.id] = m_now;
    const EndpointId id = endpoint.id;
    for (auto& node : m_nodes) {
      std::vector<AttemptId> broken;
      for (const auto& [attempt, run] : node->running)
        if (run.endpoint == id) broken.push_back(attempt);
      for (const AttemptId attempt : broken) {
        const auto found = node->running.find(attempt);
        if (found == node->running.end()) continue;
        const bool head = found->second.next > 0;
        Caller& caller = node->callers[found->second.request];
        if (!caller.crashing && caller.counts) ++m_result.lost;
        caller.counts = false;
        node->running.erase(found);
        node->core->OnEnd(attempt,
                          head ? http::TransferEnd::kCut
                               : http::TransferEnd::kFailedBeforeHead,
                          m_now);
        Execute(*node);
      }
    }
  }
  void CrashAny() {
    Endpoint& endpoint = m_endpoints[Draw(m_endpoints.size())];
    if (endpoint.up) Crash(endpoint);
  }

  void Kill(size_t index) {
    for (auto& [request, caller] : m_nodes[index]->callers)
      if (caller.counts) ++m_result.lost;
    m_nodes[index] = MakeNode(index);
  }

  PromptSegment SegmentOf(uint64_t number) {
    return {number, 140, std::to_string(number)};
  }
  uint64_t MiddleSegment() {
    if (!m_options.new_segments) return 100 + Draw(40);
    while (m_fresh.size() < 30) {
      const uint64_t segment = 1'000'000 + ++m_last_segment;
      for (int i = 0; i < 3; ++i) m_fresh.push_back(segment);
    }
    const size_t at = Draw(m_fresh.size());
    const uint64_t segment = m_fresh[at];
    m_fresh.erase(m_fresh.begin() + static_cast<ptrdiff_t>(at));
    return segment;
  }

  void SendSound() {
    const bool judged = m_third_crash && m_now > *m_third_crash + 1s;
    const bool names_it = m_options.only_one_team && Draw(10) == 0;
    const size_t team =
        names_it ? 1 + Draw(2)
                 : Draw(m_options.only_one_team ? 1 : m_options.teams);
    Send(team, names_it ? kCrashing : MiddleSegment(), false, judged);
  }
  void SendCrashing() {
    Send(m_options.only_one_team ? 0 : Draw(m_options.teams), kCrashing, true,
         false);
  }

  void Send(size_t team, uint64_t middle, bool crashing, bool judged) {
    Node& node = *m_nodes[Draw(kEntries)];
    const RequestId id = ++m_last_request;
    Caller& caller = node.callers[id];
    caller.crashing = crashing;
    caller.counts = judged;
    caller.of_other_team = m_options.only_one_team && team != 0;
    if (judged) ++m_result.sound;
    RequestInfo info;
    info.caller_id = (crashing ? "c" : "s") + std::to_string(id);
    info.host = "h";
    info.path = "/s/x";
    info.key = "key" + TeamOf(team);
    info.timeout = 6s;
    info.prompt.prompt_tokens = 410;
    info.prompt.output_limit = 40;
    info.prompt.parts = {SegmentOf(1 + Draw(4)), SegmentOf(middle),
                         SegmentOf(10'000'000 + id)};
    info.content_hash = 20'000'000 + id;
    node.core->OnRequest(id, std::move(info), m_now);
    Execute(node);
  }

  void Proceed(Node& node) {
    if (node.core->NextTimer() <= m_now) node.core->OnTimer(m_now);
    for (const EndpointPaths::Probe& probe : node.paths.TakeProbes(m_now)) {
      bool up = false;
      for (const Endpoint& endpoint : m_endpoints)
        up = up || (endpoint.up &&
                    directory::PulseKey(endpoint.id, 1) == probe.endpoint);
      EndProbe(node, probe.endpoint, up);
    }
    std::vector<AttemptId> due;
    for (const auto& [attempt, run] : node.running)
      if (m_now >= run.next_at) due.push_back(attempt);
    for (const AttemptId attempt : due) Proceed(node, attempt);
    Execute(node);
  }

  void EndProbe(Node& node, EndpointKey endpoint, bool connected) {
    node.paths.OnProbeEnded(endpoint, connected, m_now);
    node.core->OnPathsChanged(m_now);
  }

  void Proceed(Node& node, AttemptId attempt) {
    const auto found = node.running.find(attempt);
    if (found == node.running.end()) return;
    EndpointRun& run = found->second;
    const bool crashes =
        run.crashing && (m_options.before_head || run.next > 0);
    if (crashes) {
      ++m_result.crashed;
      if (m_result.crashed == 3) m_third_crash = m_now;
      return Crash(*Find(run.endpoint));
    }
    run.next_at = m_now + kEventInterval;
    if (run.next > kEvents) {
      node.running.erase(found);
      node.core->OnEnd(attempt, http::TransferEnd::kWhole, m_now);
    } else if (run.next++ == 0) {
      ResponseInfo head;
      head.echoed_id = run.caller_id;
      head.has_proof = head.event_stream = head.framed = true;
      node.core->OnHead(attempt, 200, head, m_now);
    } else {
      node.core->OnChunk(
          attempt, "id: " + std::to_string(run.next - 1) + "\ndata: x\n\n",
          m_now);
    }
    Execute(node);
  }

  void Execute(Node& node) {
    for (auto actions = node.core->TakeActions(); !actions.empty();
         actions = node.core->TakeActions()) {
      for (const Action& action : actions)
        std::visit([&](const auto& what) { Do(node, what); }, action);
    }
    node.core->TakeFinished();
    for (const SuspectReport& report : node.core->TakeSuspectReports()) {
      if (m_options.no_control) continue;
      InFlightCommand& sent = m_commands.emplace_back();
      sent.at = m_now + kCommandTime;
      sent.host = node.host;
      sent.incarnation = node.incarnation;
      sent.command = SuspicionCommand(report);
      sent.command.id = std::make_unique<wire::CommandIdT>();
      sent.command.id->host = node.host;
      sent.command.id->incarnation = node.incarnation;
      sent.command.id->sequence = ++node.sequence;
    }
  }

  // Answers go to the sender, changes to all entries.
  void DeliverCommands() {
    std::vector<InFlightCommand> due;
    std::erase_if(m_commands, [&](InFlightCommand& command) {
      if (m_now < command.at) return false;
      due.push_back(std::move(command));
      return true;
    });
    for (InFlightCommand& sent : due) {
      wire::CommandBatchT batch;
      batch.stamp_ms = Wall();
      batch.commands.push_back(
          std::make_unique<wire::CommandT>(std::move(sent.command)));
      const auto answers = m_state->Apply(batch);
      const auto* answer = answers.front().body.AsSuspectAnswer();
      if (answer == nullptr) continue;
      for (auto& node : m_nodes) {
        const bool own = node->host == sent.host;
        if (own && node->incarnation != sent.incarnation) continue;
        const bool of_trial = answer->trial != wire::SuspectTrial::None;
        const bool of_all = answer->blocked_ms > 0 || answer->suspected ||
                            answer->endpoints == 0;
        if (own || (of_all && !of_trial)) Tell(*node, *answer);
      }
    }
  }

  void Do(Node& node, const StartAttempt& start) {
    const Caller& caller = node.callers[start.request];
    if (Find(start.endpoint.id) == nullptr)
      return node.core->OnEnd(start.attempt, http::TransferEnd::kNotSent,
                              m_now);
    if (caller.crashing && m_third_crash && m_now > *m_third_crash + 500ms)
      ++m_result.late;
    EndpointRun& run = node.running[start.attempt];
    run.request = start.request;
    run.caller_id =
        (caller.crashing ? "c" : "s") + std::to_string(start.request);
    run.endpoint = start.endpoint.id;
    run.crashing = caller.crashing;
    run.next_at = m_now + kPrefill;
  }
  void Do(Node& node, const CancelAttempt& cancel) {
    node.running.erase(cancel.attempt);
  }
  void Do(Node&, const WithdrawAttempt&) {}
  void Do(Node& node, const Refuse& refuse) {
    const Caller& caller = node.callers[refuse.request];
    if (caller.of_other_team && refuse.kind == ErrorKind::kQuarantined)
      ++m_result.refused_of_others;
    node.callers.erase(refuse.request);
  }
  void Do(Node& node, const RelayResponse& relay) {
    node.callers.erase(relay.request);
  }
  void Do(Node&, const RelayHead&) {}
  void Do(Node&, const RelayChunk&) {}
  void Do(Node& node, const FinishStream& finish) {
    if (node.callers[finish.request].counts) ++m_result.served;
    node.callers.erase(finish.request);
  }
  void Do(Node& node, const AbortStream& abort) {
    node.callers.erase(abort.request);
  }
  void Do(Node&, const Decision&) {}

  const CrashScheduleOptions m_options;
  std::mt19937_64 m_random;
  std::shared_ptr<const RouteTable> m_routes;
  std::unique_ptr<state::State> m_state = state::MakeState();
  Instant m_now{1000s};
  std::vector<Endpoint> m_endpoints;
  std::map<EndpointId, Instant> m_crashed_at;
  std::vector<std::unique_ptr<Node>> m_nodes;
  std::vector<InFlightCommand> m_commands;
  std::vector<uint64_t> m_fresh;
  uint64_t m_last_segment = 0;
  uint64_t m_last_endpoint = 0;
  RequestId m_last_request = 0;
  Incarnation m_last_incarnation = 0;
  std::optional<Instant> m_third_crash;
  CrashScheduleResult m_result;
};

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_SRC_GATEWAY_CRASH_SCHEDULE_TESTING_H_
