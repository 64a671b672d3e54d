#include "dotterelshift/base/error.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <set>  // for set

namespace dotterelshift {
namespace {

class ErrorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ErrorTest);
  CPPUNIT_TEST(NamesAndKindsAreUnique);
  CPPUNIT_TEST(RetryAfterIsSetOnlyForLater);
  CPPUNIT_TEST(OnlyWhatDidNotRunHasAStatusThatPromisesSo);
  CPPUNIT_TEST(UnknownNumberIsInternal);
  CPPUNIT_TEST_SUITE_END();

 public:
  void NamesAndKindsAreUnique() {
    std::set<std::string_view> names;
    std::set<ErrorKind> kinds;
    for (const ErrorRow& row : ErrorTable()) {
      CPPUNIT_ASSERT_MESSAGE(std::string(row.name),
                             names.insert(row.name).second);
      CPPUNIT_ASSERT_MESSAGE(std::string(row.name),
                             kinds.insert(row.kind).second);
      CPPUNIT_ASSERT_MESSAGE(std::string(row.name), &RowOf(row.kind) == &row);
    }
  }

  void RetryAfterIsSetOnlyForLater() {
    for (const ErrorRow& row : ErrorTable()) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(std::string(row.name),
                                   row.retry == RetryAdvice::kLater,
                                   row.retry_after_seconds > 0);
    }
  }

  // Callers send a request again after these statuses.
  void OnlyWhatDidNotRunHasAStatusThatPromisesSo() {
    const std::set<int> promises = {408, 421, 429, 503};
    for (const ErrorRow& row : ErrorTable()) {
      CPPUNIT_ASSERT_MESSAGE(
          std::string(row.name),
          row.ran == Ran::kNo || !promises.contains(row.status));
    }
  }

  void UnknownNumberIsInternal() {
    CPPUNIT_ASSERT(RowOf(static_cast<ErrorKind>(9999)).kind ==
                   ErrorKind::kInternal);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ErrorTest);

}  // namespace
}  // namespace dotterelshift
