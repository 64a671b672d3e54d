#include "dotterelshift/directory/record_requests.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <map>     // for map
#include <string>  // for string
#include <vector>  // for vector

namespace dotterelshift::directory {
namespace {

constexpr Instant kStart = Instant{} + 1000s;
constexpr Duration kAnswerTimeout = 1s;
constexpr uint64_t kOwn = 11;
constexpr uint64_t kOther = 22;

using Asked = std::optional<HostId>;

class RecordRequestsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RecordRequestsTest);
  CPPUNIT_TEST(FirstDigestOfAConnectionCounts);
  CPPUNIT_TEST(LaterDigestCountsWhenItDiffersTwice);
  CPPUNIT_TEST(PeerIsAskedBeforeItsDigestIfSoWanted);
  CPPUNIT_TEST(OnePeerIsAskedAtATime);
  CPPUNIT_TEST(PeerThatAgreesAfterAnAnswerIsNotAsked);
  CPPUNIT_TEST(PeerThatStillDiffersAfterAnAnswerIsAsked);
  CPPUNIT_TEST(UnansweredRequestGoesToAnotherPeer);
  CPPUNIT_TEST(LostConnectionEndsTheRequest);
  CPPUNIT_TEST(AnsweredPeerIsAskedAgainOnlyWhenItChanges);
  CPPUNIT_TEST(PeerWithoutRecordsIsNotAsked);
  CPPUNIT_TEST(ReceiverAsksNoPeerThatMostOthersContradict);
  CPPUNIT_TEST(LastingDifferencesCauseFewRequests);
  CPPUNIT_TEST(ReturningFleetSpreadsItsRequests);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FirstDigestOfAConnectionCounts() {
    m_requests.OnPeerUp("a", false);
    CPPUNIT_ASSERT(!m_requests.MayAsk(kStart));
    m_requests.OnDigest("a", kOther, kOwn);
    CPPUNIT_ASSERT(m_requests.MayAsk(kStart));
    CPPUNIT_ASSERT(Asked("a") == m_requests.Next(kOwn, kStart));
  }

  void LaterDigestCountsWhenItDiffersTwice() {
    m_requests.OnPeerUp("a", false);
    m_requests.OnDigest("a", kOwn, kOwn);
    m_requests.OnDigest("a", kOther, kOwn);
    CPPUNIT_ASSERT(!m_requests.MayAsk(kStart));
    m_requests.OnDigest("a", kOther, kOwn);
    CPPUNIT_ASSERT(Asked("a") == m_requests.Next(kOwn, kStart));
  }

  void PeerIsAskedBeforeItsDigestIfSoWanted() {
    m_requests.OnPeerUp("a", true);
    CPPUNIT_ASSERT(Asked("a") == m_requests.Next(kOwn, kStart));
  }

  void OnePeerIsAskedAtATime() {
    ConnectTwoThatDiffer();
    CPPUNIT_ASSERT(m_requests.Next(kOwn, kStart).has_value());
    CPPUNIT_ASSERT(!m_requests.MayAsk(kStart + 900ms));
    CPPUNIT_ASSERT(!m_requests.Next(kOwn, kStart + 900ms).has_value());
  }

  void PeerThatAgreesAfterAnAnswerIsNotAsked() {
    ConnectTwoThatDiffer();
    m_requests.OnAnswer(*m_requests.Next(kOwn, kStart), kOther);
    CPPUNIT_ASSERT(!m_requests.Next(kOther, kStart + 100ms).has_value());
    CPPUNIT_ASSERT(!m_requests.MayAsk(kStart + 100ms));
  }

  void PeerThatStillDiffersAfterAnAnswerIsAsked() {
    ConnectTwoThatDiffer();
    const Asked first = m_requests.Next(kOwn, kStart);
    constexpr uint64_t kStale = 33;
    m_requests.OnAnswer(*first, kStale);
    const Asked second = m_requests.Next(kOwn, kStart + 100ms);
    CPPUNIT_ASSERT(second.has_value() && second != first);
  }

  void UnansweredRequestGoesToAnotherPeer() {
    ConnectTwoThatDiffer();
    const Asked first = m_requests.Next(kOwn, kStart);
    const Asked second = m_requests.Next(kOwn, kStart + kAnswerTimeout);
    CPPUNIT_ASSERT(second.has_value() && second != first);
    CPPUNIT_ASSERT(
        !m_requests.Next(kOwn, kStart + 2 * kAnswerTimeout).has_value());
  }

  void LostConnectionEndsTheRequest() {
    ConnectTwoThatDiffer();
    const Asked first = m_requests.Next(kOwn, kStart);
    m_requests.OnPeerDown(*first);
    const Asked second = m_requests.Next(kOwn, kStart + 1ms);
    CPPUNIT_ASSERT(second.has_value() && second != first);
  }

  void AnsweredPeerIsAskedAgainOnlyWhenItChanges() {
    m_requests.OnPeerUp("a", false);
    m_requests.OnDigest("a", kOther, kOwn);
    m_requests.OnAnswer(*m_requests.Next(kOwn, kStart), kOther);
    for (int i = 0; i < 3; ++i) m_requests.OnDigest("a", kOther, kOwn);
    CPPUNIT_ASSERT(!m_requests.MayAsk(kStart + 10s));
    constexpr uint64_t kChanged = 33;
    for (int i = 0; i < 2; ++i) m_requests.OnDigest("a", kChanged, kOwn);
    CPPUNIT_ASSERT(Asked("a") == m_requests.Next(kOwn, kStart + 10s));
  }

  void PeerWithoutRecordsIsNotAsked() {
    m_requests.OnPeerUp("a", false);
    m_requests.OnDigest("a", kNoRecordsDigest, kOwn);
    CPPUNIT_ASSERT(!m_requests.MayAsk(kStart));
  }

  // A peer that returns stale would otherwise be asked by all receivers.
  void ReceiverAsksNoPeerThatMostOthersContradict() {
    RecordRequests requests("self", kAnswerTimeout, true);
    for (const HostId host : {"a", "b"}) {
      requests.OnPeerUp(host, false);
      requests.OnDigest(host, kOwn, kOwn);
    }
    requests.OnPeerUp("stale", false);
    requests.OnDigest("stale", kOther, kOwn);
    CPPUNIT_ASSERT(!requests.MayAsk(kStart));
    requests.OnDigest("stale", kOther, kOwn);
    CPPUNIT_ASSERT(Asked("stale") == requests.Next(kOwn, kStart));
  }

  // Guards against a request to each peer whenever its records change, while
  // this daemon holds a record that all of them have forgotten.
  void LastingDifferencesCauseFewRequests() {
    const std::vector<HostId> peers = {"a", "b", "c"};
    for (const HostId& host : peers) {
      m_requests.OnPeerUp(host, false);
      m_requests.OnDigest(host, kOwn, kOwn);
    }
    size_t requests = 0;
    for (uint64_t second = 0; second < 30; second += 3) {
      for (const HostId& host : peers) {
        m_requests.OnDigest(host, kOther + second, kOwn);
        const Asked asked = m_requests.Next(kOwn, kStart + second * 1s);
        if (!asked) continue;
        ++requests;
        m_requests.OnAnswer(*asked, kOther + second);
      }
    }
    CPPUNIT_ASSERT(requests > 0 && requests <= 3);
  }

  // A fleet that returns at once would otherwise ask the same peer for its
  // records.
  void ReturningFleetSpreadsItsRequests() {
    constexpr size_t kDaemons = 372;
    constexpr size_t kPeers = 9;
    std::map<HostId, size_t> asked;
    for (size_t i = 0; i < kDaemons; ++i) {
      RecordRequests requests("entry-" + std::to_string(i), kAnswerTimeout,
                              true);
      for (size_t peer = 0; peer < kPeers; ++peer) {
        const HostId host = "control-" + std::to_string(peer);
        requests.OnPeerUp(host, false);
        requests.OnDigest(host, kOther, kOwn);
      }
      ++asked[*requests.Next(kOwn, kStart)];
    }
    for (const auto& [host, count] : asked)
      CPPUNIT_ASSERT_MESSAGE(host, count <= 2 * kDaemons / kPeers);
  }

 private:
  void ConnectTwoThatDiffer() {
    for (const HostId host : {"a", "b"}) {
      m_requests.OnPeerUp(host, false);
      m_requests.OnDigest(host, kOther, kOwn);
    }
  }

  RecordRequests m_requests{"self", kAnswerTimeout, false};
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecordRequestsTest);

}  // namespace
}  // namespace dotterelshift::directory
