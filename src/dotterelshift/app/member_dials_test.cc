#include "dotterelshift/app/member_dials.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

namespace dotterelshift::app {
namespace {

class MemberDialsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MemberDialsTest);
  CPPUNIT_TEST(RemovedMemberIsGivenUpAfterAWhile);
  CPPUNIT_TEST(HostThatJoinsLaterIsKept);
  CPPUNIT_TEST_SUITE_END();

  void RemovedMemberIsGivenUpAfterAWhile() {
    MemberDials dials;
    dials.OnDialled("a:1", m_now);
    m_now += 60s;
    CPPUNIT_ASSERT(dials.TakeUnwanted({"a:1"}, m_now).empty());
    m_now += 1s;
    CPPUNIT_ASSERT(dials.TakeUnwanted({}, m_now).empty());
    m_now += 60s;
    const auto unwanted = dials.TakeUnwanted({"b:1"}, m_now);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, unwanted.size());
    CPPUNIT_ASSERT_EQUAL(std::string("a:1"), unwanted.front());
    CPPUNIT_ASSERT(dials.TakeUnwanted({}, m_now).empty());
  }

  void HostThatJoinsLaterIsKept() {
    MemberDials dials;
    dials.OnDialled("a:1", m_now);
    m_now += 10s;
    CPPUNIT_ASSERT(dials.TakeUnwanted({}, m_now).empty());
    CPPUNIT_ASSERT(dials.TakeUnwanted({"a:1"}, m_now).empty());
    m_now += 25s;
    CPPUNIT_ASSERT(dials.TakeUnwanted({}, m_now).empty());
  }

  Instant m_now{1000s};
};
CPPUNIT_TEST_SUITE_REGISTRATION(MemberDialsTest);

}  // namespace
}  // namespace dotterelshift::app
