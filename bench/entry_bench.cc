// Measures one entry daemon between a client and fake endpoints, compared with
// the same client connected directly to the endpoints: added latency of the
// first token, short requests per second, token events per second over many
// streams, and memory. Usage: entry_bench [latency|short|streams|traffic ...]
#include <unistd.h>  // for sysconf

#include <algorithm>   // for sort
#include <cstdio>      // for printf
#include <fstream>     // for ifstream
#include <functional>  // for function
#include <sstream>     // for istringstream
#include <string>      // for string
#include <vector>      // for vector

#include "process/fleet.h"      // for Fleet
#include "support/run_until.h"  // for RunUntil

namespace {

using namespace dotterelshift;  // NOLINT(google-build-using-namespace): one
                                // short program

constexpr int kEndpoints = 4;
constexpr char kPreauthorizedKey[] = "key-unwitnessed-0001";
constexpr char kCommittedOpeningKey[] = "key-witnessed-000001";

constexpr char kIntent[] = R"(
teams:
  - {id: plain, grant_way: unwitnessed, endpoint_sets: [all]}
  - {id: strict, grant_way: witnessed, endpoint_sets: [all]}
keys:
  - {id: plain-1, team: plain, key: key-unwitnessed-0001}
  - {id: strict-1, team: strict, key: key-witnessed-000001}
budgets:
  - {id: plain-b, team: plain}
  - {id: strict-b, team: strict}
top_ups:
  - {id: t1, budget: plain-b, tokens: 100G}
  - {id: t2, budget: strict-b, tokens: 100G}
endpoint_sets:
  - {id: all, endpoints: [f0, f1, f2, f3, p0, p1, p2, p3], models: [fast, paced]}
)";

struct Usage {
  double cpu_seconds = 0;
  double peak_mb = 0;
};

// Returns the CPU time and peak memory that a process has used so far.
Usage UsageOf(pid_t pid) {
  Usage usage;
  std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
  std::string text((std::istreambuf_iterator<char>(stat)), {});
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string skipped;
  for (int i = 0; i < 11; ++i) fields >> skipped;
  double user = 0;
  double system = 0;
  fields >> user >> system;
  usage.cpu_seconds =
      (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmHWM:"))
      usage.peak_mb = std::stod(line.substr(6)) / 1024;
  }
  return usage;
}

double Percentile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[std::min(
      values.size() - 1,
      static_cast<size_t>(share * static_cast<double>(values.size())))];
}

struct Target {
  std::string name;
  std::vector<std::string> addresses;
  std::string key;
};

// Totals of a run of many requests.
struct RunResult {
  size_t whole = 0;
  size_t failed = 0;
  size_t events = 0;
  double seconds = 0;
  std::vector<double> first_ms;
};

class Bench {
 public:
  Bench();
  void Latency();
  void Short();
  void Streams();
  void Traffic();

 private:
  // Reads a value from the entry's /metrics.
  double Metric(const std::string& name);
  void Wait(Duration duration);
  RunResult Run(const Target& target, size_t requests, size_t concurrency,
                const std::string& body);
  void Report(const Target& target, const RunResult& result,
              const Usage& before);

  testing::Fleet m_fleet;
  Target m_fast{"endpoints alone", {}, "none"};
  Target m_paced{"endpoints alone", {}, "none"};
  Target m_plain{"entry, unwitnessed", {}, kPreauthorizedKey};
  Target m_strict{"entry, witnessed", {}, kCommittedOpeningKey};
};

Bench::Bench() {
  m_fleet.StartControl("c1", {"c1"}, {});
  m_fleet.StartEntry("e1", {m_fleet.PeerAddress("c1")},
                     "max_waiting_per_team: 4000\n");
  const std::string entry = m_fleet.HttpAddress("e1");
  for (int i = 0; i < kEndpoints; ++i) {
    const std::string number = std::to_string(i);
    m_fleet.StartEndpoint("f" + number, entry,
                          {"--models", "fast", "--tokens", "100000",
                           "--token-interval-ms", "0", "--slots", "4096"});
    m_fleet.StartEndpoint("p" + number, entry,
                          {"--models", "paced", "--tokens", "100000",
                           "--token-interval-ms", "5", "--slots", "4096"});
    m_fast.addresses.push_back(m_fleet.HttpAddress("f" + number));
    m_paced.addresses.push_back(m_fleet.HttpAddress("p" + number));
  }
  m_plain.addresses = {m_fleet.HttpAddress("e1")};
  m_strict.addresses = m_plain.addresses;
  m_fleet.AwaitReady("e1");
  const auto confirmed = m_fleet.PlanAndConfirm("c1", kIntent);
  if (confirmed.status != 200) throw std::runtime_error(confirmed.body);
  m_fleet.AwaitVersion("e1", 1);
  // Warm up, so that grants are held, connections are open and all endpoints
  // are known before anything is measured.
  Run(m_plain, 200, 8,
      R"({"model":"fast","max_tokens":1,"messages":[{"role":"user","content":"Which library?"}]})");
  Run(m_strict, 200, 8,
      R"({"model":"fast","max_tokens":1,"messages":[{"role":"user","content":"Which library?"}]})");
}

RunResult Bench::Run(const Target& target, size_t requests, size_t concurrency,
                     const std::string& body) {
  RunResult result;
  size_t started = 0;
  size_t ended = 0;
  const Instant begin = m_fleet.GetLoop().Now();
  std::function<void()> start = [&] {
    const size_t number = started++;
    const Instant sent = m_fleet.GetLoop().Now();
    auto first = std::make_shared<bool>(true);
    http::TransferCallbacks callbacks;
    callbacks.on_chunk = [&, sent, first](std::string_view chunk) {
      if (std::exchange(*first, false)) {
        result.first_ms.push_back(std::chrono::duration<double, std::milli>(
                                      m_fleet.GetLoop().Now() - sent)
                                      .count());
      }
      if (chunk.find("\"error\"") != std::string_view::npos &&
          result.failed < 2)
        std::printf("%.*s\n", static_cast<int>(chunk.size()), chunk.data());
      for (size_t at = chunk.find("data:"); at != std::string_view::npos;
           at = chunk.find("data:", at + 5)) {
        ++result.events;
      }
      return true;
    };
    callbacks.on_head = [&](int status, const http::Headers&) {
      if (status != 200 && result.failed == 0)
        std::printf("status %d\n", status);
      result.failed += status == 200 ? 0 : 1;
    };
    callbacks.on_end = [&](http::TransferEnd end) {
      ++ended;
      result.whole += end == http::TransferEnd::kWhole ? 1 : 0;
      if (started < requests) start();
    };
    http::ClientRequest request;
    request.url = "http://" +
                  target.addresses[number % target.addresses.size()] +
                  "/v1/chat/completions";
    request.headers = {{"authorization", "Bearer " + target.key},
                       {"content-type", "application/json"}};
    request.body = body;
    m_fleet.GetClient().Start(std::move(request), callbacks);
  };
  while (started < std::min(requests, concurrency)) start();
  testing::RunUntil(m_fleet.GetLoop(), "all answers",
                    [&] { return ended == requests; });
  result.seconds =
      std::chrono::duration<double>(m_fleet.GetLoop().Now() - begin).count();
  return result;
}

void Bench::Report(const Target& target, const RunResult& result,
                   const Usage& before) {
  const Usage after = UsageOf(m_fleet.GetProcess("e1").Pid());
  const double cpu = after.cpu_seconds - before.cpu_seconds;
  std::printf("%-20s %7zu whole %3zu failed  %8.0f requests/s  %9.0f events/s",
              target.name.c_str(), result.whole, result.failed,
              static_cast<double>(result.whole) / result.seconds,
              static_cast<double>(result.events) / result.seconds);
  if (cpu > 0.05) {
    std::printf(
        "  entry: %.2f s cpu, %8.0f requests and %9.0f events a core-second, "
        "peak %.0f MB",
        cpu, static_cast<double>(result.whole) / cpu,
        static_cast<double>(result.events) / cpu, after.peak_mb);
  }
  std::printf("\n");
}

void Bench::Latency() {
  constexpr size_t kRequests = 1000;
  const std::string body =
      R"({"model":"fast","stream":true,"max_tokens":2,"messages":[{"role":"user","content":"Which library?"}]})";
  std::printf("-- first token, one request at a time\n");
  double direct = 0;
  for (const Target* target : {&m_fast, &m_plain, &m_strict}) {
    const RunResult result = Run(*target, kRequests, 1, body);
    const double median = Percentile(result.first_ms, 0.5);
    if (target == &m_fast) direct = median;
    std::printf(
        "%-20s median %.3f ms  p95 %.3f ms  added %.3f ms  (%zu whole)\n",
        target->name.c_str(), median, Percentile(result.first_ms, 0.95),
        median - direct, result.whole);
  }
}

void Bench::Short() {
  constexpr size_t kRequests = 40000;
  constexpr size_t kConcurrentRequests = 128;
  const std::string body =
      R"({"model":"fast","max_tokens":1,"messages":[{"role":"user","content":"Which library?"}]})";
  std::printf("-- short requests, %zu at once\n", kConcurrentRequests);
  for (const Target* target : {&m_fast, &m_plain, &m_strict}) {
    const Usage before = UsageOf(m_fleet.GetProcess("e1").Pid());
    Report(*target, Run(*target, kRequests, kConcurrentRequests, body), before);
  }
}

void Bench::Streams() {
  constexpr size_t kStreams = 1000;
  const std::string body =
      R"({"model":"paced","stream":true,"max_tokens":400,"messages":[{"role":"user","content":"Which library?"}]})";
  std::printf("-- %zu streams at once, 400 tokens each\n", kStreams);
  for (const Target* target : {&m_paced, &m_plain, &m_strict}) {
    const Usage before = UsageOf(m_fleet.GetProcess("e1").Pid());
    Report(*target, Run(*target, kStreams * 2, kStreams, body), before);
  }
}

double Bench::Metric(const std::string& name) {
  const std::string url = "http://" + m_fleet.HttpAddress("e1") + "/metrics";
  const std::string text = m_fleet.Send("GET", url, {}, {}).body;
  const size_t at = text.find("\n" + name + " ");
  return at == std::string::npos ? 0
                                 : std::stod(text.substr(at + name.size() + 2));
}

void Bench::Wait(Duration duration) {
  bool over = false;
  loop::Timer timer(m_fleet.GetLoop(), [&] { over = true; });
  timer.ArmIn(duration);
  testing::RunUntil(m_fleet.GetLoop(), "the time", [&] { return over; });
}

// Measures the traffic between an entry and control, idle and per request.
void Bench::Traffic() {
  constexpr size_t kRequests = 5000;
  constexpr int kIdleSeconds = 10;
  const std::string body =
      R"({"model":"fast","max_tokens":1,"messages":[{"role":"user","content":"Which library?"}]})";
  const auto bytes = [&] {
    return Metric("dotterelshift_peer_bytes_in_total") +
           Metric("dotterelshift_peer_bytes_out_total");
  };
  std::printf("-- traffic between the entry and control, both ways\n");
  Wait(12s);  // until idle grants have been returned
  double before = bytes();
  Usage entry = UsageOf(m_fleet.GetProcess("e1").Pid());
  Usage control = UsageOf(m_fleet.GetProcess("c1").Pid());
  Wait(std::chrono::seconds(kIdleSeconds));
  std::printf(
      "idle, %d endpoints: %.0f bytes/s, entry %.2f %% of a core, control %.2f "
      "%%\n",
      2 * kEndpoints, (bytes() - before) / kIdleSeconds,
      100 *
          (UsageOf(m_fleet.GetProcess("e1").Pid()).cpu_seconds -
           entry.cpu_seconds) /
          kIdleSeconds,
      100 *
          (UsageOf(m_fleet.GetProcess("c1").Pid()).cpu_seconds -
           control.cpu_seconds) /
          kIdleSeconds);
  for (const Target* target : {&m_plain, &m_strict}) {
    before = bytes();
    control = UsageOf(m_fleet.GetProcess("c1").Pid());
    const RunResult result = Run(*target, kRequests, 32, body);
    const double cpu = UsageOf(m_fleet.GetProcess("c1").Pid()).cpu_seconds -
                       control.cpu_seconds;
    std::printf(
        "%-20s %.0f bytes a request, control %.0f microseconds of a core a "
        "request (%zu whole)\n",
        target->name.c_str(), (bytes() - before) / kRequests,
        1e6 * cpu / kRequests, result.whole);
  }
}

}  // namespace

int main(int argc, char** argv) {
  const std::vector<std::string> wanted(argv + 1, argv + argc);
  const auto want = [&](const std::string& name) {
    return wanted.empty() ||
           std::find(wanted.begin(), wanted.end(), name) != wanted.end();
  };
  Bench bench;
  if (want("latency")) bench.Latency();
  if (want("short")) bench.Short();
  if (want("streams")) bench.Streams();
  if (want("traffic")) bench.Traffic();
  return 0;
}
