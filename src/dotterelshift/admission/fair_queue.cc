#include "dotterelshift/admission/fair_queue.h"

#include <algorithm>      // for max
#include <map>            // for map
#include <set>            // for set
#include <string>         // for string
#include <unordered_map>  // for unordered_map
#include <utility>        // for pair

namespace dotterelshift::admission {
namespace {

// Number of teams whose first request may fail to start, per target and call.
// Teams may reach different endpoints, so one failure does not exclude the
// others; but a call must stay short when all endpoints are busy. The next call
// resumes behind the teams that were tried.
constexpr int kMaxFailedStarts = 8;

// Number of flows without requests that are kept before idle flows are removed.
constexpr size_t kIdleFlows = 256;

// Position of a request within its team: its priority, then its arrival number.
using Place = std::pair<int, uint64_t>;

// One team's requests for one target. Start-time fair queueing: the flow with
// the smallest start tag is served, and each served request advances its flow's
// tag by cost over weight.
struct Flow {
  double start = 0;
  double weight = 1;    // of the request pushed last
  double queued = 0;    // cost of the queued requests
  uint64_t number = 0;  // tie breaker
  std::set<std::pair<Place, RequestId>> waiting;
};

// Scheduling order of a flow: its start tag and its number.
using Turn = std::pair<double, uint64_t>;

// Sorts before the turn of every flow.
constexpr Turn kNoTurn{-1, 0};

struct Target {
  double virtual_time = 0;
  std::unordered_map<TeamId, Flow> flows;
  std::map<Turn, TeamId> backlogged;
  Turn resume_after = kNoTurn;  // where the last call stopped
};

struct Entry {
  Waiting waiting;
  Place place;
};

class StartTimeFairQueue : public FairQueue {
 public:
  explicit StartTimeFairQueue(const QueueOptions& options)
      : m_options(options) {}

  bool Push(const Waiting& waiting) override {
    if (SizeOf(waiting.team) >= m_options.max_waiting_per_team) return false;
    if (m_entries.size() >= m_options.max_waiting) return false;
    const Place place{waiting.priority, ++m_arrivals};
    if (!m_entries.emplace(waiting.request, Entry{waiting, place}).second)
      return false;
    ++m_team_sizes[waiting.team];
    m_deadlines.emplace(waiting.deadline, waiting.request);
    Target& target = m_targets[waiting.target];
    Flow& flow = FlowOf(target, waiting.team);
    if (flow.waiting.empty()) {
      // A team earns no credit by having been idle.
      flow.start = std::max(flow.start, target.virtual_time);
      target.backlogged.emplace(TurnOf(flow), waiting.team);
    }
    flow.waiting.emplace(place, waiting.request);
    flow.weight = WeightOf(waiting);
    flow.queued += waiting.cost;
    return true;
  }

  void Remove(RequestId request) override { Take(request, false); }

  void Offer(const std::function<bool(const Waiting&)>& try_start) override {
    std::vector<std::string> names;
    for (const auto& [name, target] : m_targets)
      if (!target.backlogged.empty()) names.push_back(name);
    for (const std::string& name : names) OfferTarget(name, try_start);
    std::erase_if(m_targets,
                  [](const auto& named) { return named.second.flows.empty(); });
  }

  std::vector<RequestId> TakeExpired(Instant now) override {
    std::vector<RequestId> expired;
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
      expired.push_back(m_deadlines.begin()->second);
      Take(expired.back(), false);
    }
    return expired;
  }

  std::optional<Instant> NextDeadline() const override {
    if (m_deadlines.empty()) return std::nullopt;
    return m_deadlines.begin()->first;
  }

  size_t Size() const override { return m_entries.size(); }

  // Until the request's turn, each other team is served its weight times the
  // distance that virtual time has to advance, at most the cost it has queued.
  double CostAhead(const Waiting& waiting) const override {
    const auto named = m_targets.find(waiting.target);
    if (named == m_targets.end()) return 0;
    const Target& target = named->second;
    double turn = target.virtual_time;
    double ahead = 0;
    const auto own = target.flows.find(waiting.team);
    if (own != target.flows.end()) {
      ahead = OwnCostAhead(own->second, waiting.priority);
      turn = std::max(turn, own->second.start) + ahead / WeightOf(waiting);
    }
    for (const auto& [at, team] : target.backlogged) {
      if (at.first > turn) break;
      if (team == waiting.team) continue;
      const Flow& flow = target.flows.at(team);
      ahead += std::min(flow.queued, (turn - flow.start) * flow.weight);
    }
    return ahead;
  }

  size_t SizeOf(const TeamId& team) const override {
    const auto found = m_team_sizes.find(team);
    return found == m_team_sizes.end() ? 0 : found->second;
  }

 private:
  static double WeightOf(const Waiting& waiting) {
    return std::max<uint32_t>(1, waiting.weight);
  }

  // Cost of a team's queued requests that precede a new one of this priority.
  double OwnCostAhead(const Flow& flow, int priority) const {
    double cost = 0;
    for (const auto& [place, request] : flow.waiting) {
      if (place.first > priority) break;
      cost += m_entries.at(request).waiting.cost;
    }
    return cost;
  }

  static Turn TurnOf(const Flow& flow) { return {flow.start, flow.number}; }

  Flow& FlowOf(Target& target, const TeamId& team) {
    const auto [found, added] = target.flows.try_emplace(team);
    if (added) found->second.number = ++m_flows;
    return found->second;
  }

  // Passes once over the flows, starting where the last call stopped.
  // `try_start` may push and remove requests, so no iterator is held across it.
  void OfferTarget(const std::string& name,
                   const std::function<bool(const Waiting&)>& try_start) {
    const Turn begin = m_targets[name].resume_after;
    Turn after = begin;
    bool wrapped = begin == kNoTurn;
    int misses = 0;
    while (misses < kMaxFailedStarts) {
      Target& target = m_targets[name];
      const auto next = target.backlogged.upper_bound(after);
      if (next == target.backlogged.end()) {
        if (wrapped) break;
        wrapped = true;
        after = kNoTurn;
        continue;
      }
      const Turn turn = next->first;
      if (wrapped && begin != kNoTurn && turn > begin) break;
      const Waiting offered = FirstOf(target.flows.at(next->second));
      if (try_start(offered)) {
        Take(offered.request, true);
      } else {
        ++misses;
        after = turn;
      }
    }
    m_targets[name].resume_after = misses == kMaxFailedStarts ? after : kNoTurn;
  }

  // Returns a copy, as the callback may remove the request.
  Waiting FirstOf(const Flow& flow) const {
    return m_entries.at(flow.waiting.begin()->second).waiting;
  }

  // Removes a request; its cost is charged to its team if it was started.
  void Take(RequestId request, bool started) {
    const auto found = m_entries.find(request);
    if (found == m_entries.end()) return;
    const Entry entry = std::move(found->second);
    m_entries.erase(found);
    m_deadlines.erase({entry.waiting.deadline, request});
    const auto size = m_team_sizes.find(entry.waiting.team);
    if (--size->second == 0) m_team_sizes.erase(size);
    TakeFromFlow(entry, started);
  }

  static void TakeFromFlow(Target& target, const Entry& entry, bool started) {
    const Waiting& waiting = entry.waiting;
    Flow& flow = target.flows.at(waiting.team);
    flow.waiting.erase({entry.place, waiting.request});
    flow.queued = flow.waiting.empty() ? 0 : flow.queued - waiting.cost;
    target.backlogged.erase(TurnOf(flow));
    if (started) {
      target.virtual_time = std::max(target.virtual_time, flow.start);
      flow.start += waiting.cost / WeightOf(waiting);
    }
    if (!flow.waiting.empty())
      target.backlogged.emplace(TurnOf(flow), waiting.team);
    SweepIdle(target);
  }

  void TakeFromFlow(const Entry& entry, bool started) {
    TakeFromFlow(m_targets.at(entry.waiting.target), entry, started);
  }

  // Removes flows without requests whose tag has been passed: a new flow would
  // have the same effect.
  static void SweepIdle(Target& target) {
    const bool idle = target.backlogged.empty();
    if (!idle &&
        target.flows.size() <= 2 * target.backlogged.size() + kIdleFlows)
      return;
    std::erase_if(target.flows, [&target, idle](const auto& named) {
      const Flow& flow = named.second;
      return flow.waiting.empty() &&
             (idle || flow.start <= target.virtual_time);
    });
  }

  const QueueOptions m_options;
  uint64_t m_arrivals = 0;
  uint64_t m_flows = 0;
  std::unordered_map<RequestId, Entry> m_entries;
  std::unordered_map<TeamId, size_t> m_team_sizes;
  std::unordered_map<std::string, Target> m_targets;
  std::set<std::pair<Instant, RequestId>> m_deadlines;
};

}  // namespace

std::unique_ptr<FairQueue> MakeFairQueue(const QueueOptions& options) {
  return std::make_unique<StartTimeFairQueue>(options);
}

}  // namespace dotterelshift::admission
