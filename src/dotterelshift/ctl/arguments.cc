#include "dotterelshift/ctl/arguments.h"

#include <tclap/CmdLine.h>  // for CmdLine, ValueArg

#include <algorithm>  // for find_if
#include <array>      // for array
#include <iomanip>    // for setw
#include <optional>   // for optional
#include <ostream>    // for ostream

namespace dotterelshift::ctl {
namespace {

constexpr std::string_view kProgram = "dotterelshiftctl";

constexpr std::array kVerbs = {
    VerbRow{Verb::kPlan, "plan",
            "Works out what an intent changes; nothing is changed yet.",
            "Reads the YAML intent of --file (- for standard input) and shows "
            "the plan's id, its changes, their effects and warnings."},
    VerbRow{Verb::kConfirm, "confirm", "Carries a plan out.",
            "A confirm may be sent again: it gets its first answer. Exit code "
            "4 says that another change came first, or that what the plan "
            "touches has changed since it was made."},
    VerbRow{Verb::kStatus, "status", "Shows the state of the system.",
            "Leader, version of the configuration, counts, and the state of "
            "the daemon that leads."},
    VerbRow{Verb::kReport, "report",
            "Reports requests, refusals and tokens for each team and day.",
            "Days are UTC, like 2026-12-31; without --from and --to it is "
            "today. Totals are cross-checked: a disagreement is printed and "
            "gives exit code 5."},
    VerbRow{Verb::kBudget, "budget", "Shows one budget or all, with holders.",
            "Tokens bought, spent, billed, wasted, granted, stranded, free."},
    VerbRow{Verb::kEndpoints, "endpoints", "Lists the endpoints.",
            "As the leading daemon knows them from their announcements."},
    VerbRow{Verb::kHosts, "hosts", "Lists the system's daemons.",
            "Each run that registered, and whether the leader is connected."},
    VerbRow{Verb::kOrders, "orders", "Lists the orders to engines.",
            "Each with its fencing number and how far it has come."},
    VerbRow{Verb::kCheckSettings, "check-settings",
            "Checks a daemon's settings file.",
            "Needs no host. With --list it prints the table of all settings "
            "as docs/SETTINGS.md holds it."},
    VerbRow{Verb::kExplain, "explain",
            "Tells a request's life from the daemons' logs.",
            "Needs no host. Reads the logs of any number of daemons and prints "
            "in order what they wrote of the request, and what its hosts "
            "believed meanwhile. docs/OPERATIONS.md explains the lines."},
};

constexpr std::array kExits = {
    ExitRow{ExitCode::kOk, "done"},
    ExitRow{ExitCode::kRefused, "refused; nothing has changed"},
    ExitRow{ExitCode::kUsage, "the command line is wrong"},
    ExitRow{ExitCode::kNotReachable,
            "no host could be reached, or none has a leader"},
    ExitRow{ExitCode::kConflict,
            "another change came first, or the plan is stale"},
    ExitRow{ExitCode::kDisagreement, "the report's totals disagree"},
};

constexpr std::array<std::string_view, 3> kOutputFormats = {"table", "json",
                                                            "csv"};

void WriteOverview(std::ostream& out) {
  out << "usage: " << kProgram << " VERB [OPTIONS]\n\nverbs:\n";
  for (const VerbRow& row : kVerbs)
    out << "  " << std::left << std::setw(16) << row.name << row.summary
        << "\n";
  out << "\nexit codes:\n";
  for (const ExitRow& row : kExits)
    out << "  " << static_cast<int>(row.code) << "  " << row.meaning << "\n";
  out << "\n" << kProgram << " VERB --help tells more of each.\n";
}

// Writes the help text of one verb. Errors are reported by ParseArguments().
class Output : public TCLAP::CmdLineOutput {
 public:
  Output(const VerbRow& verb, std::ostream& out) : m_verb(verb), m_out(out) {}

  void usage(TCLAP::CmdLineInterface& command) override {
    m_out << "usage: " << kProgram << " " << m_verb.name << " [OPTIONS]\n\n"
          << m_verb.summary << "\n\n";
    for (const TCLAP::Arg* argument : command.getArgList()) {
      if (argument->getName() != "ignore_rest")
        m_out << "  " << argument->longID("") << "\n      "
              << argument->getDescription() << "\n";
    }
    m_out << "\n" << m_verb.help << "\n";
  }
  void version(TCLAP::CmdLineInterface&) override {}
  void failure(TCLAP::CmdLineInterface&, TCLAP::ArgException&) override {}

 private:
  const VerbRow& m_verb;
  std::ostream& m_out;
};

// Parser for the command line of one verb.
class VerbCommandLine {
 public:
  VerbCommandLine(const VerbRow& row, std::ostream& out)
      : m_row(row),
        m_output(row, out),
        m_line(std::string(row.summary), ' ', "", false) {
    m_line.setExceptionHandling(false);
    m_line.setOutput(&m_output);
    Reset(m_help, "h", "help", "Shows this.");
    Reset(m_format, "o", "output", "table, json, or csv (report only).", false,
          "FORM");
    if (row.verb == Verb::kCheckSettings)
      AddCheckOptions();
    else if (row.verb == Verb::kExplain)
      AddExplainOptions();
    else
      AddHostOptions();
  }

  void ShowHelp() { m_output.usage(m_line); }

  // Throws TCLAP::ArgException when the command line is invalid.
  Arguments Parse(std::vector<std::string> words) {
    words.insert(words.begin(), std::string(kProgram));
    m_line.parse(words);
    Arguments arguments;
    arguments.verb = m_row.verb;
    if (m_hosts) arguments.hosts = m_hosts->getValue();
    Take(m_key_file, &arguments.key_file);
    Take(m_file, &arguments.file);
    Take(m_plan, &arguments.plan);
    Take(m_budget, &arguments.budget);
    Take(m_team, &arguments.team);
    if (m_logs) arguments.logs = m_logs->getValue();
    Take(m_request, &arguments.request);
    Take(m_from, &arguments.from);
    Take(m_to, &arguments.to);
    arguments.list = m_list && m_list->getValue();
    if (m_format && m_format->isSet())
      arguments.output = ParseOutputFormat(m_format->getValue());
    if (m_row.verb == Verb::kCheckSettings) RequireFileOrList(arguments);
    return arguments;
  }

 private:
  using Value = std::optional<TCLAP::ValueArg<std::string>>;
  using Unlabeled = std::optional<TCLAP::UnlabeledValueArg<std::string>>;
  using Switch = std::optional<TCLAP::SwitchArg>;

  void Reset(Value& value, const char* flag, const char* name,
             const char* description, bool required, const char* type) {
    value.emplace(flag, name, description, required, "", type, m_line);
  }
  void Reset(Switch& value, const char* flag, const char* name,
             const char* description) {
    value.emplace(flag, name, description, m_line, false);
  }
  void AddHostOptions() {
    m_hosts.emplace("H", "host",
                    "A daemon's HTTP address; may be repeated, the next one "
                    "is tried when one cannot be reached.",
                    true, "IP:PORT", m_line);
    Reset(m_key_file, "k", "key-file", "File that holds the operator key.",
          true, "FILE");
    if (m_row.verb == Verb::kPlan)
      Reset(m_file, "f", "file", "The intent, YAML; - for standard input.",
            true, "FILE");
    if (m_row.verb == Verb::kConfirm)
      m_plan.emplace("plan", "Id of the plan.", true, "", "PLAN", m_line);
    if (m_row.verb == Verb::kBudget)
      Reset(m_budget, "b", "budget", "Only this budget.", false, "BUDGET");
    if (m_row.verb == Verb::kReport) AddReportOptions();
  }

  void AddReportOptions() {
    Reset(m_team, "t", "team", "Only this team.", false, "TEAM");
    Reset(m_from, "", "from", "First day.", false, "DAY");
    Reset(m_to, "", "to", "Last day.", false, "DAY");
  }

  void AddExplainOptions() {
    m_logs.emplace("l", "log",
                   "A daemon's log; may be repeated; - for standard input.",
                   true, "FILE", m_line);
    m_request.emplace("request", "The caller's id of the request.", true, "",
                      "ID", m_line);
  }

  void AddCheckOptions() {
    Reset(m_list, "l", "list", "Prints the table of all settings.");
    Reset(m_file, "f", "file", "The settings, YAML.", false, "FILE");
  }

  template <typename Argument>
  static void Take(const Argument& argument, std::string* value) {
    if (argument) *value = argument->getValue();
  }

  OutputFormat ParseOutputFormat(const std::string& word) const {
    const auto* found =
        std::find(kOutputFormats.begin(), kOutputFormats.end(), word);
    const bool csv = word == "csv" && m_row.verb != Verb::kReport;
    if (found == kOutputFormats.end() || csv) {
      throw TCLAP::CmdLineParseException(
          csv ? "csv is for report only" : "not table, json or csv",
          "--output");
    }
    return static_cast<OutputFormat>(found - kOutputFormats.begin());
  }

  static void RequireFileOrList(const Arguments& arguments) {
    if (arguments.list == arguments.file.empty()) return;
    throw TCLAP::CmdLineParseException("one of --file and --list is needed",
                                       "check-settings");
  }

  const VerbRow& m_row;
  Output m_output;
  TCLAP::CmdLine m_line;
  Switch m_help;
  std::optional<TCLAP::MultiArg<std::string>> m_hosts;
  Value m_key_file;
  Value m_format;
  Value m_file;
  Value m_team;
  Value m_from;
  Value m_to;
  Value m_budget;
  Unlabeled m_plan;
  std::optional<TCLAP::MultiArg<std::string>> m_logs;
  Unlabeled m_request;
  Switch m_list;
};

}  // namespace

std::span<const VerbRow> VerbTable() { return kVerbs; }
std::span<const ExitRow> ExitTable() { return kExits; }

std::variant<Arguments, ExitCode> ParseArguments(
    const std::vector<std::string>& arguments, std::ostream& out,
    std::ostream& err) {
  if (arguments.empty()) {
    WriteOverview(err);
    return ExitCode::kUsage;
  }
  const std::string& word = arguments[0];
  if (word == "--help" || word == "-h" || word == "help") {
    WriteOverview(out);
    return ExitCode::kOk;
  }
  const auto* row = std::find_if(
      kVerbs.begin(), kVerbs.end(),
      [&](const VerbRow& candidate) { return candidate.name == word; });
  if (row == kVerbs.end()) {
    err << kProgram << ": there is no verb '" << word << "'\n";
    return ExitCode::kUsage;
  }
  const std::vector<std::string> rest(arguments.begin() + 1, arguments.end());
  // Help is shown even when required options are missing.
  const bool help = std::any_of(rest.begin(), rest.end(), [](const auto& one) {
    return one == "--help" || one == "-h";
  });
  try {
    VerbCommandLine line(*row, out);
    if (help) {
      line.ShowHelp();
      return ExitCode::kOk;
    }
    return line.Parse(rest);
  } catch (const TCLAP::ArgException& exception) {
    err << kProgram << " " << word << ": " << exception.error() << " "
        << exception.argId() << "\n";
    return ExitCode::kUsage;
  }
}

}  // namespace dotterelshift::ctl
