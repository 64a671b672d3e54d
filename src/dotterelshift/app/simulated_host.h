#ifndef DOTTERELSHIFT_APP_SIMULATED_HOST_H_
#define DOTTERELSHIFT_APP_SIMULATED_HOST_H_

// The parts of a simulated host of control: its event loop, its disk, its log
// store and a state that counts commands; for tests only.

#include <cstdint>      // for uint64_t
#include <memory>       // for unique_ptr
#include <string>       // for string
#include <string_view>  // for string_view
#include <utility>      // for move, pair
#include <vector>       // for vector

#include "dotterelshift/app/replica.h"         // for Replica
#include "dotterelshift/app/simulated_loop.h"  // for SimulatedLoop

namespace dotterelshift::app {

// Simulated durations of a host's operations.
struct WorkCosts {
  Duration sync = 5ms;     // one write of the log
  Duration frame = 200us;  // one frame from another replica
  Duration command{};      // applying one command
  Duration open_entry{};   // reading one log entry at the start
  Duration snapshot{};     // creating or reading one
  Duration sent_kib{};     // sending a KiB of the log to another replica
};

// The contents of a host's data folder.
struct SimulatedDisk {
  replication::RestoredLog log;
  std::string snapshot;
  std::vector<std::string> spool;
};

// The event loop of a host, with its operation costs and its disk.
class HostLoop : public SimulatedLoop {
 public:
  HostLoop(SimulatedTime& time, const WorkCosts& costs, SimulatedDisk& disk)
      : SimulatedLoop(time), m_costs(costs), m_disk(disk) {}
  const WorkCosts& Costs() const { return m_costs; }
  SimulatedDisk& Disk() { return m_disk; }

 private:
  const WorkCosts& m_costs;
  SimulatedDisk& m_disk;
};

// The log store of a simulated host. Writes are durable immediately.
class SimulatedStore : public storage::LogStore {
 public:
  explicit SimulatedStore(HostLoop& loop) : m_loop(loop) {}

  void Write(const replication::Ready& ready) override {
    m_loop.Spend(m_loop.Costs().sync);
    replication::RestoredLog& log = m_loop.Disk().log;
    if (ready.hard_state) log.hard_state = *ready.hard_state;
    if (ready.install) {
      log.snapshot = ready.install->first;
      log.entries.clear();
      m_loop.Disk().snapshot = ready.install->second;
    }
    if (ready.truncate_from)
      std::erase_if(log.entries, [&](const wire::LogEntryT& entry) {
        return entry.index >= *ready.truncate_from;
      });
    log.entries.insert(log.entries.end(), ready.append.begin(),
                       ready.append.end());
  }
  void SaveSnapshot(const replication::SnapshotMeta& meta,
                    const std::string& bytes) override {
    m_loop.Spend(m_loop.Costs().sync);
    m_loop.Disk().log.snapshot = meta;
    m_loop.Disk().snapshot = bytes;
    std::erase_if(m_loop.Disk().log.entries, [&](const wire::LogEntryT& entry) {
      return entry.index <= meta.last_index;
    });
  }
  void AppendSpool(const std::string& record) override {
    m_loop.Disk().spool.push_back(record);
  }
  void ClearSpool() override { m_loop.Disk().spool.clear(); }
  uint64_t LogBytes() const override { return 0; }

 private:
  HostLoop& m_loop;
};

// The replica that the single plan of CountingState adds.
inline constexpr ReplicaId kAddedReplica = 1000;

// A state that only counts the applied commands. Commands and snapshots take
// simulated time. It has a single plan, which adds a replica.
class CountingState : public state::State {
 public:
  explicit CountingState(HostLoop& loop) : m_loop(loop) {
    wire::AddReplicaT addition;
    addition.replica = kAddedReplica;
    addition.host = "newcomer";
    m_plan.changes.push_back(std::make_unique<wire::ChangeT>());
    m_plan.changes.back()->body.Set(std::move(addition));
  }

  std::vector<wire::CommandAnswerT> Apply(
      const wire::CommandBatchT& batch) override {
    m_loop.Spend(m_loop.Costs().command *
                 static_cast<int64_t>(batch.commands.size()));
    m_commands += batch.commands.size();
    std::vector<wire::CommandAnswerT> answers(batch.commands.size());
    for (size_t i = 0; i < answers.size(); ++i)
      if (batch.commands[i]->body.AsConfirmPlan() != nullptr)
        answers[i].body.Set(Confirmed());
    return answers;
  }
  std::string Snapshot() const override {
    m_loop.Spend(m_loop.Costs().snapshot);
    return std::to_string(m_commands);
  }
  void Restore(std::string_view snapshot) override {
    m_commands = std::stoull(std::string(snapshot));
    m_loop.Spend(m_loop.Costs().snapshot);
  }
  uint64_t Commands() const { return m_commands; }

  const state::Configuration& GetConfiguration() const override {
    return m_configuration;
  }
  std::vector<wire::ChangeT> ChangesSince(uint64_t) const override {
    return {};
  }
  state::PublishedRoutes GetPublished() const override { return {}; }
  std::vector<wire::RoutesStepT> RouteDeltasSince(uint64_t) const override {
    return {};
  }
  state::BudgetAccount PublishedSums() const override { return {}; }
  std::vector<BudgetId> PublishedBudgets() const override { return {}; }
  const state::BudgetAccount* FindAccount(const BudgetId&) const override {
    return nullptr;
  }
  std::vector<state::Holding> HoldingsOf(const BudgetId&) const override {
    return {};
  }
  const wire::PlanT* FindPlan(const std::string&) const override {
    return &m_plan;
  }
  bool KnowsTopUp(const std::string&) const override { return false; }
  std::vector<wire::OrderT> Orders() const override { return {}; }
  std::vector<wire::SuspectAnswerT> Quarantined(WallMs) const override {
    return {};
  }
  std::vector<HostEntry> Hosts() const override { return {}; }
  std::vector<state::TeamDay> Report(const TeamId&, int64_t,
                                     int64_t) const override {
    return {};
  }
  std::vector<std::string> Disagreements() const override { return {}; }
  WallMs LastStamp() const override { return 0; }

 private:
  static wire::PlanAnswerT Confirmed() {
    wire::PlanAnswerT answer;
    answer.version = 1;
    return answer;
  }

  HostLoop& m_loop;
  uint64_t m_commands = 0;
  state::Configuration m_configuration;
  wire::PlanT m_plan;
};

// The runtime of simulated replicas.
struct SimulatedRuntime {
  using Loop = HostLoop;
  using Timer = SimulatedTimer;

  static std::pair<std::unique_ptr<storage::LogStore>, storage::OpenedStore>
  OpenStore(Loop& loop, const storage::LogStoreOptions&) {
    const SimulatedDisk& disk = loop.Disk();
    loop.Spend(loop.Costs().open_entry *
               static_cast<int64_t>(disk.log.entries.size()));
    storage::OpenedStore opened;
    opened.log = disk.log;
    opened.snapshot = disk.snapshot;
    opened.spool = disk.spool;
    return {std::make_unique<SimulatedStore>(loop), std::move(opened)};
  }
  static std::unique_ptr<state::State> MakeState(Loop& loop,
                                                 const state::StateOptions&) {
    return std::make_unique<CountingState>(loop);
  }
};

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_APP_SIMULATED_HOST_H_
