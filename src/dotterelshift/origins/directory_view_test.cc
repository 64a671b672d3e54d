#include "dotterelshift/origins/directory_view.h"

#include <cppunit/TestFixture.h>              // for TestFixture
#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

namespace dotterelshift::origins {
namespace {

class DirectoryViewTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DirectoryViewTest);
  CPPUNIT_TEST(EntryThatHasJustStartedKnowsNothingOfTheTimeBefore);
  CPPUNIT_TEST(CutOffEntryMayMissEndpoints);
  CPPUNIT_TEST(ShortInterruptionDoesNotMatter);
  CPPUNIT_TEST(LongInterruptionBeginsANewView);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Control's directory may be older, but does not tell what an endpoint was
  // before it started again under its id.
  void EntryThatHasJustStartedKnowsNothingOfTheTimeBefore() {
    m_view.Update({false, At(0s)}, At(0s));
    CPPUNIT_ASSERT(!m_view.CompleteSince());
    m_view.Update({true, At(0s)}, At(1s));
    CPPUNIT_ASSERT(m_view.CompleteSince() == At(1s));
  }

  void CutOffEntryMayMissEndpoints() {
    m_view.Update({true, At(0s)}, At(2s));
    CPPUNIT_ASSERT(m_view.CompleteSince() == At(2s));
    m_view.Update({true, At(0s)}, At(2001ms));
    CPPUNIT_ASSERT(!m_view.CompleteSince());
  }

  void ShortInterruptionDoesNotMatter() {
    m_view.Update({true, At(0s)}, At(0s));
    m_view.Update({false, At(0s)}, At(3s));
    CPPUNIT_ASSERT(!m_view.CompleteSince());
    m_view.Update({true, At(5s)}, At(5s));
    CPPUNIT_ASSERT(m_view.CompleteSince() == At(0s));
  }

  void LongInterruptionBeginsANewView() {
    m_view.Update({true, At(0s)}, At(0s));
    m_view.Update({true, At(6s)}, At(6s));
    CPPUNIT_ASSERT(m_view.CompleteSince() == At(6s));
  }

 private:
  static Instant At(Duration time) { return Instant(1000s) + time; }

  DirectoryView m_view;
};
CPPUNIT_TEST_SUITE_REGISTRATION(DirectoryViewTest);

}  // namespace
}  // namespace dotterelshift::origins
