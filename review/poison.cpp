// A request crashes each server that begins to run it, and comes again. The
// servers start again under their ids. See claim.txt.
#include "fleet.hpp"

using namespace review;

namespace {

constexpr int kControls = 5;
constexpr int kEntries = 3;
constexpr int kServers = 4;
constexpr double kDown = 2;           // a crashed server is back after this
constexpr double kWork = 0.25;        // of an ordinary request
constexpr double kInterval = 0.025;   // between two ordinary requests
constexpr double kPoisonInterval = 1.6;
constexpr double kLast = 45;          // the request comes no more after this

std::string Manifest() {
  return R"({"version":2,"routes":[{"name":"r-1","host":"app.example","path_prefix":"/p/","type":"unsafe","timeout_ms":800,"slo_ms":300,"priority":0,"service":"app","attempts":1,"public":false,"sticky":false,"resumable":false}],"services":[{"name":"app","health_path":"/healthz","max_conns":96,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"t-1","api_keys":["key-of-t-1"],"priority":1}]})";
}

}  // namespace

int main(int argc, char** argv) {
  Begin();
  std::signal(SIGPIPE, SIG_IGN);
  Record record(argc > 1 ? argv[1] : "record.txt");
  const bool trouble = HasTrouble();
  Fleet fleet(record, kControls, kEntries);
  fleet.Start();

  std::mutex mutex;
  std::vector<double> crashes;
  std::vector<double> arrivals;  // of the request that crashes servers
  std::vector<std::unique_ptr<Server>> servers;
  for (int i = 0; i < kServers; ++i) {
    ServerOptions options;
    options.id = "i-000" + std::to_string(i + 1);
    options.service = "app";
    options.ip = fleet.Ip(30 + i);
    options.first_control = fleet.Control(i).Ip();
    servers.push_back(std::make_unique<Server>(
        fleet, record, options,
        [&](Server& server, int descriptor, const Run& run) {
          const bool poison = run.request.body == "poison";
          record.Line("server %s runs %s%s", server.Id().c_str(), run.id.c_str(),
                      poison ? ", which crashes servers" : "");
          if (poison) {
            const std::lock_guard<std::mutex> lock(mutex);
            arrivals.push_back(run.at);
            if (trouble) crashes.push_back(run.at);
          }
          if (poison && trouble) return server.Crash();
          if (server.Work(kWork))
            Server::Answer(descriptor, 200, run.id, {}, "body of " + run.id);
        }));
    if (!servers.back()->Start()) return kCouldNotRun;
  }
  if (!fleet.Publish(Manifest(), 20) || !fleet.AwaitReady(25))
    return kCouldNotRun;

  std::atomic<bool> done{false};
  std::atomic<int> asked{0};
  std::atomic<int> answered{0};
  const auto call = [&](const std::string& what, int entry) {
    Call one;
    one.from = fleet.Ip(40);
    one.ip = fleet.Entry(entry).Ip();
    one.port = kFrontPort;
    one.method = "POST";
    one.path = "/p/x";
    const std::string id = NewRequestId();
    one.headers = {{"Host", "app.example"},
                   {"X-Request-Id", id},
                   {"X-Deadline-Ms", "1500"},
                   {"X-Api-Key", "key-of-t-1"}};
    one.body = what;
    one.timeout = 1.5;
    const int status = Send(one).Status();
    record.Line("request %s (%s) to %s: %d", id.c_str(),
                what == "poison" ? "crashes servers" : "ordinary",
                fleet.Entry(entry).Name().c_str(), status);
    return status;
  };
  std::thread reviver([&] {
    while (!done) {
      for (auto& server : servers) {
        if (!server->Crashed()) continue;
        server->Stop();
        Sleep(kDown);
        server->Start();
        record.Line("server %s is back", server->Id().c_str());
      }
      Sleep(0.02);
    }
  });
  std::thread callers([&] {
    std::vector<std::thread> open;
    for (int i = 0; !done; ++i) {
      Sleep(kInterval);
      open.emplace_back([&, i] {
        ++asked;
        if (call("ordinary " + std::to_string(i), i % kEntries) == 200)
          ++answered;
      });
    }
    for (std::thread& one : open) one.join();
  });

  Sleep(5);
  // It comes again at any machine.
  std::vector<std::thread> open;
  for (int i = 0; Now() < kLast; ++i) {
    open.emplace_back([&, i] { call("poison", i % kEntries); });
    Sleep(kPoisonInterval);
  }
  for (std::thread& one : open) one.join();
  done = true;
  callers.join();
  reviver.join();
  for (auto& server : servers) server->Stop();

  int late = 0;
  const double third = crashes.size() < 3 ? 0 : crashes[2];
  for (const double at : arrivals)
    if (third > 0 && at > third + Bounds::kContact) ++late;
  record.Say("%d ordinary requests, %d answered with 200", asked.load(),
             answered.load());
  record.Say("it crashed %zu servers, the third one at %.3f s", crashes.size(),
             third);
  record.Say("it reached servers %d times later than %.3f s", late,
             third + Bounds::kContact);
  if (answered.load() < asked.load() / 4) return kCouldNotRun;
  return late > 3 ? kBroken : kHeld;
}
