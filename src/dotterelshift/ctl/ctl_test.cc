#include "dotterelshift/ctl/ctl.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <cstdio>             // for remove
#include <fstream>            // for ofstream
#include <map>                // for map
#include <nlohmann/json.hpp>  // for json
#include <sstream>            // for ostringstream

#include "dotterelshift/base/error.h"         // for ErrorTable
#include "dotterelshift/settings/settings.h"  // for SettingTable

namespace dotterelshift::ctl {
namespace {

const std::string kReport = R"({
  "from": "2026-12-01", "to": "2026-12-02", "time_buckets_ms": [50, 100],
  "days": [{"team": "ucad", "day": "2026-12-01", "requests": 9, "answered": 6,
            "spent": 120, "billed": 100, "wasted": 20,
            "refusals": {"queue_full": {"with_budget_left": 2, "without_budget_left": 1}},
            "first_token_ms": {"gold": [1, 2, 3]}, "total_ms": {"gold": [0, 2, 4]}}],
  "budgets": [{"budget": "b1", "team": "ucad", "bought": 1000, "spent": 120, "billed": 100,
               "wasted": 20, "granted": 30, "stranded": 5, "free": 845,
               "holders": [{"host": "e1", "incarnation": 7, "tokens": 30, "opened": 0}]}],
  "disagreements": []})";

const std::string kCsv = R"(team,day,measure,detail,value
ucad,2026-12-01,requests,,9
ucad,2026-12-01,answered,,6
ucad,2026-12-01,spent,,120
ucad,2026-12-01,billed,,100
ucad,2026-12-01,wasted,,20
ucad,2026-12-01,refused_with_budget_left,queue_full,2
ucad,2026-12-01,refused_without_budget_left,queue_full,1
ucad,2026-12-01,first_token_ms,gold <=50,1
ucad,2026-12-01,first_token_ms,gold <=100,2
ucad,2026-12-01,first_token_ms,gold >100,3
ucad,2026-12-01,total_ms,gold <=50,0
ucad,2026-12-01,total_ms,gold <=100,2
ucad,2026-12-01,total_ms,gold >100,4
ucad,,budget_bought,b1,1000
ucad,,budget_spent,b1,120
ucad,,budget_billed,b1,100
ucad,,budget_wasted,b1,20
ucad,,budget_granted,b1,30
ucad,,budget_stranded,b1,5
ucad,,budget_free,b1,845
)";

// Returns a prepared response per host, and records what was sent.
class MockTransport : public Transport {
 public:
  TransportResponse Send(const std::string& host,
                         const TransportRequest& request) override {
    requested_hosts.push_back(host);
    last = request;
    return answers[host];
  }
  std::map<std::string, TransportResponse> answers;
  std::vector<std::string> requested_hosts;
  TransportRequest last;
};

std::string ErrorText(ErrorKind kind) {
  return R"({"error": {"kind": ")" + std::string(RowOf(kind).name) +
         R"(", "message": "m", "detail": "by awa"}})";
}

class CtlTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CtlTest);
  CPPUNIT_TEST(EveryVerbHasHelp);
  CPPUNIT_TEST(BadCommandLinesAreUsageErrors);
  CPPUNIT_TEST(PlanSendsItsFile);
  CPPUNIT_TEST(UnavailableHostFallsBackToTheNext);
  CPPUNIT_TEST(EveryErrorKindHasItsExitCode);
  CPPUNIT_TEST(ReportAsTableCsvAndJson);
  CPPUNIT_TEST(DisagreementSetsItsExitCode);
  CPPUNIT_TEST(SettingsAreChecked);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_path = std::string(DOTTERELSHIFT_BINARY_DIR) + "/ctl_test.key";
    std::ofstream(m_path) << "# ours\nawa 0123456789abcdef\n";
    m_transport = {};
  }
  void tearDown() override { std::remove(m_path.c_str()); }

 private:
  ExitCode RunWith(const std::vector<std::string>& words) {
    m_out.str("");
    m_err.str("");
    return Run(words, m_transport, m_out, m_err);
  }
  // Runs a command line with one host and the key file added.
  ExitCode RunAt(std::vector<std::string> words) {
    words.insert(words.end(), {"--host", "h1", "--key-file", m_path});
    return RunWith(words);
  }
  void AnswerWith(int status, const std::string& body) {
    m_transport.answers["h1"] = {true, status, body, ""};
  }
  static void AssertCode(ExitCode expected, ExitCode code,
                         const std::string& message) {
    CPPUNIT_ASSERT_EQUAL_MESSAGE(message, static_cast<int>(expected),
                                 static_cast<int>(code));
  }

  void EveryVerbHasHelp() {
    for (const VerbRow& row : VerbTable()) {
      AssertCode(ExitCode::kOk, RunWith({std::string(row.name), "--help"}), "");
      CPPUNIT_ASSERT(m_out.str().find(row.help) != std::string::npos);
    }
    AssertCode(ExitCode::kOk, RunWith({"--help"}), "");
  }

  void BadCommandLinesAreUsageErrors() {
    const std::vector<std::vector<std::string>> lines = {
        {},
        {"destroy"},
        {"budget", "-b", "a&b", "-H", "h1", "-k", m_path},
        {"plan"},
        {"plan", "-f", "/none", "-H", "h1", "-k", m_path},
        {"confirm", "-H", "h1", "-k", m_path},
        {"confirm", "a b", "-H", "h1", "-k", m_path},
        {"confirm", "a?b=c", "-H", "h1", "-k", m_path},
        {"status", "-H", "h1"},
        {"status", "-H", "h1", "-k", "/none"},
        {"status", "-H", "h1", "-k", m_path, "-o", "csv"},
        {"status", "-H", "h1", "-k", m_path, "-o", "xml"},
        {"status", "-H", "h1", "-k", m_path, "--speed", "9"},
        {"check-settings"},
        {"check-settings", "--list", "-f", "file"},
    };
    for (const auto& line : lines)
      AssertCode(ExitCode::kUsage, RunWith(line),
                 line.empty() ? "none" : line[0] + m_err.str());
    CPPUNIT_ASSERT(m_transport.requested_hosts.empty());
  }

  void PlanSendsItsFile() {
    AnswerWith(200,
               R"({"plan": "p1", "base_version": 3, "changes": [{"kind":
               "UpsertTeam", "subject": "ucad"}], "effects": ["e"],
               "warnings": ["w"]})");
    AssertCode(ExitCode::kOk, RunAt({"plan", "-f", m_path}), m_err.str());
    CPPUNIT_ASSERT_EQUAL(std::string("/operator/v1/plan?file=ctl_test.key"),
                         m_transport.last.path);
    CPPUNIT_ASSERT_EQUAL(std::string("0123456789abcdef"),
                         m_transport.last.operator_key);
    CPPUNIT_ASSERT_EQUAL(std::string("plan p1 on version 3\nchanges:\n  "
                                     "UpsertTeam ucad\neffects:\n  e\n"
                                     "warnings:\n  w\n"),
                         m_out.str());
  }

  void UnavailableHostFallsBackToTheNext() {
    m_transport.answers["h0"] = {false, 0, "", "refused"};
    m_transport.answers["hq"] = {true, 503, ErrorText(ErrorKind::kNoQuorum),
                                 ""};
    AnswerWith(200, R"({"plan": "p1", "version": 4})");
    AssertCode(ExitCode::kOk, RunAt({"confirm", "p1", "-H", "h0", "-H", "hq"}),
               m_err.str());
    CPPUNIT_ASSERT_EQUAL(size_t{3}, m_transport.requested_hosts.size());
    CPPUNIT_ASSERT_EQUAL(std::string("plan p1 is in force as version 4\n"),
                         m_out.str());
    m_transport.answers["h1"] = m_transport.answers["h0"];
    AssertCode(ExitCode::kNotReachable, RunAt({"confirm", "p1", "-H", "h0"}),
               "");
  }

  void EveryErrorKindHasItsExitCode() {
    const std::map<ErrorKind, ExitCode> others = {
        {ErrorKind::kNoQuorum, ExitCode::kNotReachable},
        {ErrorKind::kNotLeader, ExitCode::kNotReachable},
        {ErrorKind::kPlanConflict, ExitCode::kConflict},
        {ErrorKind::kPlanStale, ExitCode::kConflict}};
    for (const ErrorRow& row : ErrorTable()) {
      AnswerWith(row.status, ErrorText(row.kind));
      const auto other = others.find(row.kind);
      AssertCode(other == others.end() ? ExitCode::kRefused : other->second,
                 RunAt({"status"}), std::string(row.name));
      CPPUNIT_ASSERT(m_err.str().find("by awa") != std::string::npos);
    }
    for (const char* body : {"", "[]", "{}", R"({"error": 5})", "\xff"}) {
      AnswerWith(500, body);
      AssertCode(ExitCode::kRefused, RunAt({"status"}), body);
    }
    AnswerWith(200, R"({"plan": 5})");
    AssertCode(ExitCode::kRefused, RunAt({"report"}), "a wrong form");
  }

  void ReportAsTableCsvAndJson() {
    AnswerWith(200, kReport);
    AssertCode(ExitCode::kOk, RunAt({"report", "-o", "csv", "--team", "ucad"}),
               m_err.str());
    CPPUNIT_ASSERT_EQUAL(std::string("/operator/v1/report?team=ucad"),
                         m_transport.last.path);
    CPPUNIT_ASSERT_EQUAL(kCsv, m_out.str());
    RunAt({"report", "-o", "json"});
    CPPUNIT_ASSERT(nlohmann::json::parse(m_out.str()) ==
                   nlohmann::json::parse(kReport));
    RunAt({"report"});
    for (const char* part :
         {"ucad  2026-12-01  9         6         120    100     20",
          "queue_full", "gold   1", "b1      ucad  1000", "totals agree"})
      CPPUNIT_ASSERT_MESSAGE(m_out.str(),
                             m_out.str().find(part) != std::string::npos);
  }

  void DisagreementSetsItsExitCode() {
    auto report = nlohmann::json::parse(kReport);
    report["disagreements"] = {"team ucad: its days differ"};
    AnswerWith(200, report.dump());
    for (const char* form : {"table", "json", "csv"}) {
      AssertCode(ExitCode::kDisagreement, RunAt({"report", "-o", form}), form);
      CPPUNIT_ASSERT(m_err.str().find("its days differ") != std::string::npos);
    }
  }

  void SettingsAreChecked() {
    AssertCode(ExitCode::kOk, RunWith({"check-settings", "--list"}), "");
    CPPUNIT_ASSERT(m_out.str().find("| `host` | name | required |") !=
                   std::string::npos);
    RunWith({"check-settings", "--list", "-o", "json"});
    CPPUNIT_ASSERT_EQUAL(settings::SettingTable().size(),
                         nlohmann::json::parse(m_out.str()).size());
    AssertCode(ExitCode::kRefused, RunWith({"check-settings", "-f", m_path}),
               "");
    CPPUNIT_ASSERT(m_err.str().find(":2: ") != std::string::npos);
  }

  std::string m_path;
  MockTransport m_transport;
  std::ostringstream m_out;
  std::ostringstream m_err;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CtlTest);

}  // namespace
}  // namespace dotterelshift::ctl
