#include "dotterelshift/gateway/granter_lease.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <map>     // for map
#include <string>  // for string

namespace dotterelshift::gateway {
namespace {

class GranterLeaseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GranterLeaseTest);
  CPPUNIT_TEST(AMajorityOfTheCountedEntriesIsNeeded);
  CPPUNIT_TEST(RunThatHasJustStartedDoesNotVote);
  CPPUNIT_TEST(NewEntryVotesOnceTheOthersCountIt);
  CPPUNIT_TEST(VoteIsFreeOnceItExpiredOrWasGivenBack);
  CPPUNIT_TEST(LargerCountOfAVoterCounts);
  CPPUNIT_TEST(WithoutControlForLongNeitherVotesNorHolds);
  CPPUNIT_TEST(SmallerCountIsUsedLater);
  CPPUNIT_TEST(RetiredRunGivesItsVotesBack);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_now = Instant(1000s);
    m_leases.clear();
    for (const char* host : {"a", "b", "c", "d"}) Start(host);
    m_now += 2s;
    for (auto& [host, lease] : m_leases) Count(host, 4);
  }

  void AMajorityOfTheCountedEntriesIsNeeded() {
    Connect("a", {"b"});
    Elect("a");
    CPPUNIT_ASSERT(!Of("a").IsHeld(m_now));
    m_now += 2s;
    Connect("a", {"b", "c"});
    Elect("a");
    CPPUNIT_ASSERT(Of("a").IsHeld(m_now));
    CPPUNIT_ASSERT_EQUAL(std::string("a"), Of("b").Holder(m_now));
    Connect("d", {"b", "c"});
    Elect("d");
    CPPUNIT_ASSERT(!Of("d").IsHeld(m_now));
  }

  // It does not know whom the run before it has voted for.
  void RunThatHasJustStartedDoesNotVote() {
    Start("b");
    Count("b", 4);
    Connect("a", {"b", "c"});
    Elect("a");
    CPPUNIT_ASSERT(!Of("a").IsHeld(m_now));
    // It still knows whom to ask for permits.
    wire::LeaseRequestT request;
    request.duration_ms = 1000;
    Start("b");
    CPPUNIT_ASSERT(!Of("b").OnRequest("c", request, m_now).granted);
    CPPUNIT_ASSERT_EQUAL(std::string("c"), Of("b").Holder(m_now));
    m_now += 2s;
    Elect("a");
    CPPUNIT_ASSERT(Of("a").IsHeld(m_now));
  }

  void NewEntryVotesOnceTheOthersCountIt() {
    Start("b");
    m_now += 2s;
    Count("b", 4, 0s);
    Connect("a", {"b", "c"});
    Elect("a");
    CPPUNIT_ASSERT(!Of("a").IsHeld(m_now));
    m_now += 3s;
    Elect("a");
    CPPUNIT_ASSERT(Of("a").IsHeld(m_now));
  }

  void VoteIsFreeOnceItExpiredOrWasGivenBack() {
    wire::LeaseRequestT request;
    request.duration_ms = 1000;
    request.round = 1;
    CPPUNIT_ASSERT(Of("b").OnRequest("a", request, m_now).granted);
    CPPUNIT_ASSERT(!Of("b").OnRequest("c", request, m_now).granted);
    CPPUNIT_ASSERT(Of("b").OnRequest("c", request, m_now + 1s).granted);
    wire::LeaseRequestT back = request;
    back.duration_ms = 0;
    // A late one of before the vote was given does not count.
    Of("b").OnRequest("c", back, m_now + 1s);
    CPPUNIT_ASSERT_EQUAL(std::string("c"), Of("b").Holder(m_now + 1s));
    back.round = 2;
    Of("b").OnRequest("c", back, m_now + 1s);
    CPPUNIT_ASSERT(Of("b").OnRequest("a", request, m_now + 1s).granted);
  }

  void LargerCountOfAVoterCounts() {
    Count("b", 6);
    Connect("a", {"b", "c"});
    Elect("a");
    CPPUNIT_ASSERT(!Of("a").IsHeld(m_now));
  }

  void WithoutControlForLongNeitherVotesNorHolds() {
    Connect("a", {"b", "c"});
    m_now += 290s;
    Elect("a");
    CPPUNIT_ASSERT(Of("a").IsHeld(m_now));
    m_now += 10s;
    Elect("a");
    CPPUNIT_ASSERT(!Of("a").IsHeld(m_now));
  }

  void SmallerCountIsUsedLater() {
    Count("a", 2);
    CPPUNIT_ASSERT_EQUAL(size_t{4}, Of("a").Entries());
    m_now += 301s;
    Count("a", 2);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, Of("a").Entries());
  }

  void RetiredRunGivesItsVotesBack() {
    Connect("a", {"b", "c"});
    Elect("a");
    for (const auto& [host, request] : Of("a").Retire(m_now))
      Of(host).OnRequest("a", request, m_now);
    CPPUNIT_ASSERT(!Of("a").IsHeld(m_now));
    Connect("b", {"c", "d"});
    Elect("b");
    CPPUNIT_ASSERT(Of("b").IsHeld(m_now));
  }

 private:
  GranterLease& Of(const HostId& host) { return m_leases.at(host); }
  void Start(const HostId& host) {
    m_leases.erase(host);
    GranterLeaseOptions options;
    options.self = host;
    m_leases.emplace(host, GranterLease(options, m_now));
    Of(host).SetNeeded(true);
  }
  void Count(const HostId& host, size_t entries, Duration counted_for = 60s) {
    m_now += 1ms;
    Of(host).OnGroup({"", entries, counted_for}, m_now, m_now);
  }
  void Connect(const HostId& host, std::vector<HostId> peers) {
    Of(host).SetPeers(std::move(peers));
  }
  // The host becomes a candidate, unless another one is known to hold.
  void Elect(const HostId& host) {
    const Instant start = m_now;
    for (; m_now < start + 1100ms; m_now += 50ms)
      for (const auto& [to, request] : Of(host).OnTimer(m_now))
        Of(host).OnVote(to, Of(to).OnRequest(host, request, m_now), m_now);
    m_now -= 50ms;
  }

  Instant m_now{};
  std::map<HostId, GranterLease> m_leases;
};
CPPUNIT_TEST_SUITE_REGISTRATION(GranterLeaseTest);

}  // namespace
}  // namespace dotterelshift::gateway
