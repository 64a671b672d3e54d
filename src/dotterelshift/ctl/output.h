#ifndef DOTTERELSHIFT_CTL_OUTPUT_H_
#define DOTTERELSHIFT_CTL_OUTPUT_H_

#include <iosfwd>                 // for ostream
#include <nlohmann/json_fwd.hpp>  // for ordered_json

#include "dotterelshift/ctl/arguments.h"  // for Verb

namespace dotterelshift::ctl {

using Json = nlohmann::ordered_json;

// Writes the answer to a verb for people.
void WriteTable(Verb verb, const Json& answer, std::ostream& out);

// Writes a report as CSV: one measure a line, so that the columns stay the same
// whatever classes and error kinds occur.
void WriteReportCsv(const Json& report, std::ostream& out);

// Writes the table of settings as docs/SETTINGS.md holds it; and as JSON.
void WriteSettingTable(std::ostream& out);
Json SettingTableJson();

}  // namespace dotterelshift::ctl

#endif  // DOTTERELSHIFT_CTL_OUTPUT_H_
