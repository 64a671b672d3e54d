#include "dotterelshift/ctl/ctl.h"

#include <array>              // for array
#include <fstream>            // for ifstream
#include <iostream>           // for cin
#include <iterator>           // for istreambuf_iterator
#include <nlohmann/json.hpp>  // for ordered_json
#include <sstream>            // for istringstream

#include "dotterelshift/base/error.h"         // for Error
#include "dotterelshift/ctl/arguments.h"      // for ParseArguments
#include "dotterelshift/ctl/explain.h"        // for RequestTrace
#include "dotterelshift/ctl/output.h"         // for WriteTable
#include "dotterelshift/settings/settings.h"  // for ReadSettings

namespace dotterelshift::ctl {
namespace {

constexpr std::string_view kProgram = "dotterelshiftctl: ";
constexpr std::string_view kBase = "/operator/v1/";
constexpr int kHttpOk = 200;

// Thrown when a verb fails: the error message and the exit code.
struct Failure {
  ExitCode code;
  std::string text;
};

std::string ReadAll(const std::string& path) {
  if (path == "-")
    return {std::istreambuf_iterator<char>(std::cin),
            std::istreambuf_iterator<char>()};
  std::ifstream file(path);
  if (!file) throw Failure{ExitCode::kUsage, path + " cannot be read"};
  return {std::istreambuf_iterator<char>(file),
          std::istreambuf_iterator<char>()};
}

// Returns the operator key: the last word of the first line that is neither
// empty nor a comment. This accepts a file with a bare key as well as the
// daemons' key file, whose lines are NAME KEY.
std::string ReadKey(const std::string& path) {
  std::istringstream content(ReadAll(path));
  for (std::string line; std::getline(content, line);) {
    std::istringstream words(line);
    std::string key;
    for (std::string word; words >> word;) key = word;
    if (!key.empty() && line[0] != '#') return key;
  }
  throw Failure{ExitCode::kUsage, path + " holds no operator key"};
}

// Returns the base name of `path` with all characters replaced that are not
// safe in a URL query.
std::string QueryName(const std::string& path) {
  std::string name = path.substr(path.rfind('/') + 1);
  for (char& c : name) {
    const bool plain = std::isalnum(static_cast<unsigned char>(c)) ||
                       c == '.' || c == '-' || c == '_';
    if (!plain) c = '_';
  }
  return name;
}

// Appends the query parameter NAME=VALUE to `path` unless the value is empty.
void AddQuery(std::string* path, const std::string& name,
              const std::string& value) {
  if (value.empty()) return;
  *path += (path->find('?') == std::string::npos ? "?" : "&");
  *path += name + "=" + value;
}

// Throws a usage error if `word`, which becomes part of a URL, contains
// characters with a special meaning in URLs.
void CheckUrlSafe(const std::string& word) {
  for (char c : word) {
    if (c <= ' ' || c > '~' ||
        std::string_view("?#&%\"<>\\").find(c) != std::string_view::npos)
      throw Failure{ExitCode::kUsage, "'" + word + "' is not a name"};
  }
}

std::string_view NameOf(Verb verb) {
  for (const VerbRow& row : VerbTable())
    if (row.verb == verb) return row.name;
  return "";
}

TransportRequest RequestOf(const Arguments& arguments) {
  for (const std::string* word :
       {&arguments.plan, &arguments.budget, &arguments.team, &arguments.from,
        &arguments.to})
    CheckUrlSafe(*word);
  TransportRequest request;
  request.operator_key = ReadKey(arguments.key_file);
  request.path = std::string(kBase) + std::string(NameOf(arguments.verb));
  if (arguments.verb == Verb::kPlan) {
    request.method = "POST";
    request.body = ReadAll(arguments.file);
    AddQuery(&request.path, "file", QueryName(arguments.file));
  }
  if (arguments.verb == Verb::kConfirm) {
    request.method = "POST";
    request.path += "/" + arguments.plan;
  }
  AddQuery(&request.path, "budget", arguments.budget);
  AddQuery(&request.path, "team", arguments.team);
  AddQuery(&request.path, "from", arguments.from);
  AddQuery(&request.path, "to", arguments.to);
  return request;
}

// An error response: the name of its error kind, and a readable message.
struct Refusal {
  std::string kind;
  std::string text;
};

Refusal ParseRefusal(const TransportResponse& answer) {
  const Json json = Json::parse(answer.body, nullptr, false);
  if (!json.is_object() || !json.contains("error") ||
      !json["error"].is_object())
    return {"", "status " + std::to_string(answer.status)};
  const Json& error = json["error"];
  const std::string kind = error.value("kind", "");
  std::string text = kind + ": " + error.value("message", "");
  const std::string detail = error.value("detail", "");
  if (!detail.empty()) text += " " + detail;
  return {kind, text};
}

bool HasNoLeader(const Refusal& refusal) {
  return refusal.kind == RowOf(ErrorKind::kNoQuorum).name ||
         refusal.kind == RowOf(ErrorKind::kNotLeader).name;
}

ExitCode ExitCodeOf(const Refusal& refusal) {
  if (HasNoLeader(refusal)) return ExitCode::kNotReachable;
  const bool conflict = refusal.kind == RowOf(ErrorKind::kPlanConflict).name ||
                        refusal.kind == RowOf(ErrorKind::kPlanStale).name;
  return conflict ? ExitCode::kConflict : ExitCode::kRefused;
}

// Sends the request to the hosts in order. Tries the next host when one cannot
// be reached, does not return JSON, or knows no leader; any other error is
// final. The request may thus arrive twice, which is safe: a repeated confirm
// gets its first answer, and a second plan changes nothing.
Json SendToHosts(const Arguments& arguments, Transport& transport) {
  const TransportRequest request = RequestOf(arguments);
  Failure failure{ExitCode::kNotReachable, "no host answered"};
  for (const std::string& host : arguments.hosts) {
    const TransportResponse answer = transport.Send(host, request);
    if (!answer.reached) {
      failure.text = host + " cannot be reached: " + answer.failure;
      continue;
    }
    if (answer.status == kHttpOk) {
      Json json = Json::parse(answer.body, nullptr, false);
      if (!json.is_discarded()) return json;
      failure.text = host + " answered what is not JSON";
      continue;
    }
    const Refusal refusal = ParseRefusal(answer);
    failure = {ExitCodeOf(refusal), refusal.text};
    if (!HasNoLeader(refusal)) break;
  }
  throw failure;
}

ExitCode CheckSettings(const Arguments& arguments, std::ostream& out) {
  const bool as_json = arguments.output == OutputFormat::kJson;
  if (arguments.list) {
    if (as_json) {
      out << SettingTableJson().dump(2) << "\n";
    } else {
      WriteSettingTable(out);
    }
    return ExitCode::kOk;
  }
  const settings::Settings settings = settings::ReadSettings(arguments.file);
  settings::ReadSecret(settings.secret_file);
  if (!settings.operator_key_file.empty())
    settings::ReadOperatorKeys(settings.operator_key_file);
  if (as_json) {
    out << Json{{"file", arguments.file}, {"good", true}}.dump(2) << "\n";
  } else {
    out << arguments.file << ": good\n";
  }
  return ExitCode::kOk;
}

ExitCode Explain(const Arguments& arguments, std::ostream& out) {
  RequestTrace trace(arguments.request);
  for (const std::string& path : arguments.logs) {
    std::istringstream log(ReadAll(path));
    trace.ReadLog(log);
  }
  if (!trace.HasRequest())
    throw Failure{ExitCode::kRefused,
                  "no line tells of request " + arguments.request};
  const bool as_json = arguments.output == OutputFormat::kJson;
  Json list = Json::array();
  for (const LogLine& line : trace.Lines()) {
    if (as_json) {
      list.push_back({{"time", line.time},
                      {"host", line.host},
                      {"event", line.event},
                      {"fields", line.rest}});
    } else {
      out << line.time << "  " << line.host << "  "
          << (line.request.empty() ? "(" + line.event + ")" : line.event)
          << line.rest << "\n";
    }
  }
  if (as_json) out << list.dump(2) << "\n";
  return ExitCode::kOk;
}

ExitCode RunVerb(const Arguments& arguments, Transport& transport,
                 std::ostream& out, std::ostream& err) {
  if (arguments.verb == Verb::kCheckSettings)
    return CheckSettings(arguments, out);
  if (arguments.verb == Verb::kExplain) return Explain(arguments, out);
  const Json answer = SendToHosts(arguments, transport);
  switch (arguments.output) {
    case OutputFormat::kTable:
      WriteTable(arguments.verb, answer, out);
      break;
    case OutputFormat::kJson:
      out << answer.dump(2) << "\n";
      break;
    case OutputFormat::kCsv:
      WriteReportCsv(answer, out);
      break;
  }
  if (arguments.verb != Verb::kReport || answer["disagreements"].empty())
    return ExitCode::kOk;
  for (const Json& line : answer["disagreements"])
    err << kProgram << "disagreement: " << line.get<std::string>() << "\n";
  return ExitCode::kDisagreement;
}

}  // namespace

ExitCode Run(const std::vector<std::string>& arguments, Transport& transport,
             std::ostream& out, std::ostream& err) {
  const auto parsed = ParseArguments(arguments, out, err);
  if (const ExitCode* code = std::get_if<ExitCode>(&parsed)) return *code;
  try {
    return RunVerb(std::get<Arguments>(parsed), transport, out, err);
  } catch (const Failure& failure) {
    err << kProgram << failure.text << "\n";
    return failure.code;
  } catch (const Error& error) {
    err << kProgram << error.what() << "\n";
    return ExitCode::kRefused;
  } catch (const Json::exception&) {
    err << kProgram << "the answer has an unknown form\n";
    return ExitCode::kRefused;
  }
}

}  // namespace dotterelshift::ctl
