#ifndef DOTTERELSHIFT_CTL_CTL_H_
#define DOTTERELSHIFT_CTL_CTL_H_

#include <iosfwd>       // for ostream
#include <span>         // for span
#include <string>       // for string
#include <string_view>  // for string_view
#include <vector>       // for vector

#include "dotterelshift/ctl/transport.h"  // for Transport

namespace dotterelshift::ctl {

// Exit codes of dotterelshiftctl, for scripts.
enum class ExitCode {
  kOk = 0,
  kRefused = 1,       // rejected by the system or a check; nothing changed
  kUsage = 2,         // the command line is wrong
  kNotReachable = 3,  // no host answered, or none knows a leader
  kConflict = 4,      // another change was committed first, or stale plan
  kDisagreement = 5,  // the totals of the report do not agree
};

struct ExitRow {
  ExitCode code;
  std::string_view meaning;
};
std::span<const ExitRow> ExitTable();

enum class Verb {
  kPlan,
  kConfirm,
  kStatus,
  kReport,
  kBudget,
  kEndpoints,
  kHosts,
  kOrders,
  kCheckSettings,
  kExplain
};

struct VerbRow {
  Verb verb;
  std::string_view name;
  std::string_view summary;  // one sentence
  std::string_view help;     // printed below the options by --help
};
std::span<const VerbRow> VerbTable();

// Runs one command line. `arguments` does not include the program name.
// Results go to `out`, errors to `err`.
ExitCode Run(const std::vector<std::string>& arguments, Transport& transport,
             std::ostream& out, std::ostream& err);

}  // namespace dotterelshift::ctl

#endif  // DOTTERELSHIFT_CTL_CTL_H_
