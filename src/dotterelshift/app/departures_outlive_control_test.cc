// Guards against departures that were acknowledged and are forgotten when all
// control daemons are lost at once, while an entry has not been told.
#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <cerrno>      // for ENOSPC
#include <filesystem>  // for remove_all
#include <map>         // for map
#include <memory>      // for make_unique, unique_ptr
#include <optional>    // for optional
#include <string>      // for string
#include <vector>      // for vector

#include "dotterelshift/app/departure_log.h"          // for DepartureLog
#include "dotterelshift/app/directory_exchange.h"     // for DirectoryExchange
#include "dotterelshift/app/recording_hub_testing.h"  // for RecordingHub
#include "dotterelshift/base/error.h"                 // for Error
#include "dotterelshift/base/temporary_folder.h"      // for TemporaryFolder
#include "support/run_until.h"                        // for RunUntil

namespace dotterelshift::app {
namespace {

using testing::RunUntil;

constexpr size_t kControls = 3;
constexpr size_t kOthersInMajority = 1;
const HostId kEntry = "entry";

// A daemon's directory, with what it has sent.
struct Node {
  Node(loop::Loop& loop, const HostId& self, size_t fan_out,
       std::unique_ptr<DepartureLog> own_log)
      : log(std::move(own_log)),
        exchange(loop, {.self = self, .fan_out = fan_out}, {},
                 {[] {}, [](const std::vector<wire::CacheEventT>&) {}}) {
    exchange.SetHub(&hub);
    if (log != nullptr) exchange.SetDepartureLog(log.get());
  }
  RecordingHub hub;
  std::unique_ptr<DepartureLog> log;
  DirectoryExchange exchange;
};

// A disk that takes nothing.
class FullStore : public storage::DepartureStore {
 public:
  void Append(const std::vector<std::string>&, WallMs) override {
    throw Error(ErrorKind::kStorageFull, "departures: no space left");
  }
};

class DeparturesOutliveControlTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DeparturesOutliveControlTest);
  CPPUNIT_TEST(AllControlDaemonsAreLostAfterTheAcknowledgement);
  CPPUNIT_TEST(TheyAreLostTwice);
  CPPUNIT_TEST(TheyAreLostAndOneDiskToo);
  CPPUNIT_TEST(DrainingIsKeptLikeGone);
  CPPUNIT_TEST(LaterIncarnationIsUsedAtOnce);
  CPPUNIT_TEST(DepartureThatCannotBeStoredIsNotAcknowledged);
  CPPUNIT_TEST(OldDeparturesAreForgotten);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    StartControl();
    m_nodes[kEntry] = std::make_unique<Node>(m_loop, kEntry, 0, nullptr);
    for (const HostId& control : Controls()) Connect(kEntry, control);
    Announce(Record(1, 1));
    RunUntil(m_loop, "the entry knows the endpoint",
             [this] { return Pass() && IsUsed(); });
    for (const HostId& control : Controls()) Disconnect(kEntry, control);
  }

  void AllControlDaemonsAreLostAfterTheAcknowledgement() {
    CPPUNIT_ASSERT(Leave(Gone()) == ErrorKind::kNone);
    LoseControl();
    ExpectEntryIsTold();
  }

  void TheyAreLostTwice() {
    CPPUNIT_ASSERT(Leave(Gone()) == ErrorKind::kNone);
    LoseControl();
    LoseControl();
    ExpectEntryIsTold();
  }

  void TheyAreLostAndOneDiskToo() {
    CPPUNIT_ASSERT(Leave(Gone()) == ErrorKind::kNone);
    std::filesystem::remove_all(m_folders.at(0).Path());
    LoseControl();
    ExpectEntryIsTold();
  }

  void DrainingIsKeptLikeGone() {
    wire::EndpointRecordT record = Record(1, 2);
    record.draining = true;
    CPPUNIT_ASSERT(Leave(record) == ErrorKind::kNone);
    LoseControl();
    ExpectEntryIsTold();
  }

  void LaterIncarnationIsUsedAtOnce() {
    CPPUNIT_ASSERT(Leave(Gone()) == ErrorKind::kNone);
    LoseControl();
    Announce(Record(2, 1));
    for (const HostId& control : Controls()) Connect(kEntry, control);
    RunUntil(m_loop, "the entry knows the later incarnation", [this] {
      return Pass() && IsUsed() && Known()->record.incarnation == 2;
    });
  }

  void DepartureThatCannotBeStoredIsNotAcknowledged() {
    LoseControl();
    for (const HostId& control : Controls())
      m_nodes.at(control)->exchange.SetDepartureLog(&m_full);
    Announce(Record(1, 2));
    CPPUNIT_ASSERT(Leave(Gone()) == ErrorKind::kStorageFull);
  }

  // What was kept before a start, nine minutes ago, is no longer remembered
  // once another departure is stored.
  void OldDeparturesAreForgotten() {
    const WallMs then = m_loop.WallNow() - ToMs(std::chrono::minutes(9));
    TemporaryFolder folder;
    {
      DepartureLog log(m_loop, folder.Path());
      Keep(log, Gone());
    }
    auto [store, kept] =
        storage::OpenDepartureStore({.folder = folder.Path()}, then);
    for (storage::StoredDeparture& departure : kept) departure.stored_at = then;
    DepartureLog log(m_loop, std::move(store), kept);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, log.Remembered());
    wire::EndpointRecordT later = Record(2, 1);
    later.draining = true;
    Keep(log, later);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, log.Remembered());
  }

 private:
  void Keep(DepartureLog& log, const wire::EndpointRecordT& record) {
    std::optional<ErrorKind> error;
    log.Keep({record}, [&error](ErrorKind kind) { error = kind; });
    RunUntil(m_loop, "it is stored", [&error] { return error.has_value(); });
    CPPUNIT_ASSERT(error == ErrorKind::kNone);
  }

  static std::vector<HostId> Controls() {
    std::vector<HostId> hosts;
    for (size_t i = 0; i < kControls; ++i)
      hosts.push_back("control-" + std::to_string(i));
    return hosts;
  }

  static wire::EndpointRecordT Record(uint64_t incarnation, uint64_t sequence) {
    wire::EndpointRecordT record;
    record.id = "e";
    record.address = "127.0.0.1:1";
    record.incarnation = incarnation;
    record.sequence = sequence;
    return record;
  }
  static wire::EndpointRecordT Gone() {
    wire::EndpointRecordT record = Record(1, 3);
    record.gone = true;
    return record;
  }

  static peers::PeerInfo PeerOf(const HostId& host) {
    peers::PeerInfo peer;
    peer.run = {host, 1};
    peer.role =
        host == kEntry ? wire::HostRole::Entry : wire::HostRole::Control;
    return peer;
  }

  void StartControl() {
    constexpr size_t kAll = 1000;
    const std::vector<HostId> hosts = Controls();
    for (size_t i = 0; i < kControls; ++i) {
      m_nodes[hosts.at(i)] = std::make_unique<Node>(
          m_loop, hosts.at(i), kAll,
          std::make_unique<DepartureLog>(m_loop, m_folders.at(i).Path()));
    }
    for (const HostId& a : hosts)
      for (const HostId& b : hosts)
        if (a < b) Connect(a, b);
  }

  // All of them end at the same moment and start with their disks.
  void LoseControl() {
    for (const HostId& host : Controls()) m_nodes.erase(host);
    StartControl();
  }

  void Connect(const HostId& a, const HostId& b) {
    m_nodes.at(a)->exchange.OnPeerUp(PeerOf(b));
    m_nodes.at(b)->exchange.OnPeerUp(PeerOf(a));
  }
  void Disconnect(const HostId& a, const HostId& b) {
    m_nodes.at(a)->exchange.OnPeerDown(PeerOf(b));
    m_nodes.at(b)->exchange.OnPeerDown(PeerOf(a));
  }

  // Delivers all frames that were sent. Returns true.
  bool Pass() {
    for (auto& [from, node] : m_nodes) {
      for (const auto& [to, frame] : std::exchange(node->hub.sent, {}))
        m_nodes.at(to)->exchange.OnFrame(PeerOf(from), frame);
    }
    return true;
  }

  std::optional<ErrorKind> Announce(const wire::EndpointRecordT& record) {
    m_answer.reset();
    m_nodes.at(Controls().front())
        ->exchange.OnAnnounced(record, kOthersInMajority,
                               [this](ErrorKind error) { m_answer = error; });
    return m_answer;
  }

  // Announces the departure and returns as soon as it is answered.
  ErrorKind Leave(const wire::EndpointRecordT& record) {
    Announce(record);
    RunUntil(m_loop, "the departure is answered",
             [this] { return Pass() && m_answer.has_value(); });
    return *m_answer;
  }

  const directory::Endpoint* Known() {
    return m_nodes.at(kEntry)->exchange.GetDirectory().Find("e");
  }
  bool IsUsed() { return Known() != nullptr && Known()->usable; }

  void ExpectEntryIsTold() {
    CPPUNIT_ASSERT(IsUsed());
    for (const HostId& control : Controls()) Connect(kEntry, control);
    const Instant start = m_loop.Now();
    RunUntil(m_loop, "the entry is told", [this, start] {
      return Pass() && (!IsUsed() || m_loop.Now() - start > 2s);
    });
    CPPUNIT_ASSERT(!IsUsed());
  }

  loop::Loop m_loop;
  std::vector<TemporaryFolder> m_folders =
      std::vector<TemporaryFolder>(kControls);
  DepartureLog m_full{m_loop, std::make_unique<FullStore>(), {}};
  std::map<HostId, std::unique_ptr<Node>> m_nodes;
  std::optional<ErrorKind> m_answer;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DeparturesOutliveControlTest);

}  // namespace
}  // namespace dotterelshift::app
