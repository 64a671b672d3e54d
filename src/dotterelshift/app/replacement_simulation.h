#ifndef DOTTERELSHIFT_APP_REPLACEMENT_SIMULATION_H_
#define DOTTERELSHIFT_APP_REPLACEMENT_SIMULATION_H_

// A control group whose hosts are lost and replaced in series, for tests and
// tools only.

#include <cstdint>    // for uint64_t
#include <memory>     // for shared_ptr
#include <random>     // for mt19937_64
#include <set>        // for set
#include <stdexcept>  // for runtime_error
#include <string>     // for to_string
#include <vector>     // for vector

#include "dotterelshift/app/replica_simulation.h"  // for ReplicaSimulation

namespace dotterelshift::app {

struct ReplacementOptions {
  uint64_t seed = 1;
  size_t hosts = 5;
  // How many hosts may be lost at the same time. A lost host counts as lost
  // until `catch_up` after it, or its successor, has started.
  size_t tolerated = 1;
  Duration catch_up = 4s;
  int losses = 12;  // of each of the `tolerated` series
  // Between the end of one loss and the next one, at most.
  Duration max_pause = 4s;
  // Between the loss of a host and the start of its successor, at most.
  Duration max_absence = 3s;
  // Longest time without an accepted command.
  Duration max_outage = 7s;
};

// A promise of the group that a schedule has broken.
class BrokenPromise : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Plays one schedule of losses, drawn from the seed. A host is replaced by one
// with another name, restarts with its folder or without it, or is cut off for
// a time; a successor may be lost while it joins. Leaders and the newest hosts
// are lost more often than others.
//
// Checked throughout: a majority of the voters that the leader lists is
// running, and commands are accepted. Checked at the end: each accepted command
// is in the leader's state, and the members are exactly the running hosts.
class ReplacementSimulation {
 public:
  explicit ReplacementSimulation(const ReplacementOptions& options)
      : m_options(options),
        m_random(options.seed),
        m_group(options.hosts, WorkCosts{}),
        m_names(options.hosts) {}

  // Throws BrokenPromise.
  void Run() {
    m_group.StartAll();
    m_last_accepted = m_group.Time().Now();
    Offer();
    Check();
    for (size_t series = 0; series < m_options.tolerated; ++series)
      At(kWarmUp + Draw(m_options.max_pause), [this] { Lose(0); });
    m_group.RunUntil([this] { return HasEnded() || !m_broken.empty(); },
                     kLongestRun);
    if (m_broken.empty()) m_group.RunFor(kSettleTime);
    if (m_broken.empty()) CheckEnd();
    if (!m_broken.empty())
      throw BrokenPromise("seed " + std::to_string(m_options.seed) + ": " +
                          m_broken + "; " + Describe());
  }

 private:
  static constexpr Duration kWarmUp = 5s;
  static constexpr Duration kOfferInterval = 250ms;
  static constexpr Duration kCheckInterval = 100ms;
  static constexpr Duration kSettleTime = 12s;
  static constexpr Duration kReadTime = 5s;
  static constexpr Duration kLongestRun = 3600s;

  enum class Loss { kReplaced, kRestarted, kWiped, kCutOff };

  uint64_t Draw(uint64_t below) { return m_random() % below; }
  Duration Draw(Duration most) {
    return Duration(
        static_cast<int64_t>(Draw(static_cast<uint64_t>(most.count()) + 1)));
  }
  bool Chance(uint64_t percent) { return Draw(uint64_t{100}) < percent; }
  template <typename Event>
  void At(Duration delay, Event event) {
    m_group.Time().Add(m_group.Time().Now() + delay, nullptr, event);
  }

  Loss DrawLoss() {
    if (Chance(60)) return Loss::kReplaced;
    if (Chance(40)) return Loss::kRestarted;
    return Chance(50) ? Loss::kWiped : Loss::kCutOff;
  }

  // A running host that does not count as lost.
  HostId DrawHost() {
    std::vector<HostId> candidates;
    for (const HostId& name : m_group.Running())
      if (!m_lost.contains(name)) candidates.push_back(name);
    const HostId leader = m_group.Leader();
    if (Chance(40) && !leader.empty() && !m_lost.contains(leader))
      return leader;
    if (Chance(40) && !m_newest.empty() && m_group.IsRunning(m_newest) &&
        !m_lost.contains(m_newest))
      return m_newest;
    return candidates.at(Draw(uint64_t{candidates.size()}));
  }

  void Lose(int number) {
    if (number >= m_options.losses) {
      ++m_ended_series;
      return;
    }
    const HostId host = DrawHost();
    const Loss loss = DrawLoss();
    m_lost.insert(host);
    if (loss == Loss::kCutOff) {
      m_group.Cut(host, true);
    } else {
      m_group.Kill(host);
    }
    if (loss == Loss::kWiped) m_group.Wipe(host);
    At(Draw(m_options.max_absence),
       [this, host, loss, number] { Return(host, loss, number); });
  }

  void Return(const HostId& host, Loss loss, int number) {
    m_lost.erase(host);
    if (loss == Loss::kReplaced) return StartSuccessor(number);
    if (loss == Loss::kCutOff)
      m_group.Cut(host, false);
    else
      m_group.Start(host);
    AwaitCatchUp(host, number);
  }

  void StartSuccessor(int number) {
    const HostId name = "control-" + std::to_string(++m_names);
    m_group.Join(name);
    m_newest = name;
    if (!Chance(20)) return AwaitCatchUp(name, number);
    // It is lost while it joins, and replaced in turn.
    m_lost.insert(name);
    At(Draw(m_options.catch_up), [this, name, number] {
      m_group.Kill(name);
      At(Draw(m_options.max_absence), [this, name, number] {
        m_lost.erase(name);
        StartSuccessor(number);
      });
    });
  }

  void AwaitCatchUp(const HostId& host, int number) {
    m_lost.insert(host);
    At(m_options.catch_up + Draw(m_options.max_pause), [this, host, number] {
      m_lost.erase(host);
      Lose(number + 1);
    });
  }

  bool HasEnded() const { return m_ended_series == m_options.tolerated; }

  void Offer() {
    m_group.Offer(m_accepted);
    At(kOfferInterval, [this] { Offer(); });
  }

  void Check() {
    const Instant now = m_group.Time().Now();
    if (*m_accepted != m_accepted_before) m_last_accepted = now;
    m_accepted_before = *m_accepted;
    if (now - m_last_accepted > m_options.max_outage)
      Break("no command was accepted for " +
            std::to_string(ToMs(now - m_last_accepted)) + " ms");
    const HostId leader = m_group.Leader();
    if (!leader.empty() && LiveVoters(leader) < Majority(leader))
      Break("no majority of the voters is running");
    At(kCheckInterval, [this] { Check(); });
  }

  void CheckEnd() {
    const HostId leader = m_group.Leader();
    if (leader.empty()) return Break("there is no leader");
    if (m_group.CommandsAt(leader) < *m_accepted)
      return Break("accepted commands are lost");
    const auto& members = MembersOf(leader);
    const size_t running = m_group.Running().size();
    const bool exact =
        members.replicas.size() == running && LiveVoters(leader) == running;
    if (!exact) return Break("the members are not the running hosts");
    if (!m_group.TimeToConfirmedRead(kReadTime))
      Break("a read is not confirmed in time");
  }

  void Break(const std::string& what) {
    if (m_broken.empty())
      m_broken = what + " at " +
                 std::to_string(ToMs(m_group.Time().Now() - Instant{})) + " ms";
  }

  const wire::MembershipT& MembersOf(const HostId& host) {
    return m_group.Find(host).GetNode().Members();
  }
  size_t Majority(const HostId& leader) {
    return replication::Majority(MembersOf(leader));
  }
  size_t LiveVoters(const HostId& leader) {
    size_t live = 0;
    for (const auto& member : MembersOf(leader).replicas)
      if (member->voter && m_group.IsRunning(member->host)) ++live;
    return live;
  }

  std::string Describe() {
    const HostId leader = m_group.Leader();
    std::string text = "running:";
    for (const HostId& name : m_group.Running()) text += " " + name;
    if (leader.empty()) return text + "; no leader";
    text += "; " + leader + " lists";
    for (const auto& member : MembersOf(leader).replicas)
      text += " " + member->host + (member->voter ? "" : " (learner)");
    return text;
  }

  const ReplacementOptions m_options;
  std::mt19937_64 m_random;
  ReplicaSimulation m_group;
  size_t m_names;  // used for hosts so far
  HostId m_newest;
  std::set<HostId> m_lost;
  size_t m_ended_series = 0;
  std::shared_ptr<uint64_t> m_accepted = std::make_shared<uint64_t>(0);
  uint64_t m_accepted_before = 0;
  Instant m_last_accepted{};
  std::string m_broken;
};

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_APP_REPLACEMENT_SIMULATION_H_
