#include "dotterelshift/routing/router.h"

#include <algorithm>      // for max, min, binary_search, sort
#include <unordered_map>  // for unordered_map

#include "dotterelshift/routing/outliers.h"      // for EjectSlow
#include "dotterelshift/routing/policy.h"        // for Policy, Slate
#include "dotterelshift/routing/prefix_index.h"  // for PrefixIndex
#include "dotterelshift/routing/target.h"        // for Serves, MayUse

namespace dotterelshift::routing {
namespace {

// Interval between checks for slow endpoints.
constexpr Duration kJudgeEvery = 500ms;

// Weight of a new measurement in the moving average of the first-token time
// over all endpoints.
constexpr double kUsualWeight = 0.02;

// The endpoints that a team may use for a target.
struct Candidates {
  std::vector<Seat*> seats;
  std::vector<uint32_t> numbers;  // Seat::number of each, sorted
  Instant judged{};
};

template <Policy Chooser>
class PolicyRouter final : public Router {
 public:
  explicit PolicyRouter(const RouterOptions& options)
      : m_options(options), m_random(options.seed) {}

  RouteChoice Choose(const RouteQuery& query, Instant now) override {
    if (m_directory == nullptr) return {};
    Candidates& candidates = CandidatesOf(query);
    Judge(&candidates, now);
    const Slate slate = MakeSlate(query, candidates, now);
    const Seat* seat = m_chooser.Pick(slate, &m_random);
    if (seat == nullptr) return Refusal(slate);
    if (query.prefix_hashes != nullptr)
      m_prefixes.OnSent(seat->number, *query.prefix_hashes);
    RouteChoice choice;
    choice.outcome = RouteOutcome::kChosen;
    choice.endpoint = seat->id;
    choice.incarnation = seat->incarnation;
    choice.address = seat->address;
    return choice;
  }

  void OnStarted(const EndpointId& endpoint, Tokens /*expected*/,
                 Instant now) override {
    Seat* seat = Find(endpoint);
    if (seat == nullptr) return;
    seat->hold.OnChange(seat->in_flight, now);
    ++seat->in_flight;
  }

  void OnFirstToken(const EndpointId& endpoint, Duration latency,
                    Instant now) override {
    Seat* seat = Find(endpoint);
    if (seat == nullptr) return;
    const double ms =
        std::chrono::duration<double, std::milli>(latency).count();
    NoteFirstToken(seat, ms);
    seat->limit.OnFirstToken(latency, now, seat->in_flight);
    m_first_token_ms +=
        m_first_token_ms == 0 ? ms : kUsualWeight * (ms - m_first_token_ms);
  }

  void OnTokens(const EndpointId& /*endpoint*/, Tokens /*tokens*/,
                Instant /*now*/) override {}

  void OnRefused(const EndpointId& endpoint, Instant now) override {
    Seat* seat = Find(endpoint);
    if (seat != nullptr) seat->limit.OnRefused(now);
  }

  void OnEnded(const EndpointId& endpoint, Tokens /*expected*/, bool failed,
               Instant now) override {
    Seat* seat = Find(endpoint);
    if (seat == nullptr) return;
    seat->hold.OnChange(seat->in_flight, now);
    seat->hold.OnEnded();
    seat->in_flight = std::max(0, seat->in_flight - 1);
    if (m_options.eject_outliers) NoteEnd(seat, failed, m_outliers, now);
  }

  void OnCacheEvents(const std::vector<wire::CacheEventT>& events,
                     Instant /*now*/) override {
    for (const wire::CacheEventT& event : events) {
      const Seat* seat = Find(event.endpoint);
      if (seat == nullptr) continue;
      m_prefixes.OnEvent(seat->number, event.incarnation, event.sequence,
                         event.prefix_hash, event.stored);
    }
  }

  void Refresh(const directory::Directory& directory,
               const state::Configuration& configuration,
               Instant /*now*/) override {
    m_directory = &directory;
    m_configuration = &configuration;
    m_candidates.clear();
    for (auto& [id, seat] : m_seats) seat.usable = false;
    for (const auto& [id, endpoint] : directory.All()) Update(endpoint);
    std::erase_if(m_seats, [&](const auto& item) {
      const Seat& seat = item.second;
      const bool over =
          seat.in_flight == 0 && directory.Find(seat.id) == nullptr;
      if (over) m_prefixes.Forget(seat.number);
      return over;
    });
  }

 private:
  Seat* Find(const EndpointId& endpoint) {
    const auto it = m_seats.find(endpoint);
    return it == m_seats.end() ? nullptr : &it->second;
  }

  // The adaptive limit starts at the number of slots that the endpoint
  // announces.
  static admission::ConcurrencyLimit FirstLimit(
      const wire::EndpointRecordT& record) {
    constexpr double kStart = 4;
    constexpr double kLeast = 1;
    constexpr double kMost = 4096;
    admission::ConcurrencyLimit limit(kStart, kLeast, kMost);
    if (record.slots > 0) limit.Begin(record.slots);
    return limit;
  }

  void Update(const directory::Endpoint& endpoint) {
    const wire::EndpointRecordT& record = endpoint.record;
    Seat& seat = m_seats[record.id];
    if (seat.number == 0) seat.number = ++m_last_number;
    if (seat.incarnation != record.incarnation) {
      // A new incarnation: what was learned about the previous one is void.
      if (seat.incarnation != 0) m_prefixes.Distrust(seat.number);
      seat.failures = 0;
      seat.samples = 0;
      seat.ejected_until = {};
      seat.limit = FirstLimit(record);
    }
    seat.id = record.id;
    seat.incarnation = record.incarnation;
    seat.address = record.address;
    seat.usable = endpoint.usable;
    seat.local = record.data_centre == m_options.data_centre;
    seat.slots = std::max<double>(1, record.slots);
    seat.TakeReport(endpoint);
  }

  Candidates& CandidatesOf(const RouteQuery& query) {
    m_key.assign(query.team);
    m_key.append(query.service ? "\ns" : "\nm");
    m_key.append(query.target);
    const auto [it, fresh] = m_candidates.try_emplace(m_key);
    if (fresh) Fill(query, &it->second);
    return it->second;
  }

  void Fill(const RouteQuery& query, Candidates* candidates) {
    for (const auto& [id, endpoint] : m_directory->All()) {
      if (!Serves(endpoint.record, query.target, query.service)) continue;
      if (!MayUse(*m_configuration, query.team, id, query.target)) continue;
      candidates->seats.push_back(Find(id));
    }
    // Sorted by number, so that runs with the same seed are reproducible.
    std::sort(
        candidates->seats.begin(), candidates->seats.end(),
        [](const Seat* a, const Seat* b) { return a->number < b->number; });
    for (const Seat* seat : candidates->seats)
      candidates->numbers.push_back(seat->number);
  }

  void Judge(Candidates* candidates, Instant now) {
    if (!m_options.eject_outliers) return;
    if (now - candidates->judged < kJudgeEvery) return;
    candidates->judged = now;
    EjectSlow(candidates->seats, m_outliers, now);
  }

  Slate MakeSlate(const RouteQuery& query, const Candidates& candidates,
                  Instant now) {
    Slate slate;
    slate.seats = &candidates.seats;
    slate.query = &query;
    slate.directory = m_directory;
    slate.far_penalty = m_options.far_penalty;
    slate.first_token_ms = m_first_token_ms;
    slate.now = now;
    if (query.prefix_hashes == nullptr) return slate;
    const PrefixMatch match = m_prefixes.Find(*query.prefix_hashes);
    if (match.count == 0) return slate;
    slate.cached_part = static_cast<double>(match.blocks) /
                        static_cast<double>(query.prefix_hashes->size());
    for (size_t i = 0; i < match.count; ++i) {
      const auto place =
          std::lower_bound(candidates.numbers.begin(), candidates.numbers.end(),
                           match.holders[i].seat);
      const bool found =
          place != candidates.numbers.end() && *place == match.holders[i].seat;
      if (!found) continue;
      slate.holders[slate.holder_count++] =
          candidates.seats[place - candidates.numbers.begin()];
    }
    return slate;
  }

  // Reports why no endpoint was chosen: none is usable, or all are at their
  // limits or ejected.
  RouteChoice Refusal(const Slate& slate) const {
    RouteChoice choice;
    for (const Seat* seat : *slate.seats) {
      if (!seat->usable || IsExcluded(*slate.query, seat->id)) continue;
      Duration wait = WaitFor(*seat, slate.now);
      if (choice.outcome == RouteOutcome::kBusy)
        wait = std::min(wait, choice.expected_wait);
      choice.outcome = RouteOutcome::kBusy;
      choice.expected_wait = wait;
    }
    return choice;
  }

  static Duration WaitFor(const Seat& seat, Instant now) {
    if (seat.IsEjected(now)) return seat.ejected_until - now;
    const double seconds = seat.hold.Seconds() / std::max(1, seat.in_flight);
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
  std::unordered_map<EndpointId, Seat> m_seats;
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
