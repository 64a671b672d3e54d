// Checks that the documentation lists every error kind, setting, verb and exit
// code of the code.
#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <fstream>  // for ifstream
#include <sstream>  // for ostringstream

#include "dotterelshift/base/error.h"  // for ErrorTable
#include "dotterelshift/ctl/ctl.h"     // for VerbTable, ExitTable
#include "dotterelshift/ctl/output.h"  // for WriteSettingTable

namespace dotterelshift {
namespace {

std::string ReadPage(const std::string& name) {
  std::ifstream file(std::string(DOTTERELSHIFT_SOURCE_DIR) + "/docs/" + name);
  std::ostringstream content;
  content << file.rdbuf();
  return content.str();
}

// Returns the lines of a page that begin with `start`.
std::vector<std::string> LinesOf(const std::string& page,
                                 const std::string& start) {
  std::vector<std::string> lines;
  std::istringstream content(page);
  for (std::string line; std::getline(content, line);)
    if (line.starts_with(start)) lines.push_back(line);
  return lines;
}

void AssertOneLine(const std::string& page, const std::string& start) {
  CPPUNIT_ASSERT_EQUAL_MESSAGE(start, size_t{1}, LinesOf(page, start).size());
}

class DocsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DocsTest);
  CPPUNIT_TEST(EveryErrorKindIsDocumented);
  CPPUNIT_TEST(SettingsPageContainsTheTable);
  CPPUNIT_TEST(EveryVerbAndExitCodeIsDocumented);
  CPPUNIT_TEST_SUITE_END();

  void EveryErrorKindIsDocumented() {
    const std::string page = ReadPage("OPERATING.md");
    const std::string kinds = page.substr(page.find("## Error kinds"));
    for (const ErrorRow& row : ErrorTable()) {
      const std::string start = "| `" + std::string(row.name) + "` | " +
                                std::to_string(row.status) + " | " +
                                std::string(NameOf(row.ran)) + " | " +
                                std::string(row.sentence) + " | ";
      AssertOneLine(kinds, start);
    }
    CPPUNIT_ASSERT_EQUAL(ErrorTable().size(), LinesOf(kinds, "| `").size());
  }

  void SettingsPageContainsTheTable() {
    std::ostringstream table;
    ctl::WriteSettingTable(table);
    const std::string page = ReadPage("SETTINGS.md");
    CPPUNIT_ASSERT_MESSAGE(
        "docs/SETTINGS.md is not what check-settings --list prints",
        page.find("\n" + table.str() + "\n") != std::string::npos);
  }

  void EveryVerbAndExitCodeIsDocumented() {
    const std::string page = ReadPage("CTL.md");
    for (const ctl::VerbRow& row : ctl::VerbTable())
      AssertOneLine(page, "| `" + std::string(row.name) + "` | ");
    CPPUNIT_ASSERT_EQUAL(ctl::VerbTable().size(), LinesOf(page, "| `").size());
    for (const ctl::ExitRow& row : ctl::ExitTable()) {
      AssertOneLine(page, "| " + std::to_string(static_cast<int>(row.code)) +
                              " | " + std::string(row.meaning) + " | ");
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DocsTest);

}  // namespace
}  // namespace dotterelshift
