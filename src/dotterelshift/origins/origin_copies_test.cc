// Each origin is at some control hosts from its stream's first event on.
#include "dotterelshift/origins/origin_copies.h"

#include <cppunit/TestFixture.h>              // for TestFixture
#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <set>  // for set

namespace dotterelshift::origins {
namespace {

constexpr StreamKey kStreams = 200;

class OriginCopiesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OriginCopiesTest);
  CPPUNIT_TEST(EachOriginGoesToTwoHosts);
  CPPUNIT_TEST(HostsShareTheOrigins);
  CPPUNIT_TEST(OneHostHoldsAllIfItIsTheOnlyOne);
  CPPUNIT_TEST(HostThatReturnsIsSentWhatItHasLost);
  CPPUNIT_TEST(HostThatFailsIsReplacedByOthers);
  CPPUNIT_TEST(HostsThatStayAreSentNothingTwice);
  CPPUNIT_TEST(OriginsWaitForTheFirstHost);
  CPPUNIT_TEST(OriginsOfOtherEntriesAreLeftToThem);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EachOriginGoesToTwoHosts() {
    m_copies.SetHosts(kHosts, m_now);
    Begin();
    ExpectCopies(CountCopies(), 2);
  }

  void HostsShareTheOrigins() {
    m_copies.SetHosts(kHosts, m_now);
    Begin();
    const auto sent = m_copies.TakeCopies();
    CPPUNIT_ASSERT_EQUAL(kHosts.size(), sent.size());
    for (const auto& [host, origins] : sent)
      CPPUNIT_ASSERT(origins.size() >= kStreams / 4);
  }

  void OneHostHoldsAllIfItIsTheOnlyOne() {
    m_copies.SetHosts({{"c1", "c1:1"}}, m_now);
    Begin();
    ExpectCopies(CountCopies(), 1);
  }

  void HostThatReturnsIsSentWhatItHasLost() {
    m_copies.SetHosts(kHosts, m_now);
    Begin();
    const size_t held = m_copies.TakeCopies()["c1"].size();
    m_copies.SetHosts(Without("c1"), m_now);
    m_copies.TakeCopies();
    m_copies.SetHosts(kHosts, m_now);
    const auto sent = m_copies.TakeCopies();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, sent.size());
    CPPUNIT_ASSERT_EQUAL(held, sent.at("c1").size());
  }

  void HostThatFailsIsReplacedByOthers() {
    m_copies.SetHosts(kHosts, m_now);
    Begin();
    auto copies = CountCopies({"c1"});
    m_copies.SetHosts(Without("c1"), m_now);
    for (const auto& [stream, count] : CountCopies()) copies[stream] += count;
    ExpectCopies(copies, 2);
  }

  void HostsThatStayAreSentNothingTwice() {
    m_copies.SetHosts(kHosts, m_now);
    Begin();
    m_copies.TakeCopies();
    m_copies.SetHosts(kHosts, m_now);
    CPPUNIT_ASSERT(m_copies.TakeCopies().empty());
  }

  void OriginsWaitForTheFirstHost() {
    Begin();
    CPPUNIT_ASSERT(m_copies.TakeCopies().empty());
    m_copies.SetHosts(kHosts, m_now);
    ExpectCopies(CountCopies(), 2);
  }

  void OriginsOfOtherEntriesAreLeftToThem() {
    m_origins.OnUpdates("another", {{1, 1}}, m_now);
    m_copies.SetHosts(kHosts, m_now);
    CPPUNIT_ASSERT(m_copies.TakeCopies().empty());
  }

 private:
  inline static const OriginCopies::Hosts kHosts = {
      {"c1", "c1:1"}, {"c2", "c2:1"}, {"c3", "c3:1"}, {"c4", "c4:1"}};
  using Counts = std::map<StreamKey, size_t>;

  static OriginCopies::Hosts Without(const HostId& host) {
    OriginCopies::Hosts hosts = kHosts;
    hosts.erase(host);
    return hosts;
  }

  void Begin() {
    for (StreamKey stream = 1; stream <= kStreams; ++stream)
      m_origins.OnBegun(stream, SoftwareKey{7}, m_now);
    m_copies.Add(m_origins.TakeUncopied());
  }

  // How many hosts are sent each stream's origin, not counting those that fail.
  Counts CountCopies(const std::set<HostId>& failing = {}) {
    Counts counts;
    for (const auto& [host, origins] : m_copies.TakeCopies()) {
      if (failing.contains(host)) continue;
      for (const wire::StreamOrigin& origin : origins)
        ++counts[origin.stream()];
    }
    return counts;
  }

  static void ExpectCopies(const Counts& counts, size_t copies) {
    CPPUNIT_ASSERT_EQUAL(size_t{kStreams}, counts.size());
    for (const auto& [stream, count] : counts)
      CPPUNIT_ASSERT_EQUAL(copies, count);
  }

  Instant m_now{1000s};
  StreamOrigins m_origins;
  OriginCopies m_copies{m_origins};
};

CPPUNIT_TEST_SUITE_REGISTRATION(OriginCopiesTest);

}  // namespace
}  // namespace dotterelshift::origins
