#include "dotterelshift/peers/hub.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST
#include <sys/socket.h>                       // for socket
#include <unistd.h>                           // for close

#include <cerrno>       // for errno
#include <string_view>  // for string_view

#include "dotterelshift/base/address.h"        // for MakeAddress
#include "dotterelshift/loop/loop.h"           // for Loop
#include "dotterelshift/peers/frame_buffer.h"  // for FrameWriter
#include "dotterelshift/peers/handshake.h"     // for Handshake
#include "support/run_until.h"                 // for RunUntil

namespace dotterelshift::peers {
namespace {

using testing::RunUntil;

PeerInfo Self(const std::string& host, Incarnation incarnation = 1) {
  PeerInfo self;
  self.run = {host, incarnation};
  return self;
}

// A hub that records its callbacks.
struct TestHub {
  TestHub(loop::Loop& loop, const HubOptions& options) {
    HubCallbacks callbacks;
    callbacks.on_up = [this](const PeerInfo& peer) { ups.push_back(peer.run); };
    callbacks.on_down = [this](const PeerInfo& peer) {
      downs.push_back(peer.run);
    };
    callbacks.on_frame = [this](const PeerInfo&, wire::FrameT frame) {
      if (const wire::RecallT* recall = frame.body.AsRecall())
        recalls.push_back(recall->tokens);
    };
    callbacks.on_dial_ended = [this](const DialReport& report) {
      dials.push_back(report);
    };
    hub = MakeHub(loop, options, callbacks);
  }
  std::string Address() const {
    return "127.0.0.1:" + std::to_string(hub->Port());
  }
  std::unique_ptr<Hub> hub;
  std::vector<HostRun> ups;
  std::vector<HostRun> downs;
  std::vector<int64_t> recalls;
  std::vector<DialReport> dials;
};

HubOptions OptionsOf(const std::string& host, Incarnation incarnation = 1) {
  HubOptions options;
  options.fleet = "fleet";
  options.secret = "secret";
  options.self = Self(host, incarnation);
  options.max_frame_bytes = 1 << 20;
  return options;
}

wire::FrameT RecallFrame(int64_t tokens) {
  wire::RecallT recall;
  recall.budget = "b";
  recall.tokens = tokens;
  return MakeFrame(std::move(recall));
}

// A client that sends raw bytes.
class RawClient {
 public:
  explicit RawClient(uint16_t port)
      : m_socket(socket(AF_INET, SOCK_STREAM, 0)) {
    const auto address = MakeAddress("127.0.0.1", port);
    const int result =
        connect(m_socket, reinterpret_cast<const sockaddr*>(&*address),
                sizeof *address);
    CPPUNIT_ASSERT_EQUAL(0, result);
  }
  ~RawClient() { close(m_socket); }
  void Send(std::string_view bytes) {
    CPPUNIT_ASSERT_EQUAL(
        static_cast<ssize_t>(bytes.size()),
        send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL));
  }
  // Returns true once the hub has closed the connection.
  bool Closed() {
    char buffer[4096];
    const ssize_t count = recv(m_socket, buffer, sizeof buffer, MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno == ECONNRESET);
  }

 private:
  int m_socket;
};

// A connection request that does not wait for its answer.
class PendingClient {
 public:
  explicit PendingClient(uint16_t port)
      : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
    const auto address = MakeAddress("127.0.0.1", port);
    const int result =
        connect(m_socket, reinterpret_cast<const sockaddr*>(&*address),
                sizeof *address);
    CPPUNIT_ASSERT(result == 0 || errno == EINPROGRESS);
  }
  ~PendingClient() { close(m_socket); }
  PendingClient(const PendingClient&) = delete;
  PendingClient& operator=(const PendingClient&) = delete;

 private:
  int m_socket;
};

class HubTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HubTest);
  CPPUNIT_TEST(FramesArriveInOrder);
  CPPUNIT_TEST(SimultaneousDialsLeaveOneConnection);
  CPPUNIT_TEST(NewIncarnationTakesOver);
  CPPUNIT_TEST(BadBytesCloseOnlyTheirConnection);
  CPPUNIT_TEST(FrameOfANewerProgramIsIgnored);
  CPPUNIT_TEST(BadHellosAreRefused);
  CPPUNIT_TEST(ReconnectsAfterALoss);
  CPPUNIT_TEST(RefusedDialsAreReportedUntilOneIsUp);
  CPPUNIT_TEST(LostConnectionRequestIsRepeatedSoon);
  CPPUNIT_TEST(DialThatEndsInTheHandshakeIsReported);
  CPPUNIT_TEST(HungUpAddressIsDialledNoMore);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FramesArriveInOrder() {
    loop::Loop loop;
    TestHub a(loop, OptionsOf("a"));
    HubOptions options = OptionsOf("b");
    options.dial = {a.Address()};
    TestHub b(loop, options);
    RunUntil(loop, "both up",
             [&] { return a.ups.size() == 1 && b.ups.size() == 1; });
    constexpr int kFrames = 1000;
    for (int i = 0; i < kFrames; ++i)
      CPPUNIT_ASSERT(b.hub->Send("a", RecallFrame(i)));
    RunUntil(loop, "all frames", [&] { return a.recalls.size() == kFrames; });
    for (int i = 0; i < kFrames; ++i)
      CPPUNIT_ASSERT_EQUAL(int64_t{i}, a.recalls[i]);
    CPPUNIT_ASSERT(!b.hub->Send("nobody", RecallFrame(1)));
  }

  void SimultaneousDialsLeaveOneConnection() {
    loop::Loop loop;
    TestHub a(loop, OptionsOf("a"));
    HubOptions options = OptionsOf("b");
    options.dial = {a.Address()};
    TestHub b(loop, options);
    a.hub->Dial(b.Address());
    RunUntil(loop, "both up", [&] { return !a.ups.empty() && !b.ups.empty(); });
    // Whichever connection is kept, frames pass in both directions and each
    // side has one peer.
    CPPUNIT_ASSERT(a.hub->Send("b", RecallFrame(1)));
    RunUntil(loop, "frames each way", [&] {
      if (a.recalls.empty()) b.hub->Send("a", RecallFrame(2));
      if (b.recalls.empty()) a.hub->Send("b", RecallFrame(1));
      return !a.recalls.empty() && !b.recalls.empty();
    });
    CPPUNIT_ASSERT_EQUAL(size_t{1}, a.hub->Peers().size());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, b.hub->Peers().size());
  }

  void HungUpAddressIsDialledNoMore() {
    loop::Loop loop;
    TestHub a(loop, OptionsOf("a"));
    TestHub b(loop, OptionsOf("b"));
    b.hub->Dial(a.Address());
    RunUntil(loop, "up", [&] { return a.ups.size() == 1; });
    b.hub->HangUp(a.Address());
    RunUntil(loop, "down", [&] { return a.downs.size() == 1; });
    CPPUNIT_ASSERT_EQUAL(size_t{1}, b.downs.size());
    // Another peer's dial shows that the time in which b would dial again has
    // passed.
    HubOptions options = OptionsOf("c");
    options.min_reconnect_delay = 500ms;
    TestHub c(loop, options);
    c.hub->Dial("127.0.0.1:1");
    RunUntil(loop, "two dials", [&] { return c.dials.size() == 2; });
    CPPUNIT_ASSERT_EQUAL(size_t{1}, a.ups.size());
    b.hub->Dial(a.Address());
    RunUntil(loop, "up again", [&] { return a.ups.size() == 2; });
  }

  void NewIncarnationTakesOver() {
    loop::Loop loop;
    TestHub a(loop, OptionsOf("a"));
    HubOptions options = OptionsOf("b", 1);
    options.dial = {a.Address()};
    TestHub old_run(loop, options);
    RunUntil(loop, "the old run", [&] { return a.ups.size() == 1; });
    options.self.run.incarnation = 2;
    TestHub new_run(loop, options);
    RunUntil(loop, "the new run", [&] { return a.ups.size() == 2; });
    CPPUNIT_ASSERT_EQUAL(Incarnation{2}, a.ups[1].incarnation);
    CPPUNIT_ASSERT_EQUAL(Incarnation{1}, a.downs.at(0).incarnation);
    // The old incarnation connects again and is rejected.
    const uint64_t before = a.hub->Counters().connections;
    RunUntil(loop, "a late dial",
             [&] { return a.hub->Counters().connections > before + 1; });
    CPPUNIT_ASSERT_EQUAL(size_t{2}, a.ups.size());
  }

  void BadBytesCloseOnlyTheirConnection() {
    loop::Loop loop;
    TestHub a(loop, OptionsOf("a"));
    struct Row {
      const char* name;
      std::string bytes;
      uint64_t HubCounters::*counter;
    };
    std::string truncated;
    FrameWriter().Append(RecallFrame(1), &truncated);
    std::string corrupt = truncated;
    for (size_t i = 4; i < corrupt.size(); ++i)
      corrupt[i] = static_cast<char>(0xff);
    const std::vector<Row> rows = {
        {"oversized", std::string("\xff\xff\xff\x7f", 4),
         &HubCounters::oversized_frames},
        {"garbage in a frame", corrupt, &HubCounters::bad_frames},
        {"a frame of one byte", std::string("\x01\x00\x00\x00z", 5),
         &HubCounters::bad_frames},
        {"a frame before the hello", truncated, &HubCounters::refused_hellos},
        {"HTTP", "GET / HTTP/1.1\r\n\r\n", &HubCounters::oversized_frames},
    };
    for (const Row& row : rows) {
      const uint64_t before = a.hub->Counters().*row.counter;
      RawClient client(a.hub->Port());
      client.Send(row.bytes);
      RunUntil(loop, row.name, [&] { return client.Closed(); });
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, before + 1,
                                   a.hub->Counters().*row.counter);
    }
    HubOptions options = OptionsOf("b");
    options.dial = {a.Address()};
    TestHub b(loop, options);
    RunUntil(loop, "a good peer", [&] { return a.ups.size() == 1; });
  }

  // While a fleet is upgraded, entries send questions to some that do not know
  // them yet.
  void FrameOfANewerProgramIsIgnored() {
    loop::Loop loop;
    TestHub a(loop, OptionsOf("a"));
    HubOptions options = OptionsOf("b");
    options.dial = {a.Address()};
    TestHub b(loop, options);
    RunUntil(loop, "both up",
             [&] { return a.ups.size() == 1 && b.ups.size() == 1; });
    wire::FrameT newer;
    newer.body.type = static_cast<wire::FrameBody>(99);
    CPPUNIT_ASSERT(b.hub->Send("a", newer));
    CPPUNIT_ASSERT(b.hub->Send("a", RecallFrame(1)));
    RunUntil(loop, "the next frame, or the end of the connection",
             [&] { return !a.recalls.empty() || !a.downs.empty(); });
    CPPUNIT_ASSERT(a.downs.empty());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, a.recalls.size());
  }

  void BadHellosAreRefused() {
    loop::Loop loop;
    TestHub a(loop, OptionsOf("a"));
    struct Row {
      const char* name;
      std::function<void(wire::HelloT&)> spoil;
    };
    const std::vector<Row> rows = {
        {"other protocol", [](wire::HelloT& hello) { hello.protocol = 99; }},
        {"other fleet", [](wire::HelloT& hello) { hello.fleet = "x"; }},
        {"our own name", [](wire::HelloT& hello) { hello.host = "a"; }},
        {"no name", [](wire::HelloT& hello) { hello.host = ""; }},
        {"short challenge",
         [](wire::HelloT& hello) { hello.challenge.resize(3); }},
        {"no secret", [](wire::HelloT&) {}},
    };
    for (const Row& row : rows) {
      const uint64_t before = a.hub->Counters().refused_hellos;
      RawClient client(a.hub->Port());
      const Handshake handshake("fleet", "guess", Self("b"));
      wire::HelloT hello = handshake.Hello();
      row.spoil(hello);
      wire::HelloProofT proof;
      proof.proof.assign(32, 7);
      std::string bytes;
      FrameWriter writer;
      writer.Append(MakeFrame(std::move(hello)), &bytes);
      writer.Append(MakeFrame(std::move(proof)), &bytes);
      client.Send(bytes);
      RunUntil(loop, row.name, [&] { return client.Closed(); });
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, before + 1,
                                   a.hub->Counters().refused_hellos);
    }
    CPPUNIT_ASSERT(a.ups.empty());
  }

  void ReconnectsAfterALoss() {
    loop::Loop loop;
    auto a = std::make_unique<TestHub>(loop, OptionsOf("a"));
    const uint16_t port = a->hub->Port();
    HubOptions options = OptionsOf("b");
    options.dial = {a->Address()};
    TestHub b(loop, options);
    RunUntil(loop, "up", [&] { return b.ups.size() == 1; });
    a.reset();
    RunUntil(loop, "down", [&] { return b.downs.size() == 1; });
    HubOptions again = OptionsOf("a", 2);
    again.listen_port = port;
    a = std::make_unique<TestHub>(loop, again);
    RunUntil(loop, "up again", [&] { return b.ups.size() == 2; });
    CPPUNIT_ASSERT_EQUAL(Incarnation{2}, b.ups[1].incarnation);
  }

  void RefusedDialsAreReportedUntilOneIsUp() {
    loop::Loop loop;
    uint16_t port = 0;
    {
      TestHub closed(loop, OptionsOf("a"));
      port = closed.hub->Port();
    }
    HubOptions options = OptionsOf("b");
    options.dial = {"127.0.0.1:" + std::to_string(port)};
    TestHub b(loop, options);
    RunUntil(loop, "two refusals", [&] { return b.dials.size() == 2; });
    CPPUNIT_ASSERT(DialResult::kRefused == b.dials[0].result);
    CPPUNIT_ASSERT_EQUAL(uint32_t{2}, b.dials[1].attempt);
    HubOptions listening = OptionsOf("a");
    listening.listen_port = port;
    TestHub a(loop, listening);
    RunUntil(loop, "up", [&] { return b.ups.size() == 1; });
    CPPUNIT_ASSERT(DialResult::kUp == b.dials.back().result);
    CPPUNIT_ASSERT_EQUAL(options.dial[0], b.dials.back().address);
  }

  // Guards against a daemon that returns from a partition a second late because
  // its connection request was lost in it and the system repeats it late. The
  // request is lost here since the accept queue of a peer that does not run is
  // full.
  void LostConnectionRequestIsRepeatedSoon() {
    loop::Loop stopped;
    TestHub a(stopped, OptionsOf("a"));
    std::vector<std::unique_ptr<PendingClient>> fill;
    constexpr size_t kMoreThanTheBacklog = 600;
    for (size_t i = 0; i < kMoreThanTheBacklog; ++i)
      fill.push_back(std::make_unique<PendingClient>(a.hub->Port()));
    loop::Loop loop;
    HubOptions options = OptionsOf("b");
    options.dial = {a.Address()};
    TestHub b(loop, options);
    RunUntil(loop, "a second request",
             [&] { return b.hub->Counters().connections == 2; });
    CPPUNIT_ASSERT(b.dials.empty());
    fill.clear();
    RunUntil(loop, "up", [&] {
      ev_run(stopped.Raw(), EVRUN_NOWAIT);
      return b.ups.size() == 1 && a.ups.size() == 1;
    });
    CPPUNIT_ASSERT_EQUAL(size_t{1}, b.dials.size());
    CPPUNIT_ASSERT(DialResult::kUp == b.dials[0].result);
  }

  // The peer belongs to another fleet.
  void DialThatEndsInTheHandshakeIsReported() {
    loop::Loop loop;
    HubOptions silent = OptionsOf("a");
    silent.fleet = "another fleet";
    TestHub a(loop, silent);
    HubOptions options = OptionsOf("b");
    options.dial = {a.Address()};
    TestHub b(loop, options);
    RunUntil(loop, "report", [&] { return !b.dials.empty(); });
    CPPUNIT_ASSERT(DialResult::kClosed == b.dials[0].result);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HubTest);

}  // namespace
}  // namespace dotterelshift::peers
