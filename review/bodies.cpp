// LOST: an entry passes requests from kept channels on to a sound server, and
// the channels close without an answer, as the entry needs more memory than
// its machine gives it. With the disruption, 40 callers send bodies of nearly
// the largest size that the manifest allows, at the same time.
#include "memory.hpp"

namespace {

using namespace rig;

constexpr int kUploaders = 40;
constexpr int kOrdinary = 10;
constexpr size_t kLargeBody = 4'000'000;  // the manifest allows 4,194,304
constexpr size_t kUsualBody = 100'000;    // the largest one on the sheet
constexpr int kUploadMs = 3000;
constexpr int kServerWorkMs = 300;

bool Test(Record& record) {
  SetDescriptorLimit();
  const Bounds bounds;
  RunningFleet running(record, 3, 2, bounds);
  Fleet& fleet = *running;
  auto& server = *new Server(
      fleet, fleet.ServerIp(0), fleet.ServerPort(), "i-app-1", "app", 64,
      [](int fd, const Arrived& request) {
        SleepMs(kServerWorkMs);
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

  const size_t size = HasTrouble() ? kLargeBody : kUsualBody;
  record.Line("%d callers send bodies of %zu bytes, each in %d ms", kUploaders,
              size, kUploadMs);
  std::vector<std::thread> uploads;
  std::atomic<int> answered{0};
  for (int i = 0; i < kUploaders; ++i) {
    uploads.emplace_back([&] {
      Channel channel(entry, fleet.Front(), 8000);
      channel.Send(HeadOf("GET", "/f/first", RandomId(), 0));
      if (channel.ReadResponse(3000).empty()) return;
      const std::string id = RandomId();
      record.Line("sent: POST /f/large id %s", id.c_str());
      channel.Send(HeadOf("POST", "/f/large", id, size));
      const int64_t begin = NowMs();
      const size_t step = size / 60;
      for (size_t at = 0; at < size && channel.IsOpen(); at += step) {
        channel.Send(std::string(std::min(step, size - at), 'x'));
        const int64_t due =
            begin + static_cast<int64_t>(kUploadMs * (at + step) / size);
        if (due > NowMs()) SleepMs(static_cast<int>(due - NowMs()));
      }
      const std::string answer = channel.ReadResponse(5000);
      record.Line("answered: id %s: %s", id.c_str(), StatusOf(answer).c_str());
      if (!answer.empty()) ++answered;
    });
  }
  for (std::thread& upload : uploads) upload.join();
  SleepMs(1500);
  callers.Stop();
  RecordRuns(record, server.Runs());
  const int lost = callers.Lost(server.Runs());
  record.Line("uploads answered: %d of %d; most memory: %.0f MB; killed: %d; "
              "lost from kept channels: %d",
              answered.load(), kUploaders, watch.Most(), watch.Kills(), lost);
  return lost <= 3;  // "more than three times"
}

}  // namespace

int main(int argc, char** argv) { return rig::Main(argc, argv, Test); }
