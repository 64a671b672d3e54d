#include "dotterelshift/gateway/response_verdict.h"

#include <cppunit/TestFixture.h>              // for TestFixture
#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <string>  // for string, to_string

namespace dotterelshift::gateway {
namespace {

using enum ResponseVerdict;

// One kind of response, and what it proves on a kept and on a new connection.
struct Row {
  int status = 0;
  const char* echoed_id = "";
  bool states_not_run = false;
  ResponseVerdict kept = kOfAnother;
  ResponseVerdict fresh = kOfAnother;
};

constexpr Row kRows[] = {
    {200, "own", false, kRan, kRan},
    {200, "own", true, kRan, kRan},
    {200, "other", false, kOfAnother, kOfAnother},
    {200, "", false, kOfAnother, kRan},
    {302, "own", true, kRan, kRan},
    {400, "own", false, kRan, kRan},
    {400, "own", true, kNotRun, kNotRun},
    {400, "", true, kOfAnother, kNotRun},
    {408, "own", false, kRan, kRan},
    {408, "own", true, kNotRun, kNotRun},
    {408, "other", true, kOfAnother, kOfAnother},
    {421, "own", false, kMisdirected, kMisdirected},
    {421, "own", true, kMisdirected, kMisdirected},
    {421, "other", true, kOfAnother, kOfAnother},
    {421, "", false, kOfAnother, kMisdirected},
    {425, "own", false, kRan, kRan},
    {429, "own", false, kRan, kRan},
    {429, "own", true, kNotRun, kNotRun},
    {429, "other", true, kOfAnother, kOfAnother},
    {500, "own", false, kRan, kRan},
    {503, "own", false, kRan, kRan},
    {503, "own", true, kNotRun, kNotRun},
    {503, "other", true, kOfAnother, kOfAnother},
    {503, "other", false, kOfAnother, kOfAnother},
    {503, "", true, kOfAnother, kNotRun},
    {504, "own", false, kRan, kRan},
};

class ResponseVerdictTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ResponseVerdictTest);
  CPPUNIT_TEST(HeadProvesNoMoreThanItSaysOfThisRequest);
  CPPUNIT_TEST_SUITE_END();

 public:
  void HeadProvesNoMoreThanItSaysOfThisRequest() {
    for (const Row& row : kRows) {
      ResponseInfo response;
      response.echoed_id = row.echoed_id;
      response.not_run = row.states_not_run;
      response.address_reassigned = row.status == 421;
      const std::string what = std::to_string(row.status) + " " +
                               row.echoed_id +
                               (row.states_not_run ? " not run" : "");
      CPPUNIT_ASSERT_MESSAGE(
          what, Judge({"own", false}, row.status, response) == row.kept);
      CPPUNIT_ASSERT_MESSAGE(
          what, Judge({"own", true}, row.status, response) == row.fresh);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResponseVerdictTest);

}  // namespace
}  // namespace dotterelshift::gateway
