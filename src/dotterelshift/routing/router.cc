#include "dotterelshift/routing/router.h"

#include <algorithm>      // for max, min, binary_search, sort
#include <unordered_map>  // for unordered_map

#include "dotterelshift/routing/outliers.h"      // for EjectSlow
#include "dotterelshift/routing/policy.h"        // for Policy, SelectionContext
#include "dotterelshift/routing/prefix_index.h"  // for PrefixIndex
#include "dotterelshift/routing/target.h"        // for Serves, MayUse

namespace dotterelshift::routing {
namespace {

// Interval between checks for slow endpoints.
constexpr Duration kOutlierCheckInterval = 500ms;

// Weight of a new measurement in the moving average of the first-token time
// over all endpoints.
constexpr double kLatencyWeight = 0.02;

// The endpoints that a team may use for a target.
struct Candidates {
  std::vector<EndpointState*> endpoints;
  std::vector<uint32_t> numbers;  // EndpointState::number of each, sorted
  Instant last_outlier_check{};
};

template <Policy Chooser>
class PolicyRouter final : public Router {
 public:
  explicit PolicyRouter(const RouterOptions& options)
      : m_options(options), m_random(options.seed) {}

  RouteChoice Choose(const RouteQuery& query, Instant now) override {
    if (m_directory == nullptr) return {};
    Candidates& candidates = CandidatesOf(query);
    EjectOutliers(&candidates, now);
    const SelectionContext context = MakeContext(query, candidates, now);
    const EndpointState* state = m_chooser.Pick(context, &m_random);
    if (state == nullptr) return Refusal(context);
    if (query.prefix_hashes != nullptr)
      m_prefixes.OnSent(state->number, *query.prefix_hashes);
    RouteChoice choice;
    choice.outcome = RouteOutcome::kChosen;
    choice.endpoint = state->id;
    choice.incarnation = state->incarnation;
    choice.address = state->address;
    return choice;
  }

  void OnStarted(const EndpointId& endpoint, Tokens /*expected*/,
                 Instant now) override {
    EndpointState* state = Find(endpoint);
    if (state == nullptr) return;
    state->service_time.OnChange(state->in_flight, now);
    ++state->in_flight;
  }

  void OnFirstToken(const EndpointId& endpoint, Duration latency,
                    Instant now) override {
    EndpointState* state = Find(endpoint);
    if (state == nullptr) return;
    const double ms =
        std::chrono::duration<double, std::milli>(latency).count();
    RecordFirstToken(state, ms);
    state->limit.OnFirstToken(latency, now, state->in_flight);
    m_first_token_ms +=
        m_first_token_ms == 0 ? ms : kLatencyWeight * (ms - m_first_token_ms);
  }

  void OnTokens(const EndpointId& /*endpoint*/, Tokens /*tokens*/,
                Instant /*now*/) override {}

  void OnRefused(const EndpointId& endpoint, Instant now) override {
    EndpointState* state = Find(endpoint);
    if (state != nullptr) state->limit.OnRefused(now);
  }

  void OnEnded(const EndpointId& endpoint, Tokens /*expected*/, bool failed,
               Instant now) override {
    EndpointState* state = Find(endpoint);
    if (state == nullptr) return;
    state->service_time.OnChange(state->in_flight, now);
    state->service_time.OnEnded();
    state->in_flight = std::max(0, state->in_flight - 1);
    if (m_options.eject_outliers)
      RecordAttemptEnd(state, failed, m_outliers, now);
  }

  void OnCacheEvents(const std::vector<wire::CacheEventT>& events,
                     Instant /*now*/) override {
    for (const wire::CacheEventT& event : events) {
      const EndpointState* state = Find(event.endpoint);
      if (state == nullptr) continue;
      m_prefixes.OnEvent(state->number, event.incarnation, event.sequence,
                         event.prefix_hash, event.stored);
    }
  }

  void Refresh(const directory::Directory& directory,
               const state::Configuration& configuration,
               Instant /*now*/) override {
    m_directory = &directory;
    m_configuration = &configuration;
    m_candidates.clear();
    for (auto& [id, state] : m_endpoints) state.usable = false;
    for (const auto& [id, endpoint] : directory.All()) Update(endpoint);
    std::erase_if(m_endpoints, [&](const auto& item) {
      const EndpointState& state = item.second;
      const bool gone =
          state.in_flight == 0 && directory.Find(state.id) == nullptr;
      if (gone) m_prefixes.Forget(state.number);
      return gone;
    });
  }

 private:
  EndpointState* Find(const EndpointId& endpoint) {
    const auto it = m_endpoints.find(endpoint);
    return it == m_endpoints.end() ? nullptr : &it->second;
  }

  // The adaptive limit starts at the number of slots that the endpoint
  // announces.
  static admission::ConcurrencyLimit FirstLimit(
      const wire::EndpointRecordT& record) {
    constexpr double kStart = 4;
    constexpr double kMin = 1;
    constexpr double kMax = 4096;
    admission::ConcurrencyLimit limit(kStart, kMin, kMax);
    if (record.slots > 0) limit.Begin(record.slots);
    return limit;
  }

  void Update(const directory::Endpoint& endpoint) {
    const wire::EndpointRecordT& record = endpoint.record;
    EndpointState& state = m_endpoints[record.id];
    if (state.number == 0) state.number = ++m_last_number;
    if (state.incarnation != record.incarnation) {
      // A new incarnation: the cached prefixes, failures, latency samples,
      // ejection and limit of the previous one do not apply to it.
      if (state.incarnation != 0) m_prefixes.Invalidate(state.number);
      state.failures = 0;
      state.samples = 0;
      state.ejected_until = {};
      state.limit = FirstLimit(record);
    }
    state.id = record.id;
    state.incarnation = record.incarnation;
    state.address = record.address;
    state.usable = endpoint.usable;
    state.local = record.data_centre == m_options.data_centre;
    state.slots = std::max<double>(1, record.slots);
    state.TakeReport(endpoint);
  }

  Candidates& CandidatesOf(const RouteQuery& query) {
    m_key.assign(query.team);
    m_key.append(query.service ? "\ns" : "\nm");
    m_key.append(query.target);
    const auto [it, inserted] = m_candidates.try_emplace(m_key);
    if (inserted) Fill(query, &it->second);
    return it->second;
  }

  void Fill(const RouteQuery& query, Candidates* candidates) {
    for (const auto& [id, endpoint] : m_directory->All()) {
      if (!Serves(endpoint.record, query.target, query.service)) continue;
      if (!MayUse(*m_configuration, query.team, id, query.target)) continue;
      candidates->endpoints.push_back(Find(id));
    }
    // Sorted by number, so that runs with the same seed are reproducible.
    std::sort(candidates->endpoints.begin(), candidates->endpoints.end(),
              [](const EndpointState* a, const EndpointState* b) {
                return a->number < b->number;
              });
    for (const EndpointState* state : candidates->endpoints)
      candidates->numbers.push_back(state->number);
  }

  void EjectOutliers(Candidates* candidates, Instant now) {
    if (!m_options.eject_outliers) return;
    if (now - candidates->last_outlier_check < kOutlierCheckInterval) return;
    candidates->last_outlier_check = now;
    EjectSlow(candidates->endpoints, m_outliers, now);
  }

  SelectionContext MakeContext(const RouteQuery& query,
                               const Candidates& candidates, Instant now) {
    SelectionContext context;
    context.endpoints = &candidates.endpoints;
    context.query = &query;
    context.directory = m_directory;
    context.remote_penalty = m_options.remote_penalty;
    context.first_token_ms = m_first_token_ms;
    context.now = now;
    if (query.prefix_hashes == nullptr) return context;
    const PrefixMatch match = m_prefixes.Find(*query.prefix_hashes);
    if (match.count == 0) return context;
    context.cached_fraction = static_cast<double>(match.blocks) /
                              static_cast<double>(query.prefix_hashes->size());
    for (size_t i = 0; i < match.count; ++i) {
      const auto place =
          std::lower_bound(candidates.numbers.begin(), candidates.numbers.end(),
                           match.holders[i].endpoint_number);
      const bool found = place != candidates.numbers.end() &&
                         *place == match.holders[i].endpoint_number;
      if (!found) continue;
      context.holders[context.holder_count++] =
          candidates.endpoints[place - candidates.numbers.begin()];
    }
    return context;
  }

  // Reports why no endpoint was chosen: none is usable, or all are at their
  // limits or ejected.
  RouteChoice Refusal(const SelectionContext& context) const {
    RouteChoice choice;
    for (const EndpointState* state : *context.endpoints) {
      if (!state->usable || IsExcluded(*context.query, state->id)) continue;
      Duration wait = WaitFor(*state, context.now);
      if (choice.outcome == RouteOutcome::kBusy)
        wait = std::min(wait, choice.expected_wait);
      choice.outcome = RouteOutcome::kBusy;
      choice.expected_wait = wait;
    }
    return choice;
  }

  static Duration WaitFor(const EndpointState& state, Instant now) {
    if (state.IsEjected(now)) return state.ejected_until - now;
    const double seconds =
        state.service_time.Seconds() / std::max(1, state.in_flight);
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(seconds));
  }

  static bool IsExcluded(const RouteQuery& query, const EndpointId& id) {
    if (query.exclude == nullptr) return false;
    const std::vector<EndpointId>& exclude = *query.exclude;
    return std::find(exclude.begin(), exclude.end(), id) != exclude.end();
  }

  RouterOptions m_options;
  OutlierOptions m_outliers;
  Random m_random;
  Chooser m_chooser;
  const directory::Directory* m_directory = nullptr;
  const state::Configuration* m_configuration = nullptr;
  std::unordered_map<EndpointId, EndpointState> m_endpoints;
  std::unordered_map<std::string, Candidates> m_candidates;
  PrefixIndex m_prefixes;
  std::string m_key;  // reused, so that a choice allocates no memory
  uint32_t m_last_number = 0;
  double m_first_token_ms = 0;
};

}  // namespace

std::unique_ptr<Router> MakeRouter(const RouterOptions& options) {
  switch (options.policy) {
    case PolicyKind::kRoundRobin:
      return std::make_unique<PolicyRouter<RoundRobin>>(options);
    case PolicyKind::kLeastInFlight:
      return std::make_unique<PolicyRouter<LeastInFlight>>(options);
    case PolicyKind::kTwoChoices:
      return std::make_unique<PolicyRouter<TwoChoices>>(options);
    case PolicyKind::kSixChoices:
      return std::make_unique<PolicyRouter<SixChoices>>(options);
    case PolicyKind::kLocalTwoChoices:
      return std::make_unique<PolicyRouter<LocalFirst<TwoChoices>>>(options);
    case PolicyKind::kPrefixAffinity:
      return std::make_unique<PolicyRouter<PrefixAffinity>>(options);
    case PolicyKind::kLocalPrefixAffinity:
      return std::make_unique<PolicyRouter<LocalFirst<PrefixAffinity>>>(
          options);
  }
  return nullptr;
}

}  // namespace dotterelshift::routing
