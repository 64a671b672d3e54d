// Runs every script of scenarios/ over the real cores, and checks that the
// table of docs/SCENARIOS.md matches the coverage that the scripts declare.
#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <fstream>  // for ifstream
#include <sstream>  // for ostringstream

#include "dotterelshift/base/error.h"  // for Error
#include "scenarios/script.h"          // for RunScript

namespace dotterelshift::scenarios {
namespace {

// Runs one script as a test named after its file.
class ScriptTest : public CppUnit::TestCase {
 public:
  explicit ScriptTest(const std::string& file)
      : CppUnit::TestCase("scenario " + file), m_file(file) {}

  void runTest() override {
    const ScriptResult result = RunScript(m_file);
    if (result.broken.empty()) return;
    std::string text = result.trace;
    for (const std::string& line : result.broken) text += line + "\n";
    CPPUNIT_FAIL("\n" + text);
  }

 private:
  std::string m_file;
};

class AllScripts {
 public:
  static CppUnit::Test* suite() {
    auto* all = new CppUnit::TestSuite("scenarios");
    for (const std::string& file : ScriptFiles())
      all->addTest(new ScriptTest(file));
    return all;
  }
};

std::string ReadPage() {
  std::ifstream file(std::string(DOTTERELSHIFT_SOURCE_DIR) +
                     "/docs/SCENARIOS.md");
  std::ostringstream content;
  content << file.rdbuf();
  return content.str();
}

class ScenarioTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ScenarioTableTest);
  CPPUNIT_TEST(PageContainsTheCoverageTable);
  CPPUNIT_TEST(EveryPromiseAndFailureIsCovered);
  CPPUNIT_TEST_SUITE_END();

  void PageContainsTheCoverageTable() {
    const std::string table = CoverageTable();
    CPPUNIT_ASSERT_MESSAGE(
        "docs/SCENARIOS.md should hold\n" + table,
        ReadPage().find("\n" + table + "\n") != std::string::npos);
  }

  void EveryPromiseAndFailureIsCovered() {
    std::string covered;
    for (const std::string& file : ScriptFiles()) {
      const Coverage coverage = ReadCoverage(file);
      for (const auto& word : coverage.promises) covered += " " + word;
      for (const auto& word : coverage.failures) covered += " " + word;
    }
    for (const auto& words : {Promises(), Failures()})
      for (const std::string& word : words)
        CPPUNIT_ASSERT_MESSAGE(word, covered.find(word) != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ScenarioTableTest);
CPPUNIT_TEST_SUITE_REGISTRATION(AllScripts);

}  // namespace
}  // namespace dotterelshift::scenarios
