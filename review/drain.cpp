// A control daemon acknowledges that a server is gone, and is killed right
// after that. See claim.txt.
#include "fleet.hpp"

using namespace review;

namespace {

constexpr int kControls = 5;
constexpr int kEntries = 2;
constexpr int kServers = 3;
// The server goes on serving for this long after the acknowledgement.
constexpr double kLinger = 12;

std::string Manifest() {
  return R"({"version":2,"routes":[{"name":"r-1","host":"app.example","path_prefix":"/p/","type":"safe","timeout_ms":800,"slo_ms":300,"priority":0,"service":"app","attempts":2,"public":true,"sticky":false,"resumable":false}],"services":[{"name":"app","health_path":"/healthz","max_conns":96,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]})";
}

struct Sent {
  double at = 0;
  int entry = 0;
};

}  // namespace

int main(int argc, char** argv) {
  Begin();
  std::signal(SIGPIPE, SIG_IGN);
  Record record(argc > 1 ? argv[1] : "record.txt");
  const bool trouble = HasTrouble();
  Fleet fleet(record, kControls, kEntries);
  fleet.Start();

  std::mutex mutex;
  std::map<std::string, Sent> sent;
  std::vector<std::pair<std::string, double>> at_first;  // id, arrival
  std::vector<std::unique_ptr<Server>> servers;
  for (int i = 0; i < kServers; ++i) {
    ServerOptions options;
    options.id = "i-000" + std::to_string(i + 1);
    options.service = "app";
    options.ip = fleet.Ip(30 + i);
    options.first_control = fleet.Control(kControls - 1 - i).Ip();
    servers.push_back(std::make_unique<Server>(
        fleet, record, options,
        [&, i](Server& server, int descriptor, const Run& run) {
          record.Line("server %s runs %s", server.Id().c_str(), run.id.c_str());
          if (i == 0) {
            const std::lock_guard<std::mutex> lock(mutex);
            at_first.emplace_back(run.id, run.at);
          }
          server.Work(0.15);
          Server::Answer(descriptor, 200, run.id, {}, "body of " + run.id);
        }));
    if (!servers.back()->Start()) return kCouldNotRun;
  }
  if (!fleet.Publish(Manifest(), 20) || !fleet.AwaitReady(25))
    return kCouldNotRun;

  std::atomic<bool> done{false};
  std::atomic<int> answered{0};
  std::thread callers([&] {
    std::vector<std::thread> open;
    for (int i = 0; !done; ++i) {
      Sleep(0.025);
      open.emplace_back([&, i] {
        Call call;
        call.from = fleet.Ip(40);
        call.ip = fleet.Entry(i % kEntries).Ip();
        call.port = kFrontPort;
        call.path = "/p/x" + std::to_string(i);
        const std::string id = NewRequestId();
        call.headers = {{"Host", "app.example"},
                        {"X-Request-Id", id},
                        {"X-Deadline-Ms", "1500"}};
        call.timeout = 1.5;
        {
          const std::lock_guard<std::mutex> lock(mutex);
          sent[id] = {Now(), i % kEntries};
        }
        const Message answer = Send(call);
        if (answer.Status() == 200) ++answered;
        record.Line("request %s to %s: %d", id.c_str(),
                    fleet.Entry(i % kEntries).Name().c_str(), answer.Status());
      });
    }
    for (std::thread& one : open) one.join();
  });

  Sleep(8);  // a calm start
  std::string daemon;
  int killed = -1;
  const double acked = servers[0]->Withdraw(&daemon, [&] {
    for (int i = 0; trouble && i < kControls; ++i) {
      if (fleet.Control(i).Ip() != daemon) continue;
      fleet.Control(i).Kill();
      killed = i;
    }
  });
  double settled = acked;
  if (killed >= 0) {
    record.Line("%s was killed", fleet.Control(killed).Name().c_str());
    Sleep(1);
    fleet.StartControl(killed);
    settled = Now();
  }
  Sleep(acked + kLinger - Now());
  done = true;
  callers.join();
  for (auto& server : servers) server->Stop();
  if (acked == 0) return kCouldNotRun;

  // Machines are in touch from `contact_ms` after the last start on.
  const double from = std::max(acked + Bounds::kDrain, settled + Bounds::kContact);
  int late = 0;
  double last = 0;
  for (const auto& [id, at] : at_first) {
    const auto known = sent.find(id);
    if (known == sent.end() || known->second.at <= from) continue;
    ++late;
    last = at;
  }
  record.Say("%zu requests sent, %d answered with 200", sent.size(),
             answered.load());
  record.Say("server %s: gone, acknowledged by %s at %.3f s; in touch from %.3f s",
             servers[0]->Id().c_str(), daemon.c_str(), acked, from);
  record.Say("requests sent after that that reached it: %d, the last at %.3f s",
             late, last);
  if (answered.load() < static_cast<int>(sent.size()) / 2) return kCouldNotRun;
  return late > 0 ? kBroken : kHeld;
}
