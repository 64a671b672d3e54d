// DRAIN: a request reaches a server later than drain_ms after a machine in
// touch has acknowledged that the server is gone. With the disruption, an entry
// is frozen while that is acknowledged, and all control daemons are killed and
// started again before it wakes.
#include "rig.hpp"

namespace {

using namespace rig;

constexpr int kDrainMs = 2000;
constexpr int kContactMs = 3000;
constexpr int kServesOnMs = 10000;  // after the ack: "at times many seconds"

bool Test(Record& record) {
  RunningFleet running(record, 3, 2);
  Fleet& fleet = *running;
  const auto serve = [](int fd, const Arrived& request) {
    return AnswerWhole(fd, request);
  };
  auto& leaving = *new Server(fleet, fleet.ServerIp(0), fleet.ServerPort(),
                              "i-leaving", "app", 6, serve);
  auto& staying = *new Server(fleet, fleet.ServerIp(1), fleet.ServerPort(),
                              "i-staying", "app", 6, serve);
  fleet.Publish(Manifest(1));
  leaving.AwaitAnnounced();
  staying.AwaitAnnounced();
  fleet.AwaitReady();
  SleepMs(2500);

  // Callers: a safe request every 20 ms at each entry, each on a new channel.
  std::atomic<bool> stop{false};
  std::atomic<int> served{0};
  std::vector<std::thread> callers;
  for (size_t i = 0; i < fleet.Entries(); ++i) {
    callers.emplace_back([&, i] {
      while (!stop) {
        const std::string id = RandomId();
        record.Line("sent: GET /f/entry-%zu id %s", i, id.c_str());
        const Answer answer =
            Call(fleet.Entry(i), fleet.Front(), "GET",
                 "/f/entry-" + std::to_string(i), "",
                 "Host: h.example\r\nX-Request-Id: " + id +
                     "\r\nX-Deadline-Ms: 1000\r\nX-Api-Key: key-a\r\n",
                 1000);
        record.Line("answered: id %s: %d", id.c_str(), answer.status);
        if (answer.status == 200) ++served;
        SleepMs(20);
      }
    });
  }
  SleepMs(1500);
  const std::string frozen = fleet.Entry(0);
  const int64_t freeze = NowMs();
  if (HasTrouble()) {
    fleet.Signal(frozen, SIGSTOP);
    record.Line("frozen: entry %s", frozen.c_str());
  }
  SleepMs(1500);
  if (!leaving.Leave()) throw CannotRun("the DELETE was not acknowledged");
  const int64_t ack = NowMs();
  record.Line("acknowledged: i-leaving is gone; it serves for %d ms more",
              kServesOnMs);
  int64_t core_back = freeze;
  if (HasTrouble()) {
    SleepMs(200);
    for (size_t i = 0; i < 3; ++i) fleet.Kill(fleet.Control(i));
    record.Line("killed: all control daemons");
    SleepMs(600);
    for (size_t i = 0; i < 3; ++i) fleet.Start(fleet.Control(i), false);
    core_back = NowMs();
    SleepMs(400);
    fleet.Signal(frozen, SIGCONT);
    record.Line("wakes after %lld ms: entry %s",
                static_cast<long long>(NowMs() - freeze), frozen.c_str());
  }
  // In touch: contact_ms after the last of it.
  const int64_t in_touch =
      HasTrouble() ? std::max(core_back, NowMs()) + kContactMs : ack;
  record.Line("all machines are in touch from %lld on",
              static_cast<long long>(in_touch));
  while (NowMs() < ack + kServesOnMs) SleepMs(20);
  stop = true;
  for (std::thread& caller : callers) caller.join();

  record.Line("at i-staying:");
  RecordRuns(record, staying.Runs());
  record.Line("at i-leaving:");
  RecordRuns(record, leaving.Runs());
  int late = 0;
  int64_t first = 0;
  int64_t last = 0;
  int excused = 0;
  int much_later = 0;
  for (const Arrived& run : leaving.Runs()) {
    if (run.at <= ack + kDrainMs) continue;
    if (run.at <= in_touch) {
      ++excused;
      continue;
    }
    if (late++ == 0) first = run.at;
    last = run.at;
    much_later += run.at > in_touch + kContactMs;
    if (late <= 5)
      record.Line("run by i-leaving %lld ms after the ack: %s id %s",
                  static_cast<long long>(run.at - ack), run.path.c_str(),
                  run.Header("x-request-id").c_str());
  }
  record.Line("served: %d; at i-leaving later than %d ms after the ack: %d by "
              "machines in touch (from %lld to %lld ms after it), %d of them after "
              "another %d ms; %d before",
              served.load(), kDrainMs, late,
              static_cast<long long>(late == 0 ? 0 : first - ack),
              static_cast<long long>(late == 0 ? 0 : last - ack), much_later,
              kContactMs, excused);
  if (served == 0) throw CannotRun("no request was served");
  return late == 0;
}

}  // namespace

int main(int argc, char** argv) { return rig::Main(argc, argv, Test); }
