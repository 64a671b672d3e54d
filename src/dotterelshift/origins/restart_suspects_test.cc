#include "dotterelshift/origins/restart_suspects.h"

#include <cppunit/TestFixture.h>              // for TestFixture
#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

namespace dotterelshift::origins {
namespace {

class RestartSuspectsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RestartSuspectsTest);
  CPPUNIT_TEST(BrokenConnectionMakesASuspect);
  CPPUNIT_TEST(IdleConnectionThatClosesMakesASuspect);
  CPPUNIT_TEST(EndpointWithANewIdAtEachStartIsNoSuspect);
  CPPUNIT_TEST(BytesOnAnOlderConnectionClearIt);
  CPPUNIT_TEST(LaterAnnouncementClearsIt);
  CPPUNIT_TEST(NextIncarnationIsNoSuspect);
  CPPUNIT_TEST(BreaksAfterTheEndOfAnIncarnationChangeNothing);
  CPPUNIT_TEST(NoticeThatArrivesLateClearsNothing);
  CPPUNIT_TEST(BrokenConnectionsAreToldOnce);
  CPPUNIT_TEST(WhatAnotherEntryToldIsNotToldAgain);
  CPPUNIT_TEST(EndpointThatAnotherEntrySawRunningIsCleared);
  CPPUNIT_TEST(ChangesOfBeliefAreLogged);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { Announce(1); }

  void BrokenConnectionMakesASuspect() {
    m_suspects.OnBroken(Contact(1), m_now);
    CPPUNIT_ASSERT(m_suspects.IsSuspect(KeyOf(1)));
    CPPUNIT_ASSERT(m_suspects.All() == std::vector{KeyOf(1)});
    CPPUNIT_ASSERT(m_suspects.During(Contact(1), m_now - 100ms) ==
                   ProcessProof::kUnproven);
    // It has announced itself since.
    CPPUNIT_ASSERT(m_suspects.During(Contact(1), m_now - 1s) ==
                   ProcessProof::kSame);
    CPPUNIT_ASSERT(m_suspects.During(Contact(1), m_now) ==
                   ProcessProof::kInDoubt);
    m_suspects.Update(m_now + 3s);
    CPPUNIT_ASSERT(m_suspects.IsSuspect(KeyOf(1)));
    m_suspects.Update(m_now + 3001ms);
    CPPUNIT_ASSERT(!m_suspects.IsSuspect(KeyOf(1)));
  }

  // No request was running there, but one had just ended. Endpoints close
  // connections that are idle for a second by themselves.
  void IdleConnectionThatClosesMakesASuspect() {
    m_suspects.OnIdleClosed(Contact(1), 1s, m_now);
    CPPUNIT_ASSERT(!m_suspects.IsSuspect(KeyOf(1)));
    m_suspects.OnIdleClosed(Contact(1), 999ms, m_now);
    CPPUNIT_ASSERT(m_suspects.IsSuspect(KeyOf(1)));
    CPPUNIT_ASSERT(m_suspects.HasNotices());
    CPPUNIT_ASSERT(m_suspects.During(Contact(1), m_now) ==
                   ProcessProof::kInDoubt);
  }

  void EndpointWithANewIdAtEachStartIsNoSuspect() {
    m_suspects.OnBroken(Contact(0), m_now);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_suspects.Size());
    CPPUNIT_ASSERT(!m_suspects.HasNotices());
  }

  void BytesOnAnOlderConnectionClearIt() {
    m_suspects.OnBroken(Contact(1), m_now);
    m_suspects.OnBytes(KeyOf(1), m_now + 10ms, m_now + 1s);
    CPPUNIT_ASSERT(m_suspects.IsSuspect(KeyOf(1)));
    // They may have been sent before the break.
    m_suspects.OnBytes(KeyOf(1), m_now - 1s, m_now + 79ms);
    CPPUNIT_ASSERT(m_suspects.IsSuspect(KeyOf(1)));
    m_suspects.OnBytes(KeyOf(1), m_now - 1s, m_now + 80ms);
    CPPUNIT_ASSERT(!m_suspects.IsSuspect(KeyOf(1)));
    CPPUNIT_ASSERT(m_suspects.During(Contact(1), m_now + 30ms) ==
                   ProcessProof::kSame);
    CPPUNIT_ASSERT(m_suspects.During(Contact(1), m_now + 31ms) ==
                   ProcessProof::kUnproven);
  }

  // An announcement that arrives soon may have been made before the break.
  void LaterAnnouncementClearsIt() {
    m_suspects.OnBroken(Contact(1), m_now);
    m_now += 299ms;
    Announce(1);
    m_suspects.Update(m_now);
    CPPUNIT_ASSERT(m_suspects.IsSuspect(KeyOf(1)));
    m_now += 1ms;
    Announce(1);
    m_suspects.Update(m_now);
    CPPUNIT_ASSERT(!m_suspects.IsSuspect(KeyOf(1)));
  }

  void NextIncarnationIsNoSuspect() {
    m_suspects.OnBroken(Contact(1), m_now);
    Announce(2);
    m_suspects.Update(m_now);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_suspects.Size());
    CPPUNIT_ASSERT(m_suspects.During(Contact(1), m_now - 1s) ==
                   ProcessProof::kSame);
    CPPUNIT_ASSERT(m_suspects.During(Contact(1), m_now) ==
                   ProcessProof::kInDoubt);
  }

  void BreaksAfterTheEndOfAnIncarnationChangeNothing() {
    m_suspects.OnBroken(Contact(1), m_now);
    Announce(2);
    m_suspects.Update(m_now);
    m_suspects.OnBroken(Contact(1), m_now + 500ms);
    m_suspects.OnTold(Contact(1), {KeyOf(1), 0, false}, m_now + 500ms);
    m_suspects.Update(m_now + 500ms);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_suspects.Size());
    CPPUNIT_ASSERT(m_suspects.During(Contact(1), m_now + 100ms) ==
                   ProcessProof::kInDoubt);
  }

  // It says that the endpoint ran until then, and not after the break.
  void NoticeThatArrivesLateClearsNothing() {
    m_suspects.OnBroken(Contact(1), m_now);
    const Duration on_its_way = 1s;
    const wire::ProcessNote ran_before(KeyOf(1), 50, true);
    m_suspects.OnTold(Contact(1), ran_before, m_now + on_its_way - 100ms);
    CPPUNIT_ASSERT(m_suspects.IsSuspect(KeyOf(1)));
  }

  // All connections to an endpoint break at once; later breaks are news.
  void BrokenConnectionsAreToldOnce() {
    m_suspects.OnBroken(Contact(1), m_now);
    m_suspects.OnBroken(Contact(1), m_now);
    m_now += 5ms;
    const std::vector<wire::ProcessNote> told = m_suspects.TakeNotices(m_now);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, told.size());
    CPPUNIT_ASSERT_EQUAL(KeyOf(1), told[0].endpoint());
    CPPUNIT_ASSERT_EQUAL(uint32_t{5}, told[0].age_ms());
    CPPUNIT_ASSERT(!m_suspects.HasNotices());
    m_suspects.OnBroken(Contact(1), m_now);
    CPPUNIT_ASSERT(m_suspects.HasNotices());
  }

  void WhatAnotherEntryToldIsNotToldAgain() {
    m_suspects.OnTold(Contact(1), {KeyOf(1), 70, false}, m_now);
    CPPUNIT_ASSERT(m_suspects.IsSuspect(KeyOf(1)));
    CPPUNIT_ASSERT(!m_suspects.HasNotices());
    // The notice was on its way for 30 ms at the most.
    CPPUNIT_ASSERT(m_suspects.During(Contact(1), m_now - 100ms) ==
                   ProcessProof::kInDoubt);
    CPPUNIT_ASSERT(m_suspects.During(Contact(1), m_now - 101ms) ==
                   ProcessProof::kUnproven);
    // But an entry that connects learns of all.
    CPPUNIT_ASSERT_EQUAL(size_t{2}, m_suspects.AllNotices(m_now).size());
  }

  // It had a connection that is older than the break.
  void EndpointThatAnotherEntrySawRunningIsCleared() {
    m_suspects.OnBroken(Contact(1), m_now);
    RestartSuspects other(m_directory);
    const std::vector<wire::ProcessNote> broken = m_suspects.TakeNotices(m_now);
    other.OnTold(Contact(1), broken.at(0), m_now + 30ms);
    other.OnTold(Contact(1), {KeyOf(1), 50, true}, m_now + 79ms);
    CPPUNIT_ASSERT(other.IsSuspect(KeyOf(1)));
    m_suspects.OnBytes(KeyOf(1), m_now - 1s, m_now + 90ms);
    const std::vector<wire::ProcessNote> runs =
        m_suspects.TakeNotices(m_now + 90ms);
    CPPUNIT_ASSERT(runs.at(0).runs());
    other.OnTold(Contact(1), runs[0], m_now + 120ms);
    CPPUNIT_ASSERT(!other.IsSuspect(KeyOf(1)));
    // A later break counts anew.
    other.OnBroken(Contact(1), m_now + 130ms);
    other.OnTold(Contact(1), runs[0], m_now + 135ms);
    CPPUNIT_ASSERT(other.IsSuspect(KeyOf(1)));
  }

  void ChangesOfBeliefAreLogged() {
    m_suspects.OnBroken(Contact(1), m_now);
    m_suspects.OnBroken(Contact(1), m_now);
    m_now += 1s;
    Announce(1);
    m_suspects.Update(m_now);
    const std::vector<RestartBelief> beliefs = m_suspects.TakeBeliefs();
    CPPUNIT_ASSERT_EQUAL(size_t{2}, beliefs.size());
    CPPUNIT_ASSERT(beliefs[0].suspected);
    CPPUNIT_ASSERT(beliefs[0].evidence == RestartEvidence::kConnectionBroke);
    CPPUNIT_ASSERT(!beliefs[1].suspected);
    CPPUNIT_ASSERT(beliefs[1].evidence == RestartEvidence::kAnnounced);
    CPPUNIT_ASSERT(beliefs[1].after == 1s);
  }

 private:
  static EndpointKey KeyOf(uint64_t incarnation) {
    return origins::KeyOf(Contact(incarnation));
  }
  static EndpointContact Contact(uint64_t incarnation) {
    EndpointContact contact;
    contact.id = "e";
    contact.incarnation = incarnation;
    return contact;
  }

  void Announce(uint64_t incarnation) {
    wire::EndpointRecordT record;
    record.id = "e";
    record.incarnation = incarnation;
    record.services = {"s"};
    record.sequence = ++m_sequence;
    m_directory.OnRecord(record, m_now);
  }

  Instant m_now{1000s};
  uint64_t m_sequence = 0;
  directory::Directory m_directory;
  RestartSuspects m_suspects{m_directory};
};
CPPUNIT_TEST_SUITE_REGISTRATION(RestartSuspectsTest);

}  // namespace
}  // namespace dotterelshift::origins
