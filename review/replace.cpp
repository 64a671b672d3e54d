// The machines of the core are replaced by empty ones, one after the other.
// See claim.txt.
#include "fleet.hpp"

using namespace review;

namespace {

constexpr int kControls = 5;
constexpr int kEntries = 2;
constexpr double kEmptyAfter = 1;  // the new machine starts
constexpr double kInterval = 9;    // between two replacements
constexpr double kReadBack = 25;
// The machines that are taken away, in this order.
constexpr int kTaken[] = {3, 1, 4, 2, 0};
constexpr int kReplaced = static_cast<int>(std::size(kTaken));

std::string Manifest(int version) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[{"name":"r-1","host":"app.example","path_prefix":"/p/","type":"safe","timeout_ms":800,"slo_ms":300,"priority":0,"service":"app","attempts":2,"public":true,"sticky":false,"resumable":false}],"services":[{"name":"app","health_path":"/healthz","max_conns":96,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]})";
}

}  // namespace

int main(int argc, char** argv) {
  Begin();
  std::signal(SIGPIPE, SIG_IGN);
  Record record(argc > 1 ? argv[1] : "record.txt");
  Fleet fleet(record, kControls, kEntries, kReplaced);
  fleet.Start();
  if (!fleet.Publish(Manifest(2), 20) || !fleet.AwaitReady(25))
    return kCouldNotRun;
  Sleep(5);
  std::vector<int> running = {0, 1, 2, 3, 4};
  for (int i = 0; HasTrouble() && i < kReplaced; ++i) {
    fleet.Control(kTaken[i]).Kill();
    std::erase(running, kTaken[i]);
    record.Line("%s is gone for good", fleet.Control(kTaken[i]).Name().c_str());
    Sleep(kEmptyAfter);
    const int fresh = kControls + i;
    // The seeds are three machines that serve control now.
    fleet.StartControl(fresh, false, {running[0], running[1], running[2]});
    running.push_back(fresh);
    Sleep(kInterval - kEmptyAfter);
  }
  for (const int i : running)
    if (fleet.Control(i).HasEnded()) return kCouldNotRun;
  record.Line("%zu of the control daemons run", running.size());
  const std::string held = fleet.ReadBack(Now() + kReadBack);
  const bool same = held == Manifest(2);
  const bool acked = !held.empty() && fleet.Publish(Manifest(3), Now() + 10);
  record.Say("%d machines were replaced; five control daemons run",
             HasTrouble() ? kReplaced : 0);
  record.Say("the manifest that was acknowledged %s",
             held.empty() ? "is not to be read any more, at any of them"
             : same       ? "is read back as it was sent"
                          : "is read back, but not as it was sent");
  record.Say("a new manifest %s", acked ? "is acknowledged" : "is not acknowledged");
  return same ? kHeld : kBroken;
}
