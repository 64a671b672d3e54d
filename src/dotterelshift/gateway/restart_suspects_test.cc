#include "dotterelshift/gateway/restart_suspects.h"

#include <cppunit/TestFixture.h>              // for TestFixture
#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

namespace dotterelshift::gateway {
namespace {

class RestartSuspectsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RestartSuspectsTest);
  CPPUNIT_TEST(BrokenConnectionMakesASuspect);
  CPPUNIT_TEST(BytesOnAnOlderConnectionClearIt);
  CPPUNIT_TEST(LaterAnnouncementClearsIt);
  CPPUNIT_TEST(SuspicionEnds);
  CPPUNIT_TEST_SUITE_END();

 public:
  void BrokenConnectionMakesASuspect() {
    m_suspects.OnBroken(kEndpoint, EndpointIdKeyOf("e"), m_now);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_suspects.All().size());
    m_suspects.OnBytes(kEndpoint, m_now + 10ms, m_now + 1s);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_suspects.All().size());
  }

  void BytesOnAnOlderConnectionClearIt() {
    m_suspects.OnBroken(kEndpoint, EndpointIdKeyOf("e"), m_now);
    m_suspects.OnBytes(kEndpoint, m_now - 1s, m_now + 10ms);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_suspects.All().size());
    m_suspects.OnBytes(kEndpoint, m_now - 1s, m_now + 50ms);
    CPPUNIT_ASSERT(m_suspects.All().empty());
  }

  void LaterAnnouncementClearsIt() {
    Announce();
    m_now += 1s;
    m_suspects.OnBroken(kEndpoint, EndpointIdKeyOf("e"), m_now);
    m_suspects.Update(m_runs, m_now + 100ms);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_suspects.All().size());
    m_now += 1s;
    Announce();
    m_suspects.Update(m_runs, m_now);
    CPPUNIT_ASSERT(m_suspects.All().empty());
  }

  void SuspicionEnds() {
    m_suspects.OnBroken(kEndpoint, EndpointIdKeyOf("e"), m_now);
    m_suspects.Update(m_runs, m_now + 5s);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_suspects.All().size());
    m_suspects.Update(m_runs, m_now + 5001ms);
    CPPUNIT_ASSERT(m_suspects.All().empty());
  }

 private:
  static constexpr EndpointKey kEndpoint = 1;

  void Announce() {
    wire::EndpointRecordT record;
    record.id = "e";
    record.services = {"s"};
    record.sequence = ++m_sequence;
    m_directory.OnRecord(record, m_now);
    m_runs.Update(m_now);
  }

  Instant m_now{1000s};
  uint64_t m_sequence = 0;
  directory::Directory m_directory;
  EndpointRuns m_runs{m_directory};
  RestartSuspects m_suspects;
};
CPPUNIT_TEST_SUITE_REGISTRATION(RestartSuspectsTest);

}  // namespace
}  // namespace dotterelshift::gateway
