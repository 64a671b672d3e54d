#include "dotterelshift/serving/refusal_tally.h"

namespace dotterelshift::serving {
namespace {

constexpr Duration kRecordInterval = 1s;

}  // namespace

void RefusalTally::Count(const TeamId& team, ErrorKind kind,
                         bool budget_remained, Instant now) {
  if (m_counts.empty()) m_due = now + kRecordInterval;
  ++m_counts[Line{team, kind, budget_remained}];
}

std::vector<wire::RecordRefusalsT> RefusalTally::Take() {
  std::vector<wire::RecordRefusalsT> records;
  for (const auto& [line, count] : m_counts) {
    wire::RecordRefusalsT record;
    record.team = line.team;
    record.error = static_cast<uint16_t>(line.kind);
    record.budget_remained = line.budget_remained;
    record.count = count;
    records.push_back(record);
  }
  m_counts.clear();
  return records;
}

}  // namespace dotterelshift::serving
