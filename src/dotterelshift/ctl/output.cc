#include "dotterelshift/ctl/output.h"

#include <algorithm>          // for max
#include <array>              // for array
#include <iomanip>            // for setw
#include <nlohmann/json.hpp>  // for ordered_json
#include <ostream>            // for ostream

#include "dotterelshift/settings/settings.h"  // for SettingTable

namespace dotterelshift::ctl {
namespace {

using Row = std::vector<std::string>;

// Formats a value as a table cell: strings as they are, lists joined by commas,
// null and empty lists as "-", anything else as JSON.
std::string CellOf(const Json& value) {
  if (value.is_null()) return "-";
  if (value.is_string()) return value.get<std::string>();
  if (!value.is_array()) return value.dump();
  std::string joined;
  for (const Json& item : value) {
    if (!joined.empty()) joined += ",";
    joined += CellOf(item);
  }
  return joined.empty() ? "-" : joined;
}

// Writes rows with each column as wide as its widest cell; the first row is the
// header.
void WriteRows(const std::vector<Row>& rows, std::ostream& out) {
  std::vector<size_t> widths(rows[0].size(), 0);
  for (const Row& row : rows)
    for (size_t i = 0; i < row.size(); ++i)
      widths[i] = std::max(widths[i], row[i].size());
  for (const Row& row : rows) {
    std::string line;
    for (size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      line.append(widths[i] + 2 - row[i].size(), ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    out << line << "\n";
  }
}

// Writes a list of objects as a table. The keys of the first object are the
// columns.
void WriteList(const Json& list, std::ostream& out) {
  if (list.empty()) {
    out << "none\n";
    return;
  }
  std::vector<Row> rows(1);
  for (const auto& [key, value] : list[0].items()) rows[0].push_back(key);
  for (const Json& item : list) {
    Row& row = rows.emplace_back();
    for (const std::string& key : rows[0])
      row.push_back(CellOf(item.value(key, Json())));
  }
  WriteRows(rows, out);
}

// Returns a member of a response object; null if it is missing, as in the
// responses of daemons of another version.
const Json& At(const Json& object, const std::string& name) {
  static const Json nothing;
  const auto member = object.find(name);
  return member == object.end() ? nothing : *member;
}

void WriteFields(const Json& map, std::ostream& out,
                 const std::string& indent) {
  for (const auto& [key, value] : map.items()) {
    if (value.is_object()) {
      out << indent << key << ":\n";
      WriteFields(value, out, indent + "  ");
    } else {
      out << indent << key << ": " << CellOf(value) << "\n";
    }
  }
}

void WriteLines(const char* title, const Json& lines, std::ostream& out) {
  if (lines.empty()) return;
  out << title << ":\n";
  for (const Json& line : lines) out << "  " << CellOf(line) << "\n";
}

void WritePlan(const Json& plan, std::ostream& out) {
  out << "plan " << CellOf(At(plan, "plan")) << " on version "
      << CellOf(At(plan, "base_version")) << "\n";
  if (At(plan, "changes").empty()) out << "nothing to change\n";
  out << (At(plan, "changes").empty() ? "" : "changes:\n");
  for (const Json& change : At(plan, "changes"))
    out << "  " << CellOf(At(change, "kind")) << " "
        << CellOf(At(change, "subject")) << "\n";
  WriteLines("effects", At(plan, "effects"), out);
  WriteLines("warnings", At(plan, "warnings"), out);
}

void WriteConfirmation(const Json& answer, std::ostream& out) {
  out << "plan " << CellOf(At(answer, "plan")) << " is in force as version "
      << CellOf(At(answer, "version")) << "\n";
}

// Writes the budgets as one table and all their holders as a second one.
void WriteBudgets(const Json& budgets, std::ostream& out) {
  Json list = Json::array();
  Json holders = Json::array();
  for (Json budget : budgets) {
    for (const Json& holder : At(budget, "holders")) {
      Json row = {{"budget", At(budget, "budget")}};
      row.update(holder);
      holders.push_back(std::move(row));
    }
    budget.erase("holders");
    list.push_back(std::move(budget));
  }
  WriteList(list, out);
  if (holders.empty()) return;
  out << "\nholders\n";
  WriteList(holders, out);
}

constexpr std::array kDayMeasures = {"requests", "answered", "spent", "billed",
                                     "wasted"};
constexpr std::array kHistograms = {"first_token_ms", "total_ms"};

uint64_t SumRefusals(const Json& day, const char* which) {
  uint64_t sum = 0;
  for (const auto& [kind, counts] : At(day, "refusals").items())
    sum += counts[which].get<uint64_t>();
  return sum;
}

// Names a histogram bucket, such as "<=50". The last bucket has no upper bound
// and is named after the one before, such as ">50".
std::string BucketName(const Json& bounds, size_t bucket) {
  if (bucket < bounds.size()) return "<=" + bounds[bucket].dump();
  return ">" + bounds.back().dump();
}

void WriteHistograms(const Json& report, std::ostream& out) {
  const Json& bounds = At(report, "time_buckets_ms");
  std::vector<Row> rows = {{"team", "day", "time", "class"}};
  for (size_t i = 0; i <= bounds.size(); ++i)
    rows[0].push_back(BucketName(bounds, i));
  for (const Json& day : At(report, "days")) {
    for (const char* name : kHistograms) {
      for (const auto& [request_class, counts] : At(day, name).items()) {
        Row& row =
            rows.emplace_back(Row{CellOf(At(day, "team")),
                                  CellOf(At(day, "day")), name, request_class});
        for (const Json& count : counts) row.push_back(CellOf(count));
        row.resize(rows[0].size(), "0");
      }
    }
  }
  if (rows.size() == 1) return;
  out << "\ntimes, in milliseconds\n";
  WriteRows(rows, out);
}

void WriteRefusals(const Json& report, std::ostream& out) {
  std::vector<Row> rows = {
      {"team", "day", "refused", "with_budget_left", "without_budget_left"}};
  for (const Json& day : At(report, "days")) {
    for (const auto& [kind, counts] : At(day, "refusals").items()) {
      rows.push_back({CellOf(At(day, "team")), CellOf(At(day, "day")), kind,
                      CellOf(At(counts, "with_budget_left")),
                      CellOf(At(counts, "without_budget_left"))});
    }
  }
  if (rows.size() == 1) return;
  out << "\nrefusals by kind\n";
  WriteRows(rows, out);
}

void WriteReport(const Json& report, std::ostream& out) {
  out << "report from " << CellOf(At(report, "from")) << " to "
      << CellOf(At(report, "to")) << "\n\n";
  Json days = Json::array();
  for (const Json& day : At(report, "days")) {
    Json row = {{"team", At(day, "team")}, {"day", At(day, "day")}};
    for (const char* measure : kDayMeasures) row[measure] = At(day, measure);
    row["refused_with_budget_left"] = SumRefusals(day, "with_budget_left");
    row["refused_without"] = SumRefusals(day, "without_budget_left");
    days.push_back(std::move(row));
  }
  WriteList(days, out);
  WriteRefusals(report, out);
  WriteHistograms(report, out);
  out << "\nbudgets, since they were made\n";
  WriteBudgets(At(report, "budgets"), out);
  out << "\n";
  WriteLines("DISAGREEMENTS", At(report, "disagreements"), out);
  if (At(report, "disagreements").empty()) out << "totals agree\n";
}

// Writes one CSV line. Values are not quoted: the parser of intents accepts
// neither commas nor quotes in names. Names in published routes are not checked
// for them.
void WriteCsvLine(const Json& team, const Json& day, const std::string& measure,
                  const std::string& detail, const Json& value,
                  std::ostream& out) {
  out << CellOf(team) << "," << (day.is_null() ? "" : CellOf(day)) << ","
      << measure << "," << detail << "," << CellOf(value) << "\n";
}

void WriteDayCsv(const Json& day, const Json& bounds, std::ostream& out) {
  for (const char* measure : kDayMeasures)
    WriteCsvLine(At(day, "team"), At(day, "day"), measure, "", At(day, measure),
                 out);
  for (const auto& [kind, counts] : At(day, "refusals").items()) {
    for (const auto& [which, count] : counts.items())
      WriteCsvLine(At(day, "team"), At(day, "day"), "refused_" + which, kind,
                   count, out);
  }
  for (const char* name : kHistograms) {
    for (const auto& [request_class, counts] : At(day, name).items()) {
      for (size_t i = 0; i < counts.size(); ++i) {
        WriteCsvLine(At(day, "team"), At(day, "day"), name,
                     request_class + " " + BucketName(bounds, i), counts[i],
                     out);
      }
    }
  }
}

}  // namespace

void WriteTable(Verb verb, const Json& answer, std::ostream& out) {
  switch (verb) {
    case Verb::kPlan:
      return WritePlan(answer, out);
    case Verb::kConfirm:
      return WriteConfirmation(answer, out);
    case Verb::kReport:
      return WriteReport(answer, out);
    case Verb::kBudget:
      return WriteBudgets(answer, out);
    case Verb::kStatus:
      return WriteFields(answer, out, "");
    case Verb::kEndpoints:
    case Verb::kHosts:
    case Verb::kOrders:
      return WriteList(answer, out);
    case Verb::kCheckSettings:
    case Verb::kExplain:
      return;
  }
}

void WriteReportCsv(const Json& report, std::ostream& out) {
  constexpr std::array kBudgetMeasures = {
      "bought", "spent", "billed", "wasted", "granted", "stranded", "free"};
  out << "team,day,measure,detail,value\n";
  for (const Json& day : At(report, "days"))
    WriteDayCsv(day, At(report, "time_buckets_ms"), out);
  for (const Json& budget : At(report, "budgets")) {
    for (const char* measure : kBudgetMeasures)
      WriteCsvLine(At(budget, "team"), Json(), std::string("budget_") + measure,
                   CellOf(At(budget, "budget")), At(budget, measure), out);
  }
}

void WriteSettingTable(std::ostream& out) {
  out << "| setting | unit | default | bounds | meaning "
         "|\n|---|---|---|---|---|\n";
  for (const settings::SettingRow& row : settings::SettingTable())
    out << "| `" << row.name << "` | " << row.unit << " | " << row.default_value
        << " | " << row.bounds << " | " << row.meaning << " |\n";
}

Json SettingTableJson() {
  Json table = Json::array();
  for (const settings::SettingRow& row : settings::SettingTable()) {
    table.push_back({{"setting", row.name},
                     {"unit", row.unit},
                     {"default", row.default_value},
                     {"bounds", row.bounds},
                     {"meaning", row.meaning}});
  }
  return table;
}

}  // namespace dotterelshift::ctl
