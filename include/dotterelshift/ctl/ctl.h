#ifndef DOTTERELSHIFT_CTL_CTL_H_
#define DOTTERELSHIFT_CTL_CTL_H_

#include <iosfwd>       // for ostream
#include <span>         // for span
#include <string>       // for string
#include <string_view>  // for string_view
#include <vector>       // for vector

#include "dotterelshift/ctl/transport.h"  // for Transport

namespace dotterelshift::ctl {

// What dotterelshiftctl tells scripts.
enum class ExitCode {
  kOk = 0,
  kRefused = 1,       // the system or a check said no; nothing has changed
  kUsage = 2,         // the command line is wrong
  kNotReachable = 3,  // no host answered, or none knows a leader
  kConflict = 4,      // another change came first, or the plan is stale
  kDisagreement = 5,  // the report's totals do not agree
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
  std::string_view help;     // what its help shows below the options
};
std::span<const VerbRow> VerbTable();

// Runs one command line, without the program's name.
ExitCode Run(const std::vector<std::string>& arguments, Transport& transport,
             std::ostream& out, std::ostream& err);

}  // namespace dotterelshift::ctl

#endif  // DOTTERELSHIFT_CTL_CTL_H_
