#include "dotterelshift/app/entry_pushes.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <random>  // for minstd_rand

#include "dotterelshift/app/leader_testing.h"     // for MockReplica
#include "dotterelshift/state/packed_document.h"  // for PackDocument
#include "dotterelshift/state/state_testing.h"    // for TestSender

namespace dotterelshift::app {
namespace {

// Connections that send nothing until their backlog is cleared.
class MockHub : public peers::Hub {
 public:
  bool Send(const HostId& host, const wire::FrameT& frame) override {
    if (frame.body.AsQuarantinePush() != nullptr) ++quarantines[host];
    if (const auto* answer = frame.body.AsLeaderBeat()) {
      entry_count = answer->entry_count;
      entries = answer->entries;
      names_askable = answer->distant != nullptr;
      if (names_askable) askable[host] = AddressesOf(*answer->distant);
    }
    const wire::RoutesPushT* routes = frame.body.AsRoutesPush();
    if (routes == nullptr) return true;
    for (const auto& step : routes->steps) backlog[host] += step->packed.size();
    max_backlog = std::max(max_backlog, backlog[host]);
    ++documents;
    versions[host] = routes->version;
    bases[host] = routes->steps.front()->base;
    return true;
  }
  size_t Backlog(const HostId& host) const override {
    const auto found = backlog.find(host);
    return found == backlog.end() ? 0 : found->second;
  }
  std::vector<peers::PeerInfo> Peers() const override { return {}; }
  void Dial(const std::string&) override {}
  uint16_t Port() const override { return 0; }
  const peers::HubCounters& Counters() const override { return m_counters; }

  std::map<HostId, size_t> backlog;
  std::map<HostId, uint64_t> versions;  // of the newest document sent
  std::map<HostId, uint64_t> bases;     // of the first delta sent
  std::map<HostId, int> quarantines;    // pushes of quarantined contents
  uint32_t entry_count = 0;             // in the newest answer to a heartbeat
  std::vector<std::string> entries;     // in the same answer
  bool names_askable = false;           // the same answer
  // Entries of other data centres that each host was last told it may ask.
  std::map<HostId, std::vector<std::string>> askable;
  size_t max_backlog = 0;
  int documents = 0;

 private:
  static std::vector<std::string> AddressesOf(
      const wire::DistantEntriesT& distant) {
    std::vector<std::string> addresses;
    for (const auto& entry : distant.entries)
      addresses.push_back(entry->address);
    return addresses;
  }

  peers::HubCounters m_counters;
};

class EntryPushesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EntryPushesTest);
  CPPUNIT_TEST(StartingFleetIsSentOneDocumentPerEntry);
  CPPUNIT_TEST(NewestVersionReplacesPendingOnes);
  CPPUNIT_TEST(PushesPerLoopIterationAreBounded);
  CPPUNIT_TEST(LostDocumentIsSentAgain);
  CPPUNIT_TEST(UnusableDeltaIsFollowedByTheFullDocument);
  CPPUNIT_TEST(ReturningEntryIsSentNothingBeforeItsHeartbeat);
  CPPUNIT_TEST(QuarantineReachesEntriesThatConnectedUnderAnotherLeader);
  CPPUNIT_TEST(EntryThatLostItsConnectionIsStillCounted);
  CPPUNIT_TEST(DataCentreWithoutRelaysIsToldOfEntriesOfOthers);
  CPPUNIT_TEST(EntriesOfALargeFleetAreToldOnceWhomTheyMayAsk);
  CPPUNIT_TEST(EntriesThatMayBeAskedAreSpread);
  CPPUNIT_TEST(FailedEntryIsReplacedAmongThoseThatMayBeAsked);
  CPPUNIT_TEST(EntriesOfASmallFleetAskNobody);
  CPPUNIT_TEST(EntriesOfAnOlderProgramAreNotAsked);
  CPPUNIT_TEST(NewLeaderOfAFleetThatHasShrunkSaysThatNobodyIsAsked);
  CPPUNIT_TEST_SUITE_END();

 private:
  static constexpr size_t kDocumentBytes = 200'000;
  static constexpr int kEntries = 86;
  static constexpr WallMs kWall = 1;
  static constexpr Duration kEntryMemory = 10s;

  // Commits an incompressible document that shares nothing with the previous
  // one.
  void Commit(uint64_t version) {
    std::minstd_rand random(static_cast<uint32_t>(version));
    wire::PublishRoutesT routes;
    routes.version = version;
    for (size_t i = 0; i < kDocumentBytes; ++i)
      routes.document.push_back(static_cast<uint8_t>(random() >> 8));
    const std::string document(routes.document.begin(), routes.document.end());
    m_document_bytes = state::PackDocument(document, {}).size();
    m_control.Send(std::move(routes), 1);
  }
  void Publish(uint64_t version) {
    Commit(version);
    PushAll();
  }
  // Publishes the next version as a delta.
  void PublishStep(uint64_t version) {
    const state::PublishedRoutes in_force = m_replica.state->GetPublished();
    wire::PublishRoutesT routes;
    routes.version = version;
    routes.base = in_force.version;
    routes.packed = state::PackDocument(std::string(in_force.document) + "x",
                                        in_force.document);
    m_control.Send(std::move(routes), 1);
    PushAll();
  }

  // Pushes until no entry remains, as the loop does over several iterations.
  void PushAll() {
    while (m_pushes.PushPending(m_now, kWall)) {
    }
  }

  void SendHeartbeat(const HostId& host, uint64_t version,
                     bool wants_routes = false, bool wants_relays = false) {
    wire::EntryBeatT beat;
    beat.wants_routes = wants_routes;
    beat.wants_relays = wants_relays;
    beat.answers_questions = true;
    beat.sequence = ++m_heartbeats;
    beat.routes_version = version;
    m_pushes.OnHeartbeat(host, beat, m_now);
    m_pushes.AnswerHeartbeat(host, beat.sequence, m_now, 1);
    PushAll();
  }

  void StartEntries() {
    for (int i = 0; i < kEntries; ++i) {
      peers::PeerInfo entry;
      entry.run = {"e" + std::to_string(i), 1};
      m_pushes.OnUp(entry);
      m_pushes.OnHeartbeat(entry.run.host, {}, m_now);
    }
  }

  // Entries that know no leader send ten heartbeats a second. Each must be sent
  // one document, although their connections send nothing for two seconds.
  void StartingFleetIsSentOneDocumentPerEntry() {
    Publish(1);
    StartEntries();
    for (int round = 0; round < 20; ++round, m_now += 100ms)
      for (int i = 0; i < kEntries; ++i)
        SendHeartbeat("e" + std::to_string(i), 0);
    CPPUNIT_ASSERT_EQUAL(kEntries, m_hub.documents);
    CPPUNIT_ASSERT_EQUAL(m_document_bytes, m_hub.max_backlog);
  }

  void NewestVersionReplacesPendingOnes() {
    StartEntries();
    uint64_t version = 0;
    for (int change = 0; change < 25; ++change, m_now += 80ms)
      Publish(++version);
    CPPUNIT_ASSERT_EQUAL(m_document_bytes, m_hub.max_backlog);
    CPPUNIT_ASSERT_EQUAL(kEntries, m_hub.documents);
    m_hub.backlog.clear();
    PushAll();
    CPPUNIT_ASSERT_EQUAL(2 * kEntries, m_hub.documents);
    for (const auto& [host, sent] : m_hub.versions)
      CPPUNIT_ASSERT_EQUAL(version, sent);
  }

  // A leader that sent a document to each entry of a large fleet in one loop
  // iteration lost its lease.
  void PushesPerLoopIterationAreBounded() {
    constexpr size_t kMaxPushBytes = 256 << 10;
    StartEntries();
    Commit(1);
    int before = 0;
    for (bool more = true; more; before = m_hub.documents) {
      more = m_pushes.PushPending(m_now, kWall);
      const size_t documents = m_hub.documents - before;
      CPPUNIT_ASSERT(documents * kDocumentBytes <=
                     kMaxPushBytes + kDocumentBytes);
    }
    CPPUNIT_ASSERT_EQUAL(kEntries, m_hub.documents);
    CPPUNIT_ASSERT_EQUAL(size_t{kEntries}, m_hub.versions.size());
  }

  // An entry that still reports the old version after the push timeout, and an
  // entry with a new connection, are sent the document again.
  void LostDocumentIsSentAgain() {
    StartEntries();
    Publish(1);
    m_hub.backlog.clear();
    SendHeartbeat("e1", 0);
    CPPUNIT_ASSERT_EQUAL(kEntries, m_hub.documents);
    m_now += 5s;
    SendHeartbeat("e1", 0);
    CPPUNIT_ASSERT_EQUAL(kEntries + 1, m_hub.documents);
    m_hub.backlog.clear();
    peers::PeerInfo again;
    again.run = {"e2", 2};
    m_pushes.OnDown("e2", m_now);
    m_pushes.OnUp(again);
    SendHeartbeat("e2", 0);
    CPPUNIT_ASSERT_EQUAL(kEntries + 2, m_hub.documents);
  }

  // The full document is sent once, although heartbeats request it until it has
  // arrived.
  void UnusableDeltaIsFollowedByTheFullDocument() {
    StartEntries();
    Publish(1);
    m_hub.backlog.clear();
    PublishStep(2);
    CPPUNIT_ASSERT_EQUAL(2 * kEntries, m_hub.documents);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, m_hub.bases["e1"]);
    for (int beat = 0; beat < 3; ++beat) SendHeartbeat("e1", 1, true);
    CPPUNIT_ASSERT_EQUAL(2 * kEntries + 1, m_hub.documents);
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, m_hub.bases["e1"]);
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, m_hub.versions["e1"]);
  }

  // Guards against the full document being sent to each entry that returns with
  // it, when a heartbeat of another entry comes before its own.
  void ReturningEntryIsSentNothingBeforeItsHeartbeat() {
    Publish(1);
    peers::PeerInfo entry;
    entry.run = {"returns", 1};
    m_pushes.OnUp(entry);
    PushAll();
    SendHeartbeat("returns", 1);
    CPPUNIT_ASSERT_EQUAL(0, m_hub.documents);
  }

  // Contents that were quarantined, and entries that connected, while another
  // replica led.
  void QuarantineReachesEntriesThatConnectedUnderAnotherLeader() {
    for (const char* endpoint : {"a", "b", "c"}) {
      wire::ReportSuspectT report;
      report.content_hash = 1;
      report.endpoint = endpoint;
      report.alone = true;
      m_control.Send(std::move(report), kWall);
    }
    StartEntries();
    for (int round = 0; round < 2; ++round) PushAll();
    CPPUNIT_ASSERT_EQUAL(size_t{kEntries}, m_hub.quarantines.size());
    for (const auto& [host, pushes] : m_hub.quarantines)
      CPPUNIT_ASSERT_EQUAL(1, pushes);
  }

  // Guards against limits that are divided among fewer entries than use them.
  // All entries of one data centre are cut off from endpoints.
  void DataCentreWithoutRelaysIsToldOfEntriesOfOthers() {
    constexpr int kOfEach = 20;
    for (int i = 0; i < 2 * kOfEach; ++i) {
      const std::string name = (i < kOfEach ? "a" : "b") + std::to_string(i);
      m_pushes.OnUp({.run = {name, 1},
                     .data_centre = i < kOfEach ? "a" : "b",
                     .address = name});
    }
    SendHeartbeat("a0", 0);
    CPPUNIT_ASSERT_EQUAL(size_t{kOfEach}, m_hub.entries.size());
    std::map<std::string, int> named;
    for (int round = 0; round < 2; ++round) {
      named.clear();
      for (int i = 0; i < kOfEach; ++i) {
        SendHeartbeat("a" + std::to_string(i), 0, false, true);
        CPPUNIT_ASSERT(m_hub.entries.size() > size_t{kOfEach});
        for (const std::string& address : m_hub.entries)
          if (address.starts_with("b")) ++named[address];
      }
    }
    // The relays are spread, and no entry that lacks one itself is named.
    CPPUNIT_ASSERT_EQUAL(size_t{kOfEach}, named.size());
    SendHeartbeat("b20", 0, false, true);
    for (const std::string& address : m_hub.entries)
      CPPUNIT_ASSERT(!address.starts_with("a"));
  }

  // `count` entries in each of the data centres a, b and c.
  void StartDataCentres(int count) {
    for (const std::string name : {"a", "b", "c"}) {
      for (int i = 0; i < count; ++i) {
        const std::string host = name + std::to_string(i);
        m_pushes.OnUp({.run = {host, 1}, .data_centre = name, .address = host});
        wire::EntryBeatT beat;
        beat.answers_questions = true;
        m_pushes.OnHeartbeat(host, beat, m_now);
      }
    }
  }

  void EntriesOfALargeFleetAreToldOnceWhomTheyMayAsk() {
    StartDataCentres(20);
    SendHeartbeat("a0", 0);
    const std::vector<std::string> named = m_hub.askable["a0"];
    CPPUNIT_ASSERT_EQUAL(size_t{8}, named.size());
    for (const std::string& address : named)
      CPPUNIT_ASSERT(!address.starts_with("a"));
    SendHeartbeat("a0", 0);
    CPPUNIT_ASSERT(!m_hub.names_askable);
  }

  // If all were told the same ones, these would answer all questions.
  void EntriesThatMayBeAskedAreSpread() {
    constexpr int kOfEach = 20;
    StartDataCentres(kOfEach);
    std::map<std::string, int> named;
    for (const std::string name : {"a", "b", "c"}) {
      for (int i = 0; i < kOfEach; ++i) {
        const std::string host = name + std::to_string(i);
        SendHeartbeat(host, 0);
        for (const std::string& address : m_hub.askable[host]) ++named[address];
      }
    }
    constexpr int kMean = 2 * 4;
    CPPUNIT_ASSERT_EQUAL(size_t{3} * kOfEach, named.size());
    for (const auto& [address, count] : named)
      CPPUNIT_ASSERT(count < 3 * kMean);
  }

  void FailedEntryIsReplacedAmongThoseThatMayBeAsked() {
    StartDataCentres(20);
    SendHeartbeat("a0", 0);
    std::vector<std::string> named = m_hub.askable["a0"];
    const std::string failed = named.front();
    m_pushes.OnDown(failed, m_now);
    SendHeartbeat("a0", 0);
    const std::vector<std::string>& now_named = m_hub.askable["a0"];
    CPPUNIT_ASSERT_EQUAL(named.size(), now_named.size());
    size_t kept = 0;
    for (const std::string& address : now_named) {
      CPPUNIT_ASSERT(address != failed);
      kept += std::ranges::find(named, address) != named.end() ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(named.size() - 1, kept);
  }

  void EntriesOfASmallFleetAskNobody() {
    StartDataCentres(5);
    SendHeartbeat("a0", 0);
    CPPUNIT_ASSERT(!m_hub.names_askable);
    // The fleet grows, and shrinks again.
    m_pushes.OnUp({.run = {"a5", 1}, .data_centre = "a", .address = "a5"});
    m_pushes.OnUp({.run = {"a6", 1}, .data_centre = "a", .address = "a6"});
    SendHeartbeat("a0", 0);
    CPPUNIT_ASSERT_EQUAL(size_t{8}, m_hub.askable["a0"].size());
    m_pushes.OnDown("a5", m_now);
    m_now += 10s;
    SendHeartbeat("a0", 0);
    CPPUNIT_ASSERT(m_hub.names_askable && m_hub.askable["a0"].empty());
  }

  // While a fleet is upgraded, some entries do not know the question.
  void EntriesOfAnOlderProgramAreNotAsked() {
    StartDataCentres(20);
    for (int i = 0; i < 19; ++i) {
      const std::string host = "b" + std::to_string(i);
      m_pushes.OnHeartbeat(host, {}, m_now);
    }
    SendHeartbeat("a0", 0);
    const std::vector<std::string>& named = m_hub.askable["a0"];
    CPPUNIT_ASSERT_EQUAL(size_t{5}, named.size());
    CPPUNIT_ASSERT(std::ranges::find(named, "b19") != named.end());
  }

  // A data centre has failed, and with it the leader that had named entries.
  void NewLeaderOfAFleetThatHasShrunkSaysThatNobodyIsAsked() {
    StartDataCentres(6);
    SendHeartbeat("a0", 0);
    CPPUNIT_ASSERT_EQUAL(size_t{8}, m_hub.askable["a0"].size());
    EntryPushes next(m_hub, m_replica, kEntryMemory);
    for (const std::string name : {"a", "b"}) {
      for (int i = 0; i < 6; ++i) {
        const std::string host = name + std::to_string(i);
        next.OnUp({.run = {host, 1}, .data_centre = name, .address = host});
      }
    }
    wire::EntryBeatT beat;
    for (beat.sequence = 1; beat.sequence <= 20; ++beat.sequence) {
      next.OnHeartbeat("a0", beat, m_now);
      next.AnswerHeartbeat("a0", beat.sequence, m_now, 1);
      m_now += 1s;
    }
    CPPUNIT_ASSERT(m_hub.askable["a0"].empty());
  }

  void EntryThatLostItsConnectionIsStillCounted() {
    StartEntries();
    m_pushes.OnDown("e2", m_now);
    m_pushes.OnDown("a control host", m_now);
    SendHeartbeat("e1", 0);
    CPPUNIT_ASSERT_EQUAL(uint32_t{kEntries}, m_hub.entry_count);
    m_now += kEntryMemory;
    SendHeartbeat("e1", 0);
    CPPUNIT_ASSERT_EQUAL(uint32_t{kEntries - 1}, m_hub.entry_count);
  }

  Instant m_now{1000s};
  size_t m_document_bytes = 0;  // of the newest, packed without a base
  uint64_t m_heartbeats = 0;
  MockHub m_hub;
  MockReplica m_replica;
  EntryPushes m_pushes{m_hub, m_replica, kEntryMemory};
  state::TestSender m_control{m_replica.state.get(), "control", 1};
};
CPPUNIT_TEST_SUITE_REGISTRATION(EntryPushesTest);

}  // namespace
}  // namespace dotterelshift::app
