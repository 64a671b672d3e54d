#include "dotterelshift/telemetry/log.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <nlohmann/json.hpp>  // for json
#include <optional>           // for optional

#include "dotterelshift/telemetry/log_testing.h"  // for CapturedLog

namespace dotterelshift::telemetry {
namespace {

class LogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogTest);
  CPPUNIT_TEST(LogLineIsOneJsonObject);
  CPPUNIT_TEST(BadBytesDoNotThrow);
  CPPUNIT_TEST(LinesBelowTheLevelAreDropped);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { m_log.emplace(LogLevel::kWarning); }
  void tearDown() override { m_log.reset(); }

 private:
  void LogLineIsOneJsonObject() {
    Log(LogLevel::kError, "leader changed", {{"leader", "a \"b\"\nc"}});
    const std::string text = m_log->Text();
    const auto line = nlohmann::json::parse(text);
    CPPUNIT_ASSERT_EQUAL(std::string("plateau-1"),
                         line["host"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(std::string("error"),
                         line["level"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(std::string("a \"b\"\nc"),
                         line["leader"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(text.size() - 1, text.find('\n'));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_log->Count("leader changed"));
  }

  void BadBytesDoNotThrow() {
    Log(LogLevel::kError, "\xff", {{"detail", "\xc3"}});
    CPPUNIT_ASSERT(nlohmann::json::accept(m_log->Text()));
  }

  void LinesBelowTheLevelAreDropped() {
    Log(LogLevel::kInfo, "quiet");
    CPPUNIT_ASSERT(m_log->Text().empty());
  }

  std::optional<CapturedLog> m_log;  // while a test runs
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogTest);

}  // namespace
}  // namespace dotterelshift::telemetry
