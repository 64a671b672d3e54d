#ifndef DOTTERELSHIFT_CTL_ARGUMENTS_H_
#define DOTTERELSHIFT_CTL_ARGUMENTS_H_

#include <iosfwd>   // for ostream
#include <string>   // for string
#include <variant>  // for variant
#include <vector>   // for vector

#include "dotterelshift/ctl/ctl.h"  // for Verb, ExitCode

namespace dotterelshift::ctl {

enum class OutputFormat { kTable, kJson, kCsv };

// A parsed and validated command line.
struct Arguments {
  Verb verb = Verb::kStatus;
  std::vector<std::string> hosts;  // IP:port, tried in order
  std::string key_file;
  OutputFormat output = OutputFormat::kTable;
  std::string file;    // plan: the intent; check-settings: the settings
  std::string plan;    // confirm
  std::string budget;  // budget: empty for all
  std::string team;    // report
  std::string from;
  std::string to;
  bool list = false;              // check-settings
  std::string request;            // explain
  std::vector<std::string> logs;  // explain: files, - for standard input
};

// Parses a command line. Returns an exit code instead when nothing is left to
// run: the help has been written to `out`, or an error to `err`.
std::variant<Arguments, ExitCode> ParseArguments(
    const std::vector<std::string>& arguments, std::ostream& out,
    std::ostream& err);

}  // namespace dotterelshift::ctl

#endif  // DOTTERELSHIFT_CTL_ARGUMENTS_H_
