// Measures the commit rate of three control replicas on loopback with real file
// syncs, the time from killing the leader to the next commit, and the restart
// time. Each replica is a separate process of this program, so that the
// replicas sync their files in parallel.

#include <fcntl.h>     // for open
#include <poll.h>      // for poll
#include <signal.h>    // for kill, signal
#include <spawn.h>     // for posix_spawn
#include <sys/wait.h>  // for waitpid
#include <unistd.h>    // for pipe

#include <algorithm>  // for sort
#include <array>      // for array
#include <cstdio>     // for printf
#include <cstring>    // for strcmp
#include <iostream>   // for cout
#include <map>        // for map
#include <optional>   // for optional

#include "dotterelshift/app/control_replica.h"    // for MakeControlReplica
#include "dotterelshift/base/temporary_folder.h"  // for TemporaryFolder
#include "dotterelshift/state/state_testing.h"    // for PlanOf

namespace dotterelshift {
namespace {

using Clock = std::chrono::steady_clock;

constexpr int kReplicas = 3;
constexpr size_t kCommandsOutstanding = 16384;
constexpr size_t kCommandsPerProposal = 256;
constexpr Duration kPhase = 3s;
constexpr Tokens kManyTokens = 1'000'000'000'000;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Proposes the commands of one entry, which opens and settles attempts.
class Load {
 public:
  Load(loop::Loop& loop, app::ControlReplica& replica, Incarnation incarnation)
      : m_loop(loop),
        m_replica(replica),
        m_run(nullptr, "entry", incarnation),
        m_incarnation(incarnation) {}

  // Creates a team and a budget, unless an earlier leader did, and requests a
  // grant. Then calls `done`.
  void Prepare(const std::function<void()>& done) {
    std::vector<wire::ChangeT> changes;
    changes.push_back(state::TeamChange("team"));
    changes.push_back(state::BudgetChange("budget", "team"));
    changes.push_back(state::TopUpChange("top-up", "budget", kManyTokens));
    const std::string plan = "plan-" + std::to_string(m_incarnation);
    const uint64_t version = m_replica.GetState().GetConfiguration().Version();
    std::vector<wire::CommandT> commands;
    commands.push_back(m_run.Command(wire::RegisterHostT{}));
    commands.push_back(m_run.Command(
        state::PlanOf(plan, version, "operator", std::move(changes))));
    commands.push_back(m_run.Command(state::ConfirmOf(plan)));
    commands.push_back(
        m_run.Command(state::GrantRequestOf("budget", kManyTokens / 100)));
    m_replica.Propose(std::move(commands),
                      [done](ErrorKind, const auto&) { done(); });
  }

  // Keeps `outstanding` commands in flight, `commands_per_proposal` of them in
  // each proposal, until `end`. Then calls `done` with the number of commands
  // that succeeded.
  void RunUntil(Instant end, size_t outstanding, size_t commands_per_proposal,
                std::function<void(uint64_t)> done) {
    m_end = end;
    m_commands_per_proposal = commands_per_proposal;
    m_done = std::move(done);
    m_succeeded_commands = 0;
    m_proposals_in_flight = 0;
    for (size_t i = 0; i < outstanding; i += commands_per_proposal)
      ProposeBatch();
  }

  // Like RunUntil(), but stops after at least `count` successes.
  void RunCommands(uint64_t count, std::function<void(uint64_t)> done) {
    m_max_commands = count;
    RunUntil(Instant::max(), kCommandsOutstanding, kCommandsPerProposal,
             std::move(done));
  }

 private:
  void ProposeBatch() {
    std::vector<wire::CommandT> commands;
    for (size_t i = 0; i < m_commands_per_proposal; ++i)
      commands.push_back(Next());
    ++m_proposals_in_flight;
    m_replica.Propose(std::move(commands),
                      [this](ErrorKind error, const auto& answers) {
                        OnAnswers(error, answers);
                      });
  }

  void OnAnswers(ErrorKind error,
                 const std::vector<wire::CommandAnswerT>& answers) {
    --m_proposals_in_flight;
    for (const auto& answer : answers)
      m_succeeded_commands += answer.error == 0;
    const bool has_more = error == ErrorKind::kNone && m_loop.Now() < m_end &&
                          m_succeeded_commands < m_max_commands;
    if (has_more) return ProposeBatch();
    if (m_proposals_in_flight == 0) m_done(m_succeeded_commands);
  }

  wire::CommandT Next() {
    const AttemptId attempt = m_commands / 2 + 1;
    const std::string key = "request-" + std::to_string(attempt);
    constexpr Tokens kReserved = 100;
    const bool opens = m_commands++ % 2 == 0;
    if (opens)
      return m_run.Command(state::OpeningOf("budget", key, attempt, kReserved));
    return m_run.Command(
        state::SettlementOf("budget", key, attempt, kReserved, 1));
  }

  loop::Loop& m_loop;
  app::ControlReplica& m_replica;
  state::TestSender m_run;
  Incarnation m_incarnation;
  Instant m_end{};
  size_t m_commands_per_proposal = 1;
  uint64_t m_max_commands = UINT64_MAX;
  uint64_t m_commands = 0;
  uint64_t m_succeeded_commands = 0;
  size_t m_proposals_in_flight = 0;
  std::function<void(uint64_t)> m_done;
};

// ---- replica process ------------------------------------------------------

std::string HostName(int replica) { return "r" + std::to_string(replica); }

class ReplicaProcess {
 public:
  ReplicaProcess(int self, const std::string& folder,
                 const std::array<int, kReplicas>& ports)
      : m_self(self),
        m_input(m_loop, STDIN_FILENO, EV_READ, [this](int) { OnInput(); }) {
    peers::HubOptions hub;
    hub.fleet = "bench";
    hub.secret = "the secret of a benchmark's fleet";
    hub.self.run = {HostName(self), static_cast<Incarnation>(m_loop.WallNow())};
    hub.self.role = wire::HostRole::Control;
    hub.listen_port = static_cast<uint16_t>(ports[self]);
    app::ControlReplicaOptions options;
    for (int other = 0; other < kReplicas; ++other) {
      options.first_members.push_back(HostName(other));
      if (other != self)
        hub.dial.push_back("127.0.0.1:" + std::to_string(ports[other]));
    }
    options.self = HostName(self);
    options.store.folder = folder;
    options.node.seed = hub.self.run.incarnation;
    peers::HubCallbacks hub_callbacks;
    hub_callbacks.on_frame = [this](const peers::PeerInfo& from,
                                    const wire::FrameT& frame) {
      if (m_replica) m_replica->OnFrame(from, frame);
    };
    hub_callbacks.on_up = [](const peers::PeerInfo&) {};
    hub_callbacks.on_down = [](const peers::PeerInfo&) {};
    m_hub = peers::MakeHub(m_loop, hub, std::move(hub_callbacks));
    app::ControlReplicaCallbacks callbacks;
    callbacks.send = [this](const HostId& to, const wire::FrameT& frame) {
      m_hub->Send(to, frame);
    };
    callbacks.on_leadership_changed = [this] { OnLeadershipChanged(); };
    m_replica = app::MakeControlReplica(m_loop, options, std::move(callbacks));
    m_join_check_timer.ArmIn(kJoinCheckInterval);
  }

  void Run() { m_loop.Run(); }

 private:
  // A new leader commits its first commands and then reports that it leads.
  void OnLeadershipChanged() {
    if (m_replica->GetNode().Role() != replication::NodeRole::kLeader) return;
    m_load.emplace(m_loop, *m_replica,
                   static_cast<Incarnation>(m_loop.WallNow()));
    m_load->Prepare([this] {
      std::printf("leads %d\n", m_self);
      Flush();
    });
  }

  // A replica has joined when it knows a leader, has applied a command, and its
  // commit index has not changed since the previous check.
  void CheckJoined() {
    const replication::Node& node = m_replica->GetNode();
    const bool joined = node.Leader() != 0 && node.Commit() > 0 &&
                        m_replica->GetState().LastStamp() > 0 &&
                        m_last_commit == node.Commit();
    m_last_commit = node.Commit();
    if (!joined) return m_join_check_timer.ArmIn(kJoinCheckInterval);
    std::printf("joined %d\n", m_self);
    Flush();
  }

  void OnInput() {
    char command = 0;
    if (read(STDIN_FILENO, &command, 1) != 1) return m_loop.Stop();
    const bool batched = command == 'b';
    const Instant begin = m_loop.Now();
    m_load->RunUntil(begin + kPhase, batched ? kCommandsOutstanding : 1,
                     batched ? kCommandsPerProposal : 1,
                     [this, begin](uint64_t succeeded_commands) {
                       const double seconds = Seconds(m_loop.Now() - begin);
                       std::printf(
                           "rate %.0f\n",
                           static_cast<double>(succeeded_commands) / seconds);
                       Flush();
                     });
  }

  static void Flush() { std::fflush(stdout); }

  static constexpr Duration kJoinCheckInterval = 100ms;

  int m_self;
  uint64_t m_last_commit = 0;
  loop::Loop m_loop;
  loop::Timer m_join_check_timer{m_loop, [this] { CheckJoined(); }};
  loop::IoWatcher m_input;
  std::unique_ptr<peers::Hub> m_hub;
  std::unique_ptr<app::ControlReplica> m_replica;
  std::optional<Load> m_load;
};

// ---- measuring process ----------------------------------------------------

struct Child {
  pid_t pid = 0;
  int input = -1;
  int output = -1;
  std::string buffer;
};

class Group {
 public:
  explicit Group(const char* program) : m_program(program) {
    for (int& port : m_ports) port = FreePort();
    for (int i = 0; i < kReplicas; ++i) Start(i);
  }
  ~Group() {
    for (int i = 0; i < kReplicas; ++i) Kill(i);
  }
  Group(const Group&) = delete;
  Group& operator=(const Group&) = delete;

  void Start(int i) {
    int to_child[2];
    int from_child[2];
    if (pipe2(to_child, O_CLOEXEC) != 0 || pipe2(from_child, O_CLOEXEC) != 0)
      std::abort();
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, to_child[0], STDIN_FILENO);
    posix_spawn_file_actions_adddup2(&actions, from_child[1], STDOUT_FILENO);
    std::vector<std::string> words = {m_program, "replica", std::to_string(i),
                                      m_folders[i].Path()};
    for (const int port : m_ports) words.push_back(std::to_string(port));
    std::vector<char*> arguments;
    arguments.reserve(words.size() + 1);
    for (std::string& word : words) arguments.push_back(word.data());
    arguments.push_back(nullptr);
    Child& child = m_children[i];
    posix_spawn(&child.pid, m_program, &actions, nullptr, arguments.data(),
                environ);
    posix_spawn_file_actions_destroy(&actions);
    close(to_child[0]);
    close(from_child[1]);
    child.input = to_child[1];
    child.output = from_child[0];
    child.buffer.clear();
  }

  void Kill(int i) {
    Child& child = m_children[i];
    kill(child.pid, SIGKILL);
    waitpid(child.pid, nullptr, 0);
    close(child.input);
    close(child.output);
    child.output = -1;
  }

  // Blocks until a child process has printed a line, and returns it.
  std::string ReadLine() {
    while (true) {
      std::array<pollfd, kReplicas> polled{};
      for (int i = 0; i < kReplicas; ++i)
        polled[i] = {m_children[i].output, POLLIN, 0};
      poll(polled.data(), polled.size(), -1);
      for (int i = 0; i < kReplicas; ++i) {
        Child& child = m_children[i];
        char byte = 0;
        const bool ready = (polled[i].revents & POLLIN) != 0;
        if (!ready || read(child.output, &byte, 1) != 1) continue;
        if (byte == '\n') return std::exchange(child.buffer, "");
        child.buffer += byte;
      }
    }
  }

  int WaitForLeader() {
    std::string line = ReadLine();
    while (line.find("leads") != 0) line = ReadLine();
    return line.back() - '0';
  }

  void WaitForJoin(int replica) {
    while (ReadLine() != "joined " + std::to_string(replica)) {
    }
  }

  double Rate(int leader, char phase) {
    if (write(m_children[leader].input, &phase, 1) != 1) std::abort();
    std::string line = ReadLine();
    while (line.find("rate ") != 0) line = ReadLine();
    return std::stod(line.substr(5));
  }

 private:
  static int FreePort() {
    loop::Loop loop;
    peers::HubOptions options;
    options.fleet = options.secret = options.self.run.host = "free port";
    return peers::MakeHub(loop, options, {})->Port();
  }

  const char* m_program;
  std::array<int, kReplicas> m_ports{};
  std::array<TemporaryFolder, kReplicas> m_folders;
  std::array<Child, kReplicas> m_children;
};

// Appends to a file and syncs it repeatedly for 1 s; returns writes per second.
double BareSyncRate(size_t bytes) {
  const TemporaryFolder folder;
  const int file = open((folder.Path() + "/file").c_str(),
                        O_CREAT | O_APPEND | O_WRONLY, 0600);
  const std::string content(bytes, 'x');
  const Instant begin = Clock::now();
  int writes = 0;
  while (Clock::now() < begin + 1s) {
    if (write(file, content.data(), bytes) < 0 || fdatasync(file) != 0) break;
    ++writes;
  }
  close(file);
  return writes / Seconds(Clock::now() - begin);
}

void MeasureCommits(const char* program) {
  std::printf("bare write and sync of 512 bytes: %.0f a second\n",
              BareSyncRate(512));
  std::printf("bare write and sync of 256 KiB: %.0f a second\n",
              BareSyncRate(256 << 10));
  Group group(program);
  int leader = group.WaitForLeader();
  // The batches run after the single commands: the leader takes a snapshot
  // during them and may lose its leadership. A rate that is then measured on
  // the former leader would be 0.
  std::printf("three replicas, one command at a time: %.0f a second\n",
              group.Rate(leader, 's'));
  std::printf("three replicas, batches: %.0f commands a second\n",
              group.Rate(leader, 'b'));
  std::vector<double> gaps;
  constexpr int kKills = 9;
  for (int i = 0; i < kKills; ++i) {
    const Instant killed = Clock::now();
    group.Kill(leader);
    const int next = group.WaitForLeader();
    gaps.push_back(Seconds(Clock::now() - killed) * 1000);
    group.Start(leader);
    group.WaitForJoin(leader);
    leader = next;
  }
  std::sort(gaps.begin(), gaps.end());
  std::printf(
      "leader killed to next commit, %d times: median %.0f ms, most %.0f ms\n",
      kKills, gaps[kKills / 2], gaps.back());
}

// Fills a replica's data folder, then measures a restart from it.
void MeasureRestart(uint64_t commands, uint64_t snapshot_every_bytes) {
  const TemporaryFolder folder;
  app::ControlReplicaOptions options;
  options.snapshot.min_log_bytes = snapshot_every_bytes;
  options.self = "r0";
  options.first_members = {"r0"};
  options.store.folder = folder.Path();
  app::ControlReplicaCallbacks callbacks;
  callbacks.send = [](const HostId&, const wire::FrameT&) {};
  loop::Loop loop;
  {
    auto replica = app::MakeControlReplica(loop, options, callbacks);
    Load load(loop, *replica, 1);
    while (!replica->Leads()) ev_run(loop.Raw(), EVRUN_ONCE);
    load.Prepare(
        [&] { load.RunCommands(commands, [&](uint64_t) { loop.Stop(); }); });
    loop.Run();
  }
  const Instant begin = Clock::now();
  auto replica = app::MakeControlReplica(loop, options, callbacks);
  const Instant opened = Clock::now();
  bool serves = false;
  while (!serves) {
    if (replica->Leads())
      replica->ConfirmedRead(
          [&](ErrorKind error) { serves = error == ErrorKind::kNone; });
    ev_run(loop.Raw(), EVRUN_ONCE);
  }
  std::printf(
      "restart after %llu commands, a snapshot each %llu MiB: %.2f s (%.2f s "
      "of "
      "it opening the folder)\n",
      static_cast<unsigned long long>(commands),
      static_cast<unsigned long long>(snapshot_every_bytes >> 20),
      Seconds(Clock::now() - begin), Seconds(opened - begin));
}

}  // namespace
}  // namespace dotterelshift

int main(int argc, char** argv) {
  using dotterelshift::kReplicas;
  signal(SIGPIPE, SIG_IGN);
  if (argc > 3 && std::strcmp(argv[1], "replica") == 0) {
    std::array<int, kReplicas> ports{};
    for (int i = 0; i < kReplicas; ++i) ports[i] = std::atoi(argv[4 + i]);
    dotterelshift::ReplicaProcess(std::atoi(argv[2]), argv[3], ports).Run();
    return 0;
  }
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  dotterelshift::MeasureCommits(argv[0]);
  constexpr uint64_t kCommands = 1'000'000;
  dotterelshift::MeasureRestart(
      kCommands,
      dotterelshift::app::ControlReplicaOptions().snapshot.min_log_bytes);
  dotterelshift::MeasureRestart(kCommands, 1 << 30);  // log only, no snapshot
  return 0;
}
