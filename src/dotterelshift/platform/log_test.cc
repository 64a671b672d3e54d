#include "dotterelshift/platform/log.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <nlohmann/json.hpp>  // for json
#include <sstream>            // for ostringstream

namespace dotterelshift::platform {
namespace {

class LogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogTest);
  CPPUNIT_TEST(ALineIsOneJsonObject);
  CPPUNIT_TEST(BadBytesDoNotThrow);
  CPPUNIT_TEST(LinesBelowTheLevelAreLeftOut);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    Stream().str("");
    StartLog("plateau-1", LogLevel::kWarning, Stream());
  }

  void tearDown() override { StartLog("tests", LogLevel::kError, Stream()); }

 private:
  // Lives as long as the log, which keeps writing to it.
  static std::ostringstream& Stream() {
    static auto* const stream = new std::ostringstream;
    return *stream;
  }

  void ALineIsOneJsonObject() {
    Log(LogLevel::kError, "leader changed", {{"leader", "a \"b\"\nc"}});
    const auto line = nlohmann::json::parse(Stream().str());
    CPPUNIT_ASSERT_EQUAL(std::string("plateau-1"),
                         line["host"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(std::string("error"),
                         line["level"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(std::string("a \"b\"\nc"),
                         line["leader"].get<std::string>());
    const std::string text = Stream().str();
    CPPUNIT_ASSERT_EQUAL(text.size() - 1, text.find('\n'));
  }

  void BadBytesDoNotThrow() {
    Log(LogLevel::kError, "\xff", {{"detail", "\xc3"}});
    CPPUNIT_ASSERT(nlohmann::json::accept(Stream().str()));
  }

  void LinesBelowTheLevelAreLeftOut() {
    Log(LogLevel::kInfo, "quiet");
    CPPUNIT_ASSERT(Stream().str().empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogTest);

}  // namespace
}  // namespace dotterelshift::platform
