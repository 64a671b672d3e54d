#include "dotterelshift/ctl/explain.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <sstream>  // for istringstream

namespace dotterelshift::ctl {
namespace {

class ExplainTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ExplainTest);
  CPPUNIT_TEST(LinesAreOrderedAcrossHosts);
  CPPUNIT_TEST(UnrelatedLinesAreIgnored);
  CPPUNIT_TEST_SUITE_END();

  void LinesAreOrderedAcrossHosts() {
    RequestTrace trace("r1");
    std::istringstream second(
        "12.1 b {\"time\":\"T3\",\"host\":\"b\",\"event\":\"sent\","
        "\"request\":\"r1\",\"endpoint\":\"e\"}\n");
    std::istringstream first(
        R"({"time":"T1","level":"info","host":"a","event":"sent","request":"r1","send":"1"}
{"time":"T2","host":"a","event":"peer_down","peer":"x"}
{"time":"T2","host":"c","event":"peer_down","peer":"x"}
{"time":"T2","host":"a","event":"sent","request":"r2"}
{"time":"T9","host":"a","event":"peer_up","peer":"x"}
{"time":"T4","host":"a","event":"ended","request":"r1","outcome":"stream_cut"}
)");
    trace.ReadLog(second);
    trace.ReadLog(first);
    CPPUNIT_ASSERT(trace.HasRequest());
    const std::vector<LogLine> lines = trace.Lines();
    CPPUNIT_ASSERT_EQUAL(size_t{4}, lines.size());
    CPPUNIT_ASSERT_EQUAL(std::string(" send=1"), lines[0].rest);
    CPPUNIT_ASSERT_EQUAL(std::string("peer_down"), lines[1].event);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), lines[2].host);
    CPPUNIT_ASSERT_EQUAL(std::string("ended"), lines[3].event);
  }

  void UnrelatedLinesAreIgnored() {
    RequestTrace trace("r1");
    std::istringstream log("no json\n{\"half\n{}\n[1]\n\xff\n{\"event\":5}\n");
    trace.ReadLog(log);
    CPPUNIT_ASSERT(!trace.HasRequest());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ExplainTest);

}  // namespace
}  // namespace dotterelshift::ctl
