#ifndef DOTTERELSHIFT_BENCH_ROUTING_MODEL_H_
#define DOTTERELSHIFT_BENCH_ROUTING_MODEL_H_

#include <chrono>         // for duration_cast
#include <cmath>          // for log, pow
#include <deque>          // for deque
#include <functional>     // for function
#include <list>           // for list
#include <map>            // for multimap
#include <memory>         // for unique_ptr
#include <string>         // for string
#include <unordered_map>  // for unordered_map
#include <utility>        // for move
#include <vector>         // for vector

#include "dotterelshift/directory/directory.h"  // for Directory
#include "dotterelshift/routing/policy.h"       // for Random
#include "dotterelshift/routing/router.h"       // for MakeRouter
#include "dotterelshift/state/state_testing.h"  // for TeamChange

namespace dotterelshift::routing {

inline constexpr size_t kTeams = 10;
inline constexpr size_t kEntries = 6;
inline constexpr size_t kTokensPerBlock = 64;
inline constexpr Duration kRun = 180s;
inline constexpr Duration kWarmUp = 30s;
inline constexpr Duration kLocalLatency = 500us;
inline constexpr Duration kRemoteLatency = 2000us;
inline constexpr Duration kReportEvery = 1s;
inline constexpr Duration kReportLag = 300ms;
inline constexpr Duration kEventLag = 500ms;
inline constexpr double kEventLoss = 0.05;
inline constexpr double kPrefillMsPerToken = 0.25;
inline constexpr double kDecodeMsPerToken = 12;

struct Deployment {
  const char* name;
  std::vector<DataCentreId> data_centres;
  size_t models;    // drafting or copy model servers
  size_t services;  // loan-desk or layout and rate servers
  double requests_per_second;
  size_t shared_blocks;  // shared prefix of a typical prompt
};

struct PolicyRow {
  const char* name;
  PolicyKind kind;
  bool eject;
};

inline double Uniform(Random* random) {
  constexpr size_t kSteps = 1 << 24;
  return (static_cast<double>(random->Below(kSteps)) + 0.5) / kSteps;
}

// The prompt prefix blocks that an engine has cached, with LRU eviction.
class PrefixCache {
 public:
  explicit PrefixCache(size_t capacity) : m_capacity(capacity) {}

  // Returns the number of leading blocks that were cached, then caches all of
  // them. Calls event(hash, true) for each block stored and event(hash, false)
  // for each block evicted.
  template <typename Event>
  size_t Use(const std::vector<uint64_t>& hashes, const Event& event) {
    size_t hits = 0;
    while (hits < hashes.size() && m_positions.contains(hashes[hits])) ++hits;
    for (const uint64_t hash : hashes) {
      const auto it = m_positions.find(hash);
      if (it != m_positions.end()) {
        m_order.splice(m_order.begin(), m_order, it->second);
        continue;
      }
      m_order.push_front(hash);
      m_positions[hash] = m_order.begin();
      event(hash, true);
    }
    while (m_positions.size() > m_capacity) {
      event(m_order.back(), false);
      m_positions.erase(m_order.back());
      m_order.pop_back();
    }
    return hits;
  }

 private:
  size_t m_capacity;
  std::list<uint64_t> m_order;
  std::unordered_map<uint64_t, std::list<uint64_t>::iterator> m_positions;
};

struct Job {
  size_t entry = 0;
  RouteQuery query;
  std::vector<uint64_t> hashes;
  size_t output_tokens = 0;
  Instant arrived{};
  Instant sent{};
  size_t engine = 0;
};

struct Engine {
  EndpointId id;
  DataCentreId data_centre;
  bool service = false;
  size_t slots = 8;
  double slowness = 1;
  bool draining = false;
  size_t running = 0;
  std::deque<std::shared_ptr<Job>> waiting;
  PrefixCache cache{3000};
  uint64_t report_sequence = 0;
  uint64_t event_sequence = 0;
};

struct Result {
  std::vector<double> first_token_ms;
  size_t blocks = 0;
  size_t cached_blocks = 0;
  size_t remote = 0;
  size_t requests = 0;
  size_t refused = 0;
  size_t sent_to_slow = 0;
};

inline state::Configuration MakeConfiguration() {
  std::vector<wire::ChangeT> changes;
  wire::UpsertEndpointSetT set;
  set.endpoint_set = std::make_unique<wire::EndpointSetT>();
  set.endpoint_set->id = "all";
  set.endpoint_set->models = {"model"};
  set.endpoint_set->services = {"desk"};
  changes.push_back(state::ChangeOf(std::move(set)));
  for (size_t team = 0; team < kTeams; ++team) {
    wire::ChangeT change = state::TeamChange("team-" + std::to_string(team));
    change.body.AsUpsertTeam()->team->endpoint_sets = {"all"};
    changes.push_back(std::move(change));
  }
  state::Configuration configuration;
  configuration.Apply(changes, 1);
  return configuration;
}

inline wire::EndpointRecordT RecordOf(Engine* engine) {
  wire::EndpointRecordT record;
  record.id = engine->id;
  record.incarnation = 1;
  record.sequence = ++engine->report_sequence;
  record.address = engine->id + ":8000";
  record.data_centre = engine->data_centre;
  record.slots = static_cast<uint32_t>(engine->slots);
  record.running = static_cast<uint32_t>(engine->running);
  record.waiting = static_cast<uint32_t>(engine->waiting.size());
  record.draining = engine->draining;
  if (engine->service) {
    record.services = {"desk"};
  } else {
    record.models.push_back(std::make_unique<wire::ModelStateT>());
    record.models.back()->model = "model";
  }
  return record;
}

// Simulates one deployment under one policy.
//
// An endpoint has slots and a prefix cache of limited size. A request waits for
// a slot, the blocks of its prompt that are not cached are prefilled, and
// prefill and decoding slow down as more slots are in use. Six entries route
// requests, each with its own router. Load reports are sent once a second and
// arrive 300 ms late; cache events arrive 500 ms late, and one in twenty is
// lost.
class Model {
 public:
  Model(const Deployment& deployment, const PolicyRow& policy)
      : m_deployment(deployment),
        m_configuration(MakeConfiguration()),
        m_random(12345) {
    const size_t centres = deployment.data_centres.size();
    for (size_t i = 0; i < deployment.models + deployment.services; ++i) {
      Engine engine;
      engine.service = i >= deployment.models;
      engine.id = (engine.service ? "desk-" : "engine-") + std::to_string(i);
      engine.data_centre = deployment.data_centres[i % centres];
      if (engine.service) engine.slots = 4;
      m_engines.push_back(std::move(engine));
    }
    m_engines[1].slowness = 4;
    for (size_t i = 0; i < kEntries; ++i) {
      RouterOptions options;
      options.policy = policy.kind;
      options.eject_outliers = policy.eject;
      options.data_centre = deployment.data_centres[i % centres];
      options.seed = i + 1;
      m_routers.push_back(MakeRouter(options));
      m_entry_centres.push_back(options.data_centre);
    }
    m_waiting_jobs.resize(kEntries);
  }

  Result Run() {
    for (size_t i = 0; i < m_engines.size(); ++i) Report(i);
    Deliver(0s);
    Arrive();
    At(kRun / 2, [this] {
      m_engines[2].draining = true;
      Publish(2);
    });
    while (!m_events.empty()) {
      auto first = m_events.begin();
      m_now = first->first;
      const std::function<void()> event = std::move(first->second);
      m_events.erase(first);
      event();
    }
    return std::move(m_result);
  }

 private:
  Duration Elapsed() const { return m_now - m_start; }

  void At(Duration when, std::function<void()> event) {
    m_events.emplace(m_start + when, std::move(event));
  }
  void In(Duration wait, std::function<void()> event) {
    m_events.emplace(m_now + wait, std::move(event));
  }
  static Duration Ms(double ms) {
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(ms));
  }

  // Each engine reports its load about once a second.
  void Report(size_t engine) {
    Publish(engine);
    if (Elapsed() < kRun)
      In(kReportEvery + 1ms * static_cast<int64_t>(engine),
         [this, engine] { Report(engine); });
  }

  void Publish(size_t engine) {
    wire::EndpointRecordT record = RecordOf(&m_engines[engine]);
    const Duration lag = Elapsed() == 0s ? 0s : kReportLag;
    record.age_ms = static_cast<uint32_t>(ToMs(lag));
    In(lag, [this, record] {
      m_directory.OnRecord(record, m_now);
      Deliver(0s);
    });
  }

  void Deliver(Duration /*lag*/) {
    m_directory.OnTimer(m_now);
    if (m_directory.Generation() == m_seen_generation) return;
    m_seen_generation = m_directory.Generation();
    for (const auto& router : m_routers)
      router->Refresh(m_directory, m_configuration, m_now);
  }

  // Requests arrive at random times. A few teams send most of them, and each
  // team uses a few templates, whose prompts share a prefix.
  void Arrive() {
    if (Elapsed() >= kRun) return;
    const double gap_ms =
        -std::log(Uniform(&m_random)) * 1000 / m_deployment.requests_per_second;
    In(Ms(gap_ms), [this] { Arrive(); });
    if (Elapsed() == 0s) return;
    auto job = std::make_shared<Job>();
    job->entry = m_random.Below(kEntries);
    job->arrived = m_now;
    const auto team = static_cast<size_t>(std::pow(Uniform(&m_random), 2.5) *
                                          static_cast<double>(kTeams));
    job->query.team = "team-" + std::to_string(team);
    job->query.service = m_random.Below(6) == 0;
    job->query.target = job->query.service ? "desk" : "model";
    job->output_tokens =
        static_cast<size_t>(20 + 130 * -std::log(Uniform(&m_random)));
    if (!job->query.service) MakePrompt(team, job.get());
    Route(std::move(job));
  }

  void MakePrompt(size_t team, Job* job) {
    const size_t shared_blocks = m_deployment.shared_blocks / 2 +
                                 m_random.Below(m_deployment.shared_blocks);
    const size_t kind = m_random.Below(8);
    uint64_t hash = team * 1000 + kind;
    for (size_t i = 0; i < shared_blocks; ++i) {
      hash = hash * 6364136223846793005ULL + i + 1;
      job->hashes.push_back(hash);
    }
    hash += ++m_unique_prompts * 7919;
    const size_t own_blocks = 2 + m_random.Below(8);
    for (size_t i = 0; i < own_blocks; ++i) {
      hash = hash * 6364136223846793005ULL + i + 1;
      job->hashes.push_back(hash);
    }
    job->query.prompt_tokens =
        static_cast<Tokens>(job->hashes.size() * kTokensPerBlock);
  }

  void Route(std::shared_ptr<Job> job) {
    Router& router = *m_routers[job->entry];
    if (!job->query.service) job->query.prefix_hashes = &job->hashes;
    const RouteChoice choice = router.Choose(job->query, m_now);
    if (choice.outcome == RouteOutcome::kBusy) {
      m_waiting_jobs[job->entry].push_back(std::move(job));
      return;
    }
    if (choice.outcome == RouteOutcome::kNone) {
      ++m_result.refused;
      return;
    }
    router.OnStarted(choice.endpoint, 0, m_now);
    job->sent = m_now;
    job->engine =
        std::stoul(choice.endpoint.substr(choice.endpoint.find('-') + 1));
    In(NetworkLatency(*job), [this, job] {
      m_engines[job->engine].waiting.push_back(job);
      StartNext(job->engine);
    });
  }

  bool IsRemote(const Job& job) const {
    return m_engines[job.engine].data_centre != m_entry_centres[job.entry];
  }
  Duration NetworkLatency(const Job& job) const {
    return IsRemote(job) ? kRemoteLatency : kLocalLatency;
  }

  void StartNext(size_t number) {
    Engine& engine = m_engines[number];
    while (engine.running < engine.slots && !engine.waiting.empty()) {
      const std::shared_ptr<Job> job = engine.waiting.front();
      engine.waiting.pop_front();
      ++engine.running;
      Work(number, job);
    }
  }

  void Work(size_t number, const std::shared_ptr<Job>& job) {
    Engine& engine = m_engines[number];
    const size_t hits = engine.cache.Use(
        job->hashes, [this, number](uint64_t hash, bool stored) {
          SendEvent(number, hash, stored);
        });
    const double load_factor = 1 + static_cast<double>(engine.running) /
                                       static_cast<double>(engine.slots);
    double prefill = 10 + kPrefillMsPerToken * load_factor *
                              static_cast<double>(kTokensPerBlock) *
                              static_cast<double>(job->hashes.size() - hits);
    double decode = kDecodeMsPerToken * (0.5 + load_factor / 2) *
                    static_cast<double>(job->output_tokens);
    if (engine.service) {
      prefill = 60 + 120 * Uniform(&m_random);
      decode = 0;
    }
    prefill *= engine.slowness;
    decode *= engine.slowness;
    Count(*job, hits);
    In(Ms(prefill) + NetworkLatency(*job), [this, job] { FirstToken(*job); });
    In(Ms(prefill + decode), [this, number, job] {
      --m_engines[number].running;
      StartNext(number);
      In(NetworkLatency(*job), [this, job] { End(*job); });
    });
  }

  void Count(const Job& job, size_t hits) {
    if (Elapsed() < kWarmUp || job.query.service) return;
    m_result.blocks += job.hashes.size();
    m_result.cached_blocks += hits;
    ++m_result.requests;
    if (IsRemote(job)) ++m_result.remote;
    if (m_engines[job.engine].slowness > 1) ++m_result.sent_to_slow;
  }

  // Cache events of an engine are sent to one entry only, the one to which the
  // engine announces itself.
  void SendEvent(size_t number, uint64_t hash, bool stored) {
    wire::CacheEventT event;
    event.endpoint = m_engines[number].id;
    event.incarnation = 1;
    event.sequence = ++m_engines[number].event_sequence;
    event.prefix_hash = hash;
    event.stored = stored;
    if (Uniform(&m_random) < kEventLoss) return;
    In(kEventLag, [this, number, event] {
      m_routers[number % kEntries]->OnCacheEvents({event}, m_now);
    });
  }

  void FirstToken(const Job& job) {
    m_routers[job.entry]->OnFirstToken(m_engines[job.engine].id,
                                       m_now - job.sent, m_now);
    if (Elapsed() < kWarmUp || job.query.service) return;
    m_result.first_token_ms.push_back(
        std::chrono::duration<double, std::milli>(m_now - job.arrived).count());
  }

  void End(const Job& job) {
    m_routers[job.entry]->OnEnded(m_engines[job.engine].id, 0, false, m_now);
    std::deque<std::shared_ptr<Job>> held;
    held.swap(m_waiting_jobs[job.entry]);
    for (std::shared_ptr<Job>& waiting : held) Route(std::move(waiting));
  }

  const Deployment& m_deployment;
  state::Configuration m_configuration;
  Random m_random;
  const Instant m_start = Instant{} + 1000s;
  Instant m_now = m_start;
  std::multimap<Instant, std::function<void()>> m_events;
  std::vector<Engine> m_engines;
  std::vector<std::unique_ptr<Router>> m_routers;
  std::vector<DataCentreId> m_entry_centres;
  std::vector<std::deque<std::shared_ptr<Job>>> m_waiting_jobs;
  directory::Directory m_directory;
  uint64_t m_seen_generation = 0;
  uint64_t m_unique_prompts = 0;
  Result m_result;
};

}  // namespace dotterelshift::routing

#endif  // DOTTERELSHIFT_BENCH_ROUTING_MODEL_H_
