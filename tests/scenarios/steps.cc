#include "scenarios/steps.h"

#include <algorithm>  // for max
#include <array>      // for array

#include "scenarios/expectations.h"  // for Expectations
#include "scenarios/step_map.h"      // for StepMap
#include "scenarios/world.h"         // for World

namespace dotterelshift::scenarios {
namespace {

const Deployment kAssociation = {{"plateau", "fann", "yoff", "pikine"},
                                 8,
                                 3,
                                 "citations-7b",
                                 20,
                                 "loan-desk",
                                 4};
const Deployment kKestrelbay = {
    {"midrand-a", "midrand-b", "isando-1", "isando-2"},
    6,
    3,
    "copy-13b",
    12,
    "layout",
    4};

WorldOptions OptionsOf(const YamlSource& source, const YAML::Node& root,
                       const PolicyOverride& choice) {
  const YamlMap map(source, root, "the script", ScriptFields());
  WorldOptions options;
  constexpr std::array<std::string_view, 2> kShapes = {"association",
                                                       "kestrelbay"};
  const bool association =
      source.Word(map.At("deployment"), "deployment", kShapes) == 0;
  options.deployment = association ? kAssociation : kKestrelbay;
  options.policy = association ? "refusals_first" : "overspend_first";
  if (map.Has("policy")) options.policy = map.At("policy").Scalar();
  if (map.Has("way")) options.grant_way = map.At("way").Scalar();
  if (map.Has("partition")) options.partition = map.At("partition").Scalar();
  if (map.Has("tokens"))
    options.tokens =
        source.Number(map.At("tokens"), "tokens", 1, kMaxTokens, true);
  if (map.Has("serve_when_cut_off"))
    options.serve_when_cut_off =
        source.Bool(map.At("serve_when_cut_off"), "serve_when_cut_off");
  if (map.Has("seed"))
    options.seed = source.Number(map.At("seed"), "seed", 1, 1000000, false);
  if (!choice.policy.empty()) options.policy = choice.policy;
  if (!choice.grant_way.empty()) options.grant_way = choice.grant_way;
  return options;
}

// Runs the steps of one script in a World.
class Runner {
 public:
  Runner(const YamlSource& source, const YAML::Node& root,
         const PolicyOverride& choice)
      : m_source(source),
        m_world(OptionsOf(source, root, choice)),
        m_expectations(source, &m_world),
        m_stops_on_violation(choice.policy.empty() && choice.grant_way.empty()),
        m_steps(root["steps"]) {}

  ScriptResult Run() {
    for (const YAML::Node& step : m_source.Items(m_steps, "steps")) {
      // After the first violation the later steps give no useful results.
      if (m_stops_on_violation && !m_world.GetRecords().Broken().empty()) break;
      Step(step);
    }
    m_world.CheckNow();
    m_world.GetRecords().CheckRequests(Now());
    ScriptResult result;
    result.broken = m_world.GetRecords().Broken();
    result.trace = m_world.GetRecords().TraceText();
    result.measures = CollectMeasures();
    return result;
  }

 private:
  Instant Now() { return m_world.GetNetwork().Now(); }

  void Step(const YAML::Node& step) {
    if (!step.IsMap() || step.size() != 1)
      m_source.Refuse(step, "a step is not one action", "ACTION: WHAT");
    const std::string& action = step.begin()->first.Scalar();
    const YAML::Node what = step.begin()->second;
    m_world.GetRecords().Trace(
        Now(),
        "-- line " + std::to_string(step.Mark().line + 1) + ": " + action);
    struct Row {
      std::string_view action;
      void (Runner::*method)(const YAML::Node&);
    };
    constexpr std::array kRows = {
        Row{"run", &Runner::Wait},         Row{"request", &Runner::Request},
        Row{"cut", &Runner::Cut},          Row{"heal", &Runner::Heal},
        Row{"link", &Runner::Link},        Row{"kill", &Runner::Kill},
        Row{"start", &Runner::Start},      Row{"wipe", &Runner::Wipe},
        Row{"drain", &Runner::Drain},      Row{"shutdown", &Runner::Shutdown},
        Row{"engine", &Runner::SetEngine}, Row{"plan", &Runner::Plan},
        Row{"confirm", &Runner::Confirm},  Row{"replica", &Runner::Replica},
        Row{"gone", &Runner::Gone},        Row{"expect", &Runner::Expect},
    };
    for (const Row& row : kRows)
      if (row.action == action) return (this->*row.method)(what);
    m_source.Refuse(step, "unknown action '" + action + "'", "an action");
  }

  void Wait(const YAML::Node& what) {
    m_world.Run(m_source.Time(what, "run", 0s, 24 * 3600s));
  }

  void Request(const YAML::Node& what) {
    const StepMap map(m_source, what,
                      {"id", "team", "entry", "prompt", "output", "limit",
                       "key", "idempotent", "service", "crashes", "deadline",
                       "times", "every", "teams"});
    RequestRecord record;
    record.group = map.Word("id", "requests");
    record.prompt = map.Number("prompt", 40);
    record.output = map.Number("output", 64);
    record.limit = map.Number("limit", record.output);
    record.key = map.Word("key");
    record.idempotent = map.Flag("idempotent", true);
    record.service = map.Flag("service", false);
    if (record.service) record.prompt = 1;
    record.crashes_engines = map.Flag("crashes", false);
    record.deadline = map.Time("deadline", 30s);
    const int64_t times = map.Number("times", 1);
    const Duration every = map.Time("every", 0s);
    const int64_t teams = map.Number("teams", 0);
    const auto& entries = m_world.EntryNames();
    for (int64_t i = 0; i < times; ++i) {
      record.entry = map.Word("entry", entries[i % entries.size()]);
      record.team = teams > 0 ? "t" + std::to_string(1 + i % teams)
                              : map.Word("team", "t1");
      m_world.SendRequest(record);
      m_world.Run(every);
    }
  }

  void Expect(const YAML::Node& what) { m_expectations.Check(what); }

  // Resolves a name or a list of names to hosts.
  std::vector<std::string> ResolveHosts(const YAML::Node& node) const {
    if (node.IsScalar()) return m_world.Names(node.Scalar());
    std::vector<std::string> hosts;
    for (const YAML::Node& item : node)
      for (const std::string& name : m_world.Names(item.Scalar()))
        hosts.push_back(name);
    return hosts;
  }

  template <typename Act>
  void ForEachPair(const YAML::Node& what, Act act) {
    if (!what.IsSequence() || what.size() != 2)
      m_source.Refuse(what, "not two sides", "[SIDE, SIDE]");
    for (const std::string& one : ResolveHosts(what[0]))
      for (const std::string& other : ResolveHosts(what[1])) act(one, other);
  }

  void Cut(const YAML::Node& what) {
    ForEachPair(what, [this](const auto& one, const auto& other) {
      m_world.Cut(one, other);
    });
  }
  void Heal(const YAML::Node& what) {
    if (what.IsScalar()) return m_world.GetNetwork().HealAll();
    ForEachPair(what, [this](const auto& one, const auto& other) {
      m_world.GetNetwork().Heal(one, other);
    });
  }
  void Link(const YAML::Node& what) {
    const StepMap map(m_source, what,
                      {"between", "delay", "jitter", "double_every"});
    LinkFault fault;
    fault.delay = map.Time("delay", fault.delay);
    fault.jitter = map.Time("jitter", 0s);
    fault.double_every = static_cast<int>(map.Number("double_every", 0));
    ForEachPair(map.At("between"), [&](const auto& one, const auto& other) {
      m_world.SetFault(one, other, fault);
    });
  }

  // Resolves "leader" to the control host that leads.
  std::string ResolveHost(const YAML::Node& what) {
    if (what.Scalar() != "leader") return what.Scalar();
    const ControlHost* leader = m_world.Leader();
    if (!leader) m_world.GetRecords().Break(Now(), "there is no leader");
    return leader ? leader->Name() : "c1";
  }

  void Kill(const YAML::Node& what) {
    m_last_killed = ResolveHost(what);
    if (m_world.FindEntry(m_last_killed)) m_world.KillEntry(m_last_killed);
    if (ControlHost* control = m_world.FindControl(m_last_killed))
      control->Kill();
    if (Engine* engine = m_world.FindEngine(m_last_killed)) engine->Die();
  }
  // Starts a host or engine; "killed" is the one killed last.
  void Start(const YAML::Node& what) {
    const std::string name =
        what.Scalar() == "killed" ? m_last_killed : what.Scalar();
    if (EntryHost* entry = m_world.FindEntry(name)) entry->Start();
    if (ControlHost* control = m_world.FindControl(name)) control->Start();
    if (Engine* engine = m_world.FindEngine(name)) engine->Start();
  }
  void Wipe(const YAML::Node& what) {
    const StepMap map(m_source, what, {"host", "replica"});
    const std::string host =
        map.Word("host") == "killed" ? m_last_killed : map.Word("host");
    m_world.FindControl(host)->Wipe(map.Number("replica", 0));
  }
  void Replica(const YAML::Node& what) {
    const StepMap map(m_source, what, {"host", "replica", "remove"});
    wire::ReplicaT replica;
    replica.id = map.Number("replica", 0);
    replica.host =
        map.Word("host") == "killed" ? m_last_killed : map.Word("host");
    if (ControlHost* leader = m_world.Leader())
      leader->ProposeMember(replica, map.Flag("remove", false));
  }
  void Drain(const YAML::Node& what) {
    m_world.FindEngine(what.Scalar())->Drain();
  }
  void Shutdown(const YAML::Node& what) {
    m_world.FindEntry(what.Scalar())->Shutdown();
  }
  void SetEngine(const YAML::Node& what) {
    const StepMap map(
        m_source, what,
        {"id", "first_token", "between_pieces", "refuses", "usage_missing"});
    for (const std::string& name : ResolveHosts(map.At("id"))) {
      Engine* engine = m_world.FindEngine(name);
      if (!engine) continue;
      engine->fault.first_token = map.Time("first_token", 20ms);
      engine->fault.chunk_interval = map.Time("between_pieces", 10ms);
      engine->fault.refuses = map.Flag("refuses", false);
      engine->fault.usage_missing = map.Flag("usage_missing", false);
    }
  }
  // The callers of a group's open requests disconnect.
  void Gone(const YAML::Node& what) {
    for (const RequestRecord* record :
         m_world.GetRecords().Group(what.Scalar())) {
      if (record->outcome != Outcome::kOpen) continue;
      m_world.FindEntry(record->entry)->OnCallerGone(record->id);
      m_world.GetRecords().Of(record->id).outcome = Outcome::kLost;
    }
  }

  void Plan(const YAML::Node& what) {
    const StepMap map(m_source, what, {"id", "by", "at", "intent"});
    m_world.Plan(map.Word("id"), map.Word("by", "awa"), map.Word("intent"),
                 At(map));
  }
  void Confirm(const YAML::Node& what) {
    const StepMap map(m_source, what, {"id", "plan", "by", "at"});
    m_world.Confirm(map.Word("id"), map.Word("plan"), map.Word("by", "awa"),
                    At(map));
  }
  std::string At(const StepMap& map) {
    return map.Has("at") ? ResolveHost(map.At("at"))
                         : ResolveHost(YAML::Node("leader"));
  }

  Measures CollectMeasures() {
    Measures measures;
    const ControlHost* leader = m_world.Leader();
    for (int i = 1; leader && i <= 10; ++i) {
      const BudgetId id = "b" + std::to_string(i);
      const state::BudgetAccount* account = leader->GetState().FindAccount(id);
      const Tokens consumed = m_world.GetRecords().Consumed(id);
      measures.consumed += consumed;
      measures.charged += account->settled;
      measures.stranded += account->lost;
      measures.overspend += std::max<Tokens>(0, consumed - account->purchased);
    }
    m_world.GetRecords().Count(&measures.answered, &measures.refused,
                               &measures.false_refusals);
    return measures;
  }

  const YamlSource& m_source;
  World m_world;
  Expectations m_expectations;
  // Whether the run stops at the first violation. With an overridden policy the
  // script's expectations may fail, so the run continues.
  bool m_stops_on_violation;
  YAML::Node m_steps;
  std::string m_last_killed;
};

}  // namespace

const std::vector<std::string_view>& ScriptFields() {
  static const std::vector<std::string_view> fields = {
      "title", "promises", "failures",  "deployment",         "policy",
      "way",   "tokens",   "partition", "serve_when_cut_off", "seed",
      "steps"};
  return fields;
}

ScriptResult RunSteps(const YamlSource& source, const YAML::Node& root,
                      const PolicyOverride& choice) {
  return Runner(source, root, choice).Run();
}

}  // namespace dotterelshift::scenarios
