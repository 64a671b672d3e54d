// A server sends the copy of a refusal, with the id of the request that it
// refused, where the response to the same request is due: the request may go to
// the same server once more, as another endpoint at its address.
#include <cppunit/TestFixture.h>              // for TestFixture
#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <algorithm>    // for all_of
#include <map>          // for map
#include <memory>       // for make_unique, unique_ptr
#include <random>       // for mt19937_64
#include <string>       // for string
#include <string_view>  // for string_view
#include <vector>       // for vector

#include "dotterelshift/http/client.h"         // for MakeClient
#include "dotterelshift/http/test_listener.h"  // for TestListener
#include "dotterelshift/loop/loop.h"           // for Loop
#include "support/run_until.h"                 // for RunUntil

namespace dotterelshift::http {
namespace {

using testing::RunUntil;

// Requests with an id that a client sends on one connection at most.
constexpr int kMaxRequests = 512;

std::string ResponseTo(const std::string& id, int status) {
  return "HTTP/1.1 " + std::to_string(status) + " S\r\nX-Id: " + id +
         "\r\nContent-Length: 2\r\n\r\nok";
}

std::string IdIn(const std::string& request) {
  constexpr std::string_view kName = "X-Id: ";
  const size_t begin = request.find(kName) + kName.size();
  return request.substr(begin, request.find('\r', begin) - begin);
}

// A server that refuses some requests, and sends each refusal once more before
// the next response on its connection.
class CopyingServer {
 public:
  explicit CopyingServer(uint64_t seed) : m_random(seed) {}

  uint16_t Port() const { return m_listener.Port(); }
  size_t Connections() const { return m_accepted; }
  // Requests whose id their connection had carried before.
  int Repeated() const { return m_repeated; }
  int Copies() const { return m_copies; }
  // Requests with this id that were not refused.
  int Runs(const std::string& id) const {
    const auto found = m_runs.find(id);
    return found == m_runs.end() ? 0 : found->second;
  }
  // Refuses so many in 100 requests, the given ones first.
  void SetRefused(int percent, int first = 0) {
    m_refused_percent = percent;
    m_refuse_first = first;
  }
  // Ends all connections, as a process that ends does.
  void Restart() {
    for (Connection& connection : m_connections) connection.peer.Reset();
    m_connections.clear();
  }

  // Accepts connections and answers the requests that have arrived.
  void Turn() {
    while (m_listener.HasConnection()) {
      m_connections.push_back({m_listener.Accept(), {}, {}});
      ++m_accepted;
    }
    for (Connection& connection : m_connections) Serve(connection);
  }

 private:
  struct Connection {
    TestPeer peer;
    std::map<std::string, int> ids;
    std::string copy;  // of the last refusal, to be sent
  };

  void Serve(Connection& connection) {
    if (connection.peer.Waiting() == 0) return;
    const std::string request = connection.peer.ReadSome();
    if (request.starts_with("CONNECT"))
      return connection.peer.Send("HTTP/1.1 200 Connected\r\n\r\n");
    const std::string id = IdIn(request);
    if (++connection.ids[id] > 1) ++m_repeated;
    std::string bytes;
    if (!connection.copy.empty()) ++m_copies;
    bytes.swap(connection.copy);
    if (IsRefused()) {
      connection.copy = ResponseTo(id, 503);
      bytes += connection.copy;
    } else {
      ++m_runs[id];
      bytes += ResponseTo(id, 200);
    }
    connection.peer.Send(bytes);
  }

  bool IsRefused() {
    if (m_refuse_first > 0) return m_refuse_first-- > 0;
    return static_cast<int>(m_random() % 100) < m_refused_percent;
  }

  const TestListener m_listener{64};
  std::mt19937_64 m_random;
  std::vector<Connection> m_connections;
  std::map<std::string, int> m_runs;
  int m_refused_percent = 0;
  int m_refuse_first = 0;
  int m_repeated = 0;
  int m_copies = 0;
  size_t m_accepted = 0;
};

class RepeatedIdsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RepeatedIdsTest);
  CPPUNIT_TEST(CopyOfARefusalDoesNotEndTheSameRequest);
  CPPUNIT_TEST(CopyThroughARelayDoesNotEndTheSameRequest);
  CPPUNIT_TEST(OtherRequestsShareAConnection);
  CPPUNIT_TEST(RequestsWithoutAnIdShareAConnection);
  CPPUNIT_TEST(ConnectionIsLeftWhenItsIdsAreNotKeptAnyMore);
  CPPUNIT_TEST(NoIdGoesTwiceOverAConnection);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { Reset(1); }

  void CopyOfARefusalDoesNotEndTheSameRequest() { ExpectServedElsewhere(); }

  void CopyThroughARelayDoesNotEndTheSameRequest() {
    m_relayed = true;
    ExpectServedElsewhere();
  }

  void OtherRequestsShareAConnection() {
    m_server->SetRefused(50);
    for (int i = 0; i < 20; ++i) Send("r" + std::to_string(i));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_server->Connections());
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, m_client->RepeatedIds());
  }

  void RequestsWithoutAnIdShareAConnection() {
    for (int i = 0; i < 20; ++i) Send("same", "");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_server->Connections());
  }

  void ConnectionIsLeftWhenItsIdsAreNotKeptAnyMore() {
    for (int i = 0; i <= kMaxRequests; ++i) Send("r" + std::to_string(i));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, m_server->Connections());
  }

  // Requests in any order, several at once, some sent again and again, through
  // relays and to a server that starts again.
  void NoIdGoesTwiceOverAConnection() {
    constexpr uint64_t kSeeds = 30;
    int copies = 0;
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      Reset(seed);
      SendDrawn(seed);
      const std::string name = "seed " + std::to_string(seed);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 0, m_server->Repeated());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 0, m_false_refusals);
      copies += m_server->Copies();
    }
    CPPUNIT_ASSERT(copies > 100);
  }

 private:
  struct Sent {
    int status = 0;
    bool ended = false;
  };

  void Reset(uint64_t seed) {
    m_client = MakeClient(m_loop);
    m_server = std::make_unique<CopyingServer>(seed);
    m_relayed = false;
    m_false_refusals = 0;
  }

  void ExpectServedElsewhere() {
    m_server->SetRefused(0, 1);
    CPPUNIT_ASSERT_EQUAL(503, Send("due"));
    CPPUNIT_ASSERT_EQUAL(200, Send("due"));
    CPPUNIT_ASSERT_EQUAL(0, m_server->Repeated());
    CPPUNIT_ASSERT_EQUAL(1, m_server->Runs("due"));
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, m_client->RepeatedIds());
  }

  // The status of the response.
  int Send(const std::string& id) { return Send(id, id); }

  // `known_id` is what the client is told.
  int Send(const std::string& id, const std::string& known_id) {
    const auto sent = Start(id, known_id);
    RunUntil(m_loop, "the response", [&] {
      m_server->Turn();
      return sent->ended;
    });
    return sent->status;
  }

  std::shared_ptr<Sent> Start(const std::string& id,
                              const std::string& known_id) {
    const std::string server = "127.0.0.1:" + std::to_string(m_server->Port());
    ClientRequest request;
    request.url = "http://" + server + "/x";
    request.id = known_id;
    request.headers = {{"X-Id", id}};
    if (m_relayed) request.relay = Relay{server, "token"};
    auto sent = std::make_shared<Sent>();
    TransferCallbacks callbacks;
    callbacks.due.is_due = [id](int, const Headers& headers) {
      for (const auto& [name, value] : headers)
        if (name == "x-id") return value == id;
      return false;
    };
    callbacks.on_head = [sent](int status, const Headers&) {
      sent->status = status;
    };
    callbacks.on_end = [sent](TransferEnd) { sent->ended = true; };
    m_client->Start(std::move(request), std::move(callbacks));
    return sent;
  }

  void SendDrawn(uint64_t seed) {
    std::mt19937_64 random(seed);
    m_server->SetRefused(50);
    for (int round = 0; round < 40; ++round) {
      const size_t at_once = 1 + random() % 4;
      m_relayed = random() % 4 == 0;
      std::map<std::string, std::shared_ptr<Sent>> all;
      std::map<std::string, int> runs_before;
      while (all.size() < at_once) {
        const std::string id = "r" + std::to_string(random() % 12);
        if (all.contains(id)) continue;
        runs_before[id] = m_server->Runs(id);
        all[id] = Start(id, id);
      }
      RunUntil(m_loop, "the responses", [&] {
        m_server->Turn();
        return std::ranges::all_of(
            all, [](const auto& sent) { return sent.second->ended; });
      });
      for (const auto& [id, sent] : all)
        if (sent->status == 503 && m_server->Runs(id) > runs_before[id])
          ++m_false_refusals;
      if (random() % 10 == 0) m_server->Restart();
    }
  }

  loop::Loop m_loop;
  std::unique_ptr<Client> m_client;
  std::unique_ptr<CopyingServer> m_server;
  bool m_relayed = false;
  // Requests that the client takes for refused, and that ran.
  int m_false_refusals = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RepeatedIdsTest);

}  // namespace
}  // namespace dotterelshift::http
