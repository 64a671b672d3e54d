// An entry that is cut off from the others, or stands still, does not learn
// that endpoints of another version begin to serve. It must not take the one
// that it knows for the only one.
#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include "dotterelshift/gateway/core_testing.h"  // for CoreFixture

namespace dotterelshift::gateway {
namespace {

class CoreOutOfStepTest : public CoreFixture {
  CPPUNIT_TEST_SUITE(CoreOutOfStepTest);
  CPPUNIT_TEST(LookupThatNobodyAnsweredProvesNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    CoreFixture::setUp();
    CoreDependencies parts = Parts();
    parts.lookup = &m_lookup;
    m_core = MakeCore(CoreOptions(), parts);
    Publish();
    m_now += 100s;
    m_core->OnViewComplete(m_now - 50s);
  }

  void LookupThatNobodyAnsweredProvesNothing() {
    m_lookup.SetControl({"c:1"});
    m_lookup.OnUp("c:1", "control", m_now);
    Resume("first");
    m_lookup.TakeQuestions(m_now);
    m_now += origins::OriginLookupOptions().timeout;
    m_lookup.OnTimer(m_now);
    m_core->OnOriginsLookedUp(m_lookup.TakeEnded(), m_now);
    Collect();
    ExpectRefused();
  }

 private:
  // Its caller may come again soon.
  void ExpectRefused() {
    CPPUNIT_ASSERT(Only<Refuse>().kind == ErrorKind::kNotResumable);
    CPPUNIT_ASSERT(RowOf(Only<Refuse>().kind).ran == Ran::kNo);
    CPPUNIT_ASSERT(Only<Refuse>().retry_after <=
                   2 * CoreOptions().min_retry_after);
  }

  origins::OriginLookup m_lookup;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CoreOutOfStepTest);

}  // namespace
}  // namespace dotterelshift::gateway
