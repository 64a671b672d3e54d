#include "scenarios/script.h"

#include <algorithm>   // for sort
#include <filesystem>  // for directory_iterator
#include <fstream>     // for ifstream
#include <sstream>     // for ostringstream

#include "dotterelshift/base/yaml_reader.h"  // for YamlMap
#include "scenarios/steps.h"                 // for RunSteps

namespace dotterelshift::scenarios {
namespace {

const std::string kFolder =
    std::string(DOTTERELSHIFT_SOURCE_DIR) + "/scenarios/";
std::string ReadFile(const std::string& file) {
  std::ifstream stream(kFolder + file);
  std::ostringstream content;
  content << stream.rdbuf();
  return content.str();
}

std::vector<std::string> ReadWords(const YamlSource& source,
                                   const YAML::Node& node,
                                   const std::vector<std::string>& allowed) {
  std::vector<std::string> words = source.Names(node, "the list");
  for (const std::string& word : words)
    if (std::find(allowed.begin(), allowed.end(), word) == allowed.end())
      source.Refuse(node, "unknown word '" + word + "'", "a word of the table");
  return words;
}

}  // namespace

const std::vector<std::string>& Promises() {
  static const std::vector<std::string> words = {
      "never_exceeds_budget", "billed_once",  "whole_answer",
      "not_run_is_true",      "at_most_once", "leaving_endpoint",
      "graceful_shutdown",    "configuration"};
  return words;
}

const std::vector<std::string>& Failures() {
  static const std::vector<std::string> words = {
      "long_partition",   "top_up_in_partition", "entry_dies",
      "callers_retry",    "isolated_control",    "racing_operators",
      "resent_change",    "second_loss",         "restart_after_hundreds",
      "crashing_request", "endpoint_dies",       "late_and_crossed"};
  return words;
}

std::vector<std::string> ScriptFiles() {
  std::vector<std::string> files;
  for (const auto& entry : std::filesystem::directory_iterator(kFolder))
    if (entry.path().extension() == ".yaml")
      files.push_back(entry.path().filename().string());
  std::sort(files.begin(), files.end());
  return files;
}

Coverage ReadCoverage(const std::string& file) {
  const YamlSource source(file, ErrorKind::kBadField);
  const YAML::Node root = source.Parse(ReadFile(file));
  const YamlMap map(source, root, "the script", ScriptFields());
  return {file, source.Text(map.At("title"), "title"),
          ReadWords(source, map.At("promises"), Promises()),
          ReadWords(source, map.At("failures"), Failures())};
}

std::string CoverageTable() {
  std::vector<Coverage> all;
  for (const std::string& file : ScriptFiles())
    all.push_back(ReadCoverage(file));
  const auto holds = [](const auto& words, const std::string& word) {
    return std::find(words.begin(), words.end(), word) != words.end();
  };
  std::ostringstream table;
  table << "| promise | failure | scripts |\n|---|---|---|\n";
  for (const std::string& promise : Promises()) {
    for (const std::string& failure : Failures()) {
      std::string scripts;
      for (const Coverage& one : all) {
        if (!holds(one.promises, promise) || !holds(one.failures, failure))
          continue;
        scripts += (scripts.empty() ? "`" : ", `") + one.file + "`";
      }
      if (scripts.empty()) continue;
      table << "| " << promise << " | " << failure << " | " << scripts
            << " |\n";
    }
  }
  return table.str();
}

ScriptResult RunScript(const std::string& file, const PolicyOverride& choice) {
  const YamlSource source(file, ErrorKind::kBadField);
  return RunSteps(source, source.Parse(ReadFile(file)), choice);
}

}  // namespace dotterelshift::scenarios
