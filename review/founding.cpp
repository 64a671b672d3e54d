// A control daemon is killed while the whole system starts for the first time.
// See claim.txt.
#include "fleet.hpp"

using namespace review;

namespace {

constexpr int kControls = 5;
constexpr int kEntries = 2;
// Traffic starts 10 s after the machines, and the bounds after a kill are
// `contact_ms` 3 s, `ack_ms` 4 s and `recover_s` 12 s.
constexpr double kGiveUp = 60;

std::string Manifest() {
  return R"({"version":2,"routes":[{"name":"r-1","host":"app.example","path_prefix":"/p/","type":"safe","timeout_ms":800,"slo_ms":300,"priority":0,"service":"app","attempts":2,"public":true,"sticky":false,"resumable":false}],"services":[{"name":"app","health_path":"/healthz","max_conns":96,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]})";
}

}  // namespace

int main(int argc, char** argv) {
  Begin();
  std::signal(SIGPIPE, SIG_IGN);
  Record record(argc > 1 ? argv[1] : "record.txt");
  const double kill_at = argc > 2 ? std::atof(argv[2]) : 0.1;
  const int seed = argc > 3 ? std::atoi(argv[3]) : 0;
  Fleet fleet(record, kControls, kEntries);
  fleet.Start();
  if (HasTrouble()) {
    Sleep(kill_at);
    fleet.Control(seed).Kill();
    record.Line("%s was killed", fleet.Control(seed).Name().c_str());
    Sleep(0.5);
    fleet.StartControl(seed);
  }
  ServerOptions options;
  options.id = "i-0001";
  options.service = "app";
  options.ip = fleet.Ip(30);
  options.first_control = fleet.Control(kControls - 1).Ip();
  Server server(fleet, record, options,
                [&](Server& own, int descriptor, const Run& run) {
                  record.Line("server %s runs %s", own.Id().c_str(),
                              run.id.c_str());
                  Server::Answer(descriptor, 200, run.id, {}, "body");
                });
  if (!server.Start()) return kCouldNotRun;
  const bool acked = fleet.Publish(Manifest(), kGiveUp);
  record.Say("the first manifest %s at %.3f s",
             acked ? "was acknowledged" : "was not acknowledged", Now());
  if (acked) fleet.AwaitReady(Now() + 10);
  int served = 0;
  constexpr int kRequests = 40;
  for (int i = 0; i < kRequests; ++i) {
    Sleep(0.1);
    Call call;
    call.from = fleet.Ip(40);
    call.ip = fleet.Entry(i % kEntries).Ip();
    call.port = kFrontPort;
    call.path = "/p/x" + std::to_string(i);
    const std::string id = NewRequestId();
    call.headers = {{"Host", "app.example"},
                    {"X-Request-Id", id},
                    {"X-Deadline-Ms", "1500"}};
    const int status = Send(call).Status();
    record.Line("request %s to %s: %d", id.c_str(),
                fleet.Entry(i % kEntries).Name().c_str(), status);
    served += status == 200 ? 1 : 0;
  }
  record.Say("%d of %d requests were served", served, kRequests);
  for (int i = 0; i < kControls; ++i)
    if (fleet.Control(i).HasEnded()) return kCouldNotRun;
  server.Stop();
  return served == 0 ? kBroken : kHeld;
}
