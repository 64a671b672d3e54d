#include "dotterelshift/routing/router.h"

#include <algorithm>      // for find, max
#include <random>         // for mt19937_64
#include <unordered_map>  // for unordered_map
#include <utility>        // for pair

#include "dotterelshift/admission/fair_queue.h"  // for ConcurrencyLimit
#include "dotterelshift/routing/target.h"        // for Serves, MayUse

namespace dotterelshift::routing {
namespace {

// What this entry knows of one endpoint by its own work.
struct Seat {
  EndpointId id;
  uint64_t incarnation = 0;
  std::string address;
  bool usable = false;
  int in_flight = 0;
  admission::ConcurrencyLimit limit;
};

class TwoChoiceRouter final : public Router {
 public:
  explicit TwoChoiceRouter(const RouterOptions& options)
      : m_random(options.seed) {}

  RouteChoice Choose(const RouteQuery& query, Instant /*now*/) override {
    const std::vector<Seat*>& candidates = CandidatesOf(query);
    std::vector<Seat*> free;
    bool usable = false;
    for (Seat* seat : candidates) {
      if (!seat->usable || IsExcluded(query, seat->id)) continue;
      usable = true;
      if (seat->in_flight < seat->limit.Current()) free.push_back(seat);
    }
    RouteChoice choice;
    if (free.empty()) {
      choice.outcome = usable ? RouteOutcome::kBusy : RouteOutcome::kNone;
      return choice;
    }
    const Seat* first = free[m_random() % free.size()];
    const Seat* second = free[m_random() % free.size()];
    const Seat* best = second->in_flight < first->in_flight ? second : first;
    choice.outcome = RouteOutcome::kChosen;
    choice.endpoint = best->id;
    choice.incarnation = best->incarnation;
    choice.address = best->address;
    return choice;
  }

  void OnStarted(const EndpointId& endpoint, Tokens /*expected*/,
                 Instant /*now*/) override {
    ++m_seats[endpoint].in_flight;
  }
  void OnFirstToken(const EndpointId& endpoint, Duration latency,
                    Instant now) override {
    m_seats[endpoint].limit.OnFirstToken(latency, now);
  }
  void OnTokens(const EndpointId& /*endpoint*/, Tokens /*tokens*/,
                Instant /*now*/) override {}
  void OnRefused(const EndpointId& endpoint, Instant now) override {
    m_seats[endpoint].limit.OnRefused(now);
  }
  void OnEnded(const EndpointId& endpoint, Tokens /*expected*/, bool /*failed*/,
               Instant /*now*/) override {
    Seat& seat = m_seats[endpoint];
    seat.in_flight = std::max(0, seat.in_flight - 1);
  }
  void OnCacheEvents(const std::vector<wire::CacheEventT>& /*events*/,
                     Instant /*now*/) override {}

  void Refresh(const directory::Directory& directory,
               const state::Configuration& configuration,
               Instant /*now*/) override {
    m_directory = &directory;
    m_configuration = &configuration;
    m_candidates.clear();
    for (auto& [id, seat] : m_seats) seat.usable = false;
    for (const auto& [id, endpoint] : directory.All()) {
      Seat& seat = m_seats[id];
      seat.id = id;
      seat.incarnation = endpoint.record.incarnation;
      seat.address = endpoint.record.address;
      seat.usable = endpoint.usable;
    }
  }

 private:
  static bool IsExcluded(const RouteQuery& query, const EndpointId& id) {
    if (query.exclude == nullptr) return false;
    const std::vector<EndpointId>& exclude = *query.exclude;
    return std::find(exclude.begin(), exclude.end(), id) != exclude.end();
  }

  const std::vector<Seat*>& CandidatesOf(const RouteQuery& query) {
    const std::string key =
        query.team + (query.service ? "\ns" : "\nm") + query.target;
    const auto [it, fresh] = m_candidates.try_emplace(key);
    if (!fresh || m_directory == nullptr) return it->second;
    for (const auto& [id, endpoint] : m_directory->All()) {
      if (!Serves(endpoint.record, query.target, query.service)) continue;
      if (!MayUse(*m_configuration, query.team, id, query.target)) continue;
      it->second.push_back(&m_seats[id]);
    }
    return it->second;
  }

  std::mt19937_64 m_random;
  const directory::Directory* m_directory = nullptr;
  const state::Configuration* m_configuration = nullptr;
  std::unordered_map<EndpointId, Seat> m_seats;
  std::unordered_map<std::string, std::vector<Seat*>> m_candidates;
};

}  // namespace

std::unique_ptr<Router> MakeRouter(const RouterOptions& options) {
  return std::make_unique<TwoChoiceRouter>(options);
}

}  // namespace dotterelshift::routing
