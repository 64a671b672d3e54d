// UNASKED: a caller sends headers that only the system may set. With the
// disruption, a space stands before their colons.
#include "rig.hpp"

namespace {

using namespace rig;

// The values of a header as a server reads them that ignores white space
// around names, in the order in which they arrived.
std::vector<std::string> ValuesOf(const Arrived& request,
                                  const std::string& wanted) {
  std::vector<std::string> values;
  std::istringstream lines(request.head);
  std::string line;
  while (std::getline(lines, line)) {
    const size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    std::string name = line.substr(0, colon);
    for (char& c : name) c = static_cast<char>(tolower(c));
    name.erase(name.find_last_not_of(" \t") + 1);
    if (name != wanted) continue;
    std::string value = line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(" \t"));
    value.erase(value.find_last_not_of(" \t\r") + 1);
    values.push_back(value);
  }
  return values;
}

bool Test(Record& record) {
  RunningFleet running(record, 3, 2);
  Fleet& fleet = *running;
  auto& server = *new Server(
      fleet, fleet.ServerIp(0), fleet.ServerPort(), "i-app-1", "app", 6,
      [](int fd, const Arrived& request) { return AnswerWhole(fd, request); });
  fleet.Publish(Manifest(1));
  server.AwaitAnnounced();
  fleet.AwaitReady();
  SleepMs(1500);
  const std::string colon = HasTrouble() ? " : " : ": ";
  bool held = true;
  for (const std::string path : {"/f/1", "/u/1", "/p/1"}) {
    const bool is_public = path[1] == 'p';
    const std::string id = RandomId();
    const std::string head =
        (path[1] == 'u' ? "POST " : "GET ") + path +
        " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id +
        "\r\nX-Deadline-Ms: 3000\r\n" +
        (is_public ? "" : "X-Api-Key: key-a\r\n") + "X-Tenant" + colon +
        "tenant-b\r\nX-Hold" + colon + "h-1\r\n" +
        (is_public ? "X-Api-Key" + colon + "key-a\r\n" : "") +
        (path[1] == 'u' ? "Content-Length: 0\r\n" : "") + "\r\n";
    const size_t before = server.Runs().size();
    Channel channel(fleet.Entry(0), fleet.Front());
    channel.Send(head);
    record.Line("sent %s, id %s, with X-Tenant%stenant-b", path.c_str(),
                id.c_str(), colon.c_str());
    record.Line("answered: %.12s", channel.ReadResponse(2000).c_str());
    const std::vector<Arrived> runs = server.Runs();
    if (!HasTrouble() && runs.size() != before + 1)
      throw CannotRun("the plain request was not run once");
    for (size_t i = before; i < runs.size(); ++i) {
      const auto tenants = ValuesOf(runs[i], "x-tenant");
      const auto keys = ValuesOf(runs[i], "x-api-key");
      const auto holds = ValuesOf(runs[i], "x-hold");
      const std::string first = tenants.empty() ? "" : tenants.front();
      const std::string expected = is_public ? "" : "tenant-a";
      const bool sound = first == expected && keys.empty() && holds.empty();
      record.Line("run: %s, X-Tenant '%s' (%zu values), X-Api-Key '%s', "
                  "X-Hold '%s'%s",
                  runs[i].path.c_str(), first.c_str(), tenants.size(),
                  keys.empty() ? "" : keys.front().c_str(),
                  holds.empty() ? "" : holds.front().c_str(),
                  sound ? "" : "  <- the caller's");
      held = held && sound;
    }
  }
  return held;
}

}  // namespace

int main(int argc, char** argv) { return rig::Main(argc, argv, Test); }
