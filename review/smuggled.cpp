// UNASKED: a caller's request has another request inside its body. With the
// disruption, its framing is ambiguous.
#include "rig.hpp"

namespace {

using namespace rig;

std::string HeadOf(const std::string& path, const std::string& id,
                   const std::string& framing) {
  return "POST " + path +
         " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id +
         "\r\nX-Deadline-Ms: 3000\r\nX-Api-Key: key-a\r\n" + framing + "\r\n";
}

struct Variant {
  const char* name;
  std::string framing;
  std::string body;
};

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
  const std::string inner =
      HeadOf("/u/inner", "inner", "Content-Length: 0\r\n");
  const std::string body = "12345" + inner;
  const std::string whole =
      "Content-Length: " + std::to_string(body.size()) + "\r\n";
  char size[16];
  snprintf(size, sizeof size, "%zx\r\n", inner.size());
  const std::string chunked = size + inner + "\r\n0\r\n\r\n";
  std::vector<Variant> variants = {{"plain", whole, body}};
  if (HasTrouble()) {
    variants = {
        {"two lengths", "Content-Length: 5\r\n" + whole, body},
        {"space before the colon of Transfer-Encoding",
         "Transfer-Encoding : chunked\r\nContent-Length: " +
             std::to_string(strlen(size)) + "\r\n",
         chunked},
        {"folded Transfer-Encoding",
         "Transfer-Encoding:\r\n chunked\r\nContent-Length: " +
             std::to_string(strlen(size)) + "\r\n",
         chunked}};
  }
  bool held = true;
  for (const Variant& variant : variants) {
    const size_t before = server.Runs().size();
    Channel channel(fleet.Entry(0), fleet.Front());
    const std::string id = RandomId();
    channel.Send(HeadOf("/u/outer", id, variant.framing) + variant.body);
    record.Line("sent one request, id %s, framing: %s", id.c_str(),
                variant.name);
    const std::string answer = channel.ReadFor(1500);
    record.Line("answered: %s",
                answer.empty() ? "closed" : answer.substr(0, 40).c_str());
    const std::vector<Arrived> runs = server.Runs();
    for (size_t i = before; i < runs.size(); ++i) {
      const bool smuggled = runs[i].path == "/u/inner";
      record.Line("run: %s id %s, %zu bytes of body%s", runs[i].path.c_str(),
                  runs[i].Header("x-request-id").c_str(), runs[i].body.size(),
                  smuggled ? "  <- smuggled" : "");
      held = held && !smuggled;
    }
    if (!HasTrouble() && runs.size() != before + 1)
      throw CannotRun("the plain request was not run once");
  }
  return held;
}

}  // namespace

int main(int argc, char** argv) { return rig::Main(argc, argv, Test); }
