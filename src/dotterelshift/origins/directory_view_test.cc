#include "dotterelshift/origins/directory_view.h"

#include <cppunit/TestFixture.h>              // for TestFixture
#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

namespace dotterelshift::origins {
namespace {

class DirectoryViewTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DirectoryViewTest);
  CPPUNIT_TEST(EntryThatHasJustStartedKnowsWhatControlKnows);
  CPPUNIT_TEST(OwnViewCountsIfControlHasJustStarted);
  CPPUNIT_TEST(CutOffEntryMayMissEndpoints);
  CPPUNIT_TEST(LongInterruptionBeginsANewView);
  CPPUNIT_TEST(InterruptionDoesNotMatterIfControlKnewTheEndpointsAllAlong);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EntryThatHasJustStartedKnowsWhatControlKnows() {
    m_view.Update({false, At(0s), At(-100s)}, At(0s));
    CPPUNIT_ASSERT(!m_view.CompleteSince());
    m_view.Update({true, At(0s), At(-100s)}, At(1s));
    CPPUNIT_ASSERT(m_view.CompleteSince() == At(-100s));
  }

  void OwnViewCountsIfControlHasJustStarted() {
    m_view.Update({true, At(0s), At(-1s)}, At(0s));
    m_view.Update({true, At(4s), At(3s)}, At(4s));
    CPPUNIT_ASSERT(m_view.CompleteSince() == At(0s));
  }

  void CutOffEntryMayMissEndpoints() {
    m_view.Update({true, At(0s), At(-100s)}, At(2s));
    CPPUNIT_ASSERT(m_view.CompleteSince() == At(-100s));
    m_view.Update({true, At(0s), At(-100s)}, At(2001ms));
    CPPUNIT_ASSERT(!m_view.CompleteSince());
  }

  void LongInterruptionBeginsANewView() {
    m_view.Update({true, At(0s), std::nullopt}, At(0s));
    m_view.Update({true, At(6s), std::nullopt}, At(6s));
    CPPUNIT_ASSERT(m_view.CompleteSince() == At(6s));
  }

  void InterruptionDoesNotMatterIfControlKnewTheEndpointsAllAlong() {
    m_view.Update({true, At(0s), At(-100s)}, At(0s));
    m_view.Update({false, At(0s), At(-100s)}, At(20s));
    CPPUNIT_ASSERT(!m_view.CompleteSince());
    m_view.Update({true, At(21s), At(-100s)}, At(21s));
    CPPUNIT_ASSERT(m_view.CompleteSince() == At(-100s));
    // Control was started during the next one.
    m_view.Update({true, At(41s), At(30s)}, At(41s));
    CPPUNIT_ASSERT(m_view.CompleteSince() == At(30s));
  }

 private:
  static Instant At(Duration time) { return Instant(1000s) + time; }

  DirectoryView m_view;
};
CPPUNIT_TEST_SUITE_REGISTRATION(DirectoryViewTest);

}  // namespace
}  // namespace dotterelshift::origins
