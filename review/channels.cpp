// LOST: an entry passes requests from kept channels on to a sound server, and
// the channels close without an answer, as the entry needs more memory than
// its machine gives it. With the disruption, many callers come at once: each
// sends a small request on a new channel and keeps the channel, as callers do.
#include "memory.hpp"

namespace {

using namespace rig;

constexpr int kOrdinary = 10;
constexpr int kManyChannels = 3600;  // the platform gives 3,900
constexpr int kUsualChannels = 400;
constexpr int kServerWorkMs = 300;

bool Test(Record& record) {
  SetDescriptorLimit();
  const Bounds bounds;
  RunningFleet running(record, 3, 2, bounds);
  Fleet& fleet = *running;
  auto& server = *new Server(
      fleet, fleet.ServerIp(0), fleet.ServerPort(), "i-app-1", "app", 64,
      [](int fd, const Arrived& request) {
        if (request.path == "/u/small") SleepMs(kServerWorkMs);
        return AnswerWhole(fd, request);
      });
  fleet.Publish(Manifest(1));
  server.AwaitAnnounced();
  fleet.AwaitReady();
  SleepMs(1500);
  const std::string entry = fleet.Entry(0);
  const MemoryWatch watch(record, fleet, entry, bounds.memory_mb);
  OrdinaryCallers callers(record, fleet, entry, kOrdinary);
  SleepMs(1500);

  const int count = HasTrouble() ? kManyChannels : kUsualChannels;
  record.Line("%d callers send a request of 600 bytes each and keep their "
              "channels", count);
  std::vector<std::unique_ptr<Channel>> kept;
  int answered = 0;
  for (int i = 0; i < count && watch.Kills() == 0; ++i) {
    auto channel = std::make_unique<Channel>(entry, fleet.Front());
    const std::string id = RandomId();
    record.Line("sent: POST /f/one id %s", id.c_str());
    channel->Send(HeadOf("POST", "/f/one", id, 600) + std::string(600, 'x'));
    const std::string answer = channel->ReadResponse(1000);
    record.Line("answered: id %s: %s", id.c_str(), StatusOf(answer).c_str());
    if (!answer.empty()) ++answered;
    kept.push_back(std::move(channel));
  }
  record.Line("answered: %d; memory: %.0f MB", answered, watch.Most());
  SleepMs(2000);
  callers.Stop();
  RecordRuns(record, server.Runs());
  const int lost = callers.Lost(server.Runs());
  record.Line("channels: %zu; most memory: %.0f MB; killed: %d; lost from kept "
              "channels: %d", kept.size(), watch.Most(), watch.Kills(), lost);
  return lost <= 3;  // "more than three times"
}

}  // namespace

int main(int argc, char** argv) { return rig::Main(argc, argv, Test); }
