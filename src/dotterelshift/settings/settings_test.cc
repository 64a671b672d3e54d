#include "dotterelshift/settings/settings.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <cstdio>   // for remove
#include <fstream>  // for ofstream

#include "dotterelshift/base/error.h"  // for Error

namespace dotterelshift::settings {
namespace {

const std::string kEntry =
    "host: plateau-1\n"
    "fleet: association\n"
    "data_centre: plateau\n"
    "role: entry\n"
    "secret_file: /etc/secret\n";

// A line added to valid settings, and a text that the error must contain.
struct BadCase {
  std::string added;
  std::string refusal;
};

const BadCase kBadSettings[] = {
    {"colour: red\n", "s.yaml:6: unknown field 'colour'"},
    {"host: other\n", "s.yaml:6: field 'host' stands twice"},
    {"max_attempts: -1\n", "s.yaml:6: max_attempts '-1' is negative"},
    {"max_attempts: 11\n", "out of bounds (expected a whole number from 1"},
    {"max_attempts: many\n", "is not a whole number"},
    {"max_body_bytes: 5X\n", "has a wrong unit"},
    {"max_output_limit: 99999999999999999999\n", "is too large"},
    {"max_output_limit: 9223372036854775807G\n", "is too large"},
    {"shutdown_notice: 5\n", "s.yaml:6: shutdown_notice '5' has a wrong unit"},
    {"shutdown_notice: 5 s\n", "has a wrong unit"},
    {"shutdown_notice: -5s\n", "is negative"},
    {"cut_off_after: 1ms\n", "out of bounds (expected a time from 500ms"},
    {"http_port: 70000\n", "out of bounds"},
    {"http_address: localhost\n", "is not an IP number"},
    {"peers: 10.0.0.1:7400\n", "peers is not a list"},
    {"peers: [10.0.0.1]\n", "is not an address (expected IP:port"},
    {"peers: ['10.0.0.1:0']\n", "is not an address (expected IP:port"},
    {"log_level: loud\n", "(expected one of info, warning, error)"},
    {"serve_when_cut_off: maybe\n", "(expected one of false, true)"},
    {"first_members: [a, a]\n", "names 'a' twice"},
    {"first_members: [a, b]\n", "s.yaml:6: first_members does not name"},
    {"default_output_limit: 40000\n", "is above max_output_limit"},
    {"port_file: [a]\n", "port_file is not a text"},
    {"---\nhost: b\n", "a second document"},
    {"peers: [\n", "not valid YAML"},
};

std::string RefusalOf(const std::string& yaml) {
  try {
    ParseSettings(yaml, "s.yaml");
  } catch (const Error& error) {
    CPPUNIT_ASSERT(error.Kind() == ErrorKind::kBadSettings);
    return error.what();
  }
  return "accepted";
}

void AssertHolds(const std::string& text, const std::string& part) {
  CPPUNIT_ASSERT_MESSAGE("'" + text + "' lacks '" + part + "'",
                         text.find(part) != std::string::npos);
}

// A file that is removed when the test ends.
class ScratchFile {
 public:
  explicit ScratchFile(const std::string& content)
      : m_path(std::string(DOTTERELSHIFT_BINARY_DIR) + "/settings_test.txt") {
    std::ofstream(m_path) << content;
  }
  ~ScratchFile() { std::remove(m_path.c_str()); }
  ScratchFile(const ScratchFile&) = delete;
  ScratchFile& operator=(const ScratchFile&) = delete;
  const std::string& Path() const { return m_path; }

 private:
  std::string m_path;
};

class SettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsTest);
  CPPUNIT_TEST(GoodSettingsAreRead);
  CPPUNIT_TEST(BadSettingsAreRefusedWithTheirLine);
  CPPUNIT_TEST(MissingRequiredSettingsAreRefused);
  CPPUNIT_TEST(SecretsAreChecked);
  CPPUNIT_TEST(OperatorKeysAreChecked);
  CPPUNIT_TEST(TableHasEverySetting);
  CPPUNIT_TEST_SUITE_END();

  void GoodSettingsAreRead() {
    const Settings settings = ParseSettings(
        kEntry +
            "peers: ['10.0.0.1:7400', '10.0.0.2:7400']\nmax_output_limit: 2k\n"
            "cut_off_after: 1500ms\nserve_when_cut_off: false\n",
        "s.yaml");
    CPPUNIT_ASSERT_EQUAL(std::string("plateau-1"), settings.host);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, settings.peers.size());
    CPPUNIT_ASSERT_EQUAL(Tokens{2000}, settings.max_output_limit);
    CPPUNIT_ASSERT(settings.cut_off_after == 1500ms);
    CPPUNIT_ASSERT(!settings.serve_when_cut_off);
  }

  void BadSettingsAreRefusedWithTheirLine() {
    for (const BadCase& bad : kBadSettings)
      AssertHolds(RefusalOf(kEntry + bad.added), bad.refusal);
  }

  void MissingRequiredSettingsAreRefused() {
    AssertHolds(RefusalOf("host: a\n"), "s.yaml:1: the settings has no fleet");
    AssertHolds(RefusalOf(""), "the settings is not a map");
    std::string control = kEntry;
    control.replace(control.find("entry"), 5, "control");
    AssertHolds(RefusalOf(control), "control has no data_folder");
  }

  void SecretsAreChecked() {
    const ScratchFile good("0123456789abcdef\n");
    CPPUNIT_ASSERT_EQUAL(std::string("0123456789abcdef"),
                         ReadSecret(good.Path()));
    const ScratchFile small("short\n");
    CPPUNIT_ASSERT_THROW(ReadSecret(small.Path()), Error);
    const ScratchFile two("0123456789abcdef 0123456789abcdef\n");
    CPPUNIT_ASSERT_THROW(ReadSecret(two.Path()), Error);
    CPPUNIT_ASSERT_THROW(ReadSecret(two.Path() + ".none"), Error);
  }

  void OperatorKeysAreChecked() {
    const ScratchFile good(
        "# team\nawa 0123456789abcdef\n\nlebo fedcba9876543210\n");
    const auto keys = ReadOperatorKeys(good.Path());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, keys.size());
    CPPUNIT_ASSERT_EQUAL(std::string("lebo"), keys[1].name);
    for (const char* bad :
         {"awa\n", "awa short\n", "awa 0123456789abcdef more\n", "# none\n",
          "awa 0123456789abcdef\nawa fedcba9876543210\n",
          "awa 0123456789abcdef\nlebo 0123456789abcdef\n"}) {
      const ScratchFile file(bad);
      CPPUNIT_ASSERT_THROW_MESSAGE(bad, ReadOperatorKeys(file.Path()), Error);
    }
  }

  void TableHasEverySetting() {
    for (const SettingRow& row : SettingTable()) {
      CPPUNIT_ASSERT(!row.meaning.empty() && !row.bounds.empty());
      CPPUNIT_ASSERT(!row.default_value.empty());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

}  // namespace
}  // namespace dotterelshift::settings
