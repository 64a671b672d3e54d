#ifndef DOTTERELSHIFT_CTL_OUTPUT_H_
#define DOTTERELSHIFT_CTL_OUTPUT_H_

#include <iosfwd>                 // for ostream
#include <nlohmann/json_fwd.hpp>  // for ordered_json

#include "dotterelshift/ctl/arguments.h"  // for Verb

namespace dotterelshift::ctl {

using Json = nlohmann::ordered_json;

// Writes the response to a verb as readable text.
void WriteTable(Verb verb, const Json& answer, std::ostream& out);

// Writes a report as CSV with one measure per line, so that the columns do not
// depend on the request classes and error kinds that occur.
void WriteReportCsv(const Json& report, std::ostream& out);

// The table of all settings: as Markdown for docs/SETTINGS.md, and as JSON.
void WriteSettingTable(std::ostream& out);
Json SettingTableJson();

}  // namespace dotterelshift::ctl

#endif  // DOTTERELSHIFT_CTL_OUTPUT_H_
