#include "dotterelshift/state/apply.h"  // for Apply

namespace dotterelshift::state {
namespace {

// Factor on StateOptions::quarantine_after for a content that was never the
// only request in flight when an endpoint died, because another request may be
// the cause.
constexpr uint32_t kSharedEndpointFactor = 2;

// Contents beyond this number are not tracked, which bounds the memory under a
// flood of reports.
constexpr size_t kMaxSuspects = 10'000;

}  // namespace

void Apply(Context& context, const wire::ReportSuspectT& command,
           wire::CommandAnswerT& answer) {
  Tables& tables = context.tables;
  const StateOptions& options = tables.options;
  const bool known = tables.suspects.contains(command.content_hash);
  if (!known && tables.suspects.size() >= kMaxSuspects)
    return Refuse(answer, ErrorKind::kOverloaded, "too many suspects");
  Suspect& suspect = tables.suspects[command.content_hash];
  const bool forgotten =
      known && suspect.last + options.suspect_retention_ms < context.stamp;
  if (forgotten) suspect = Suspect();
  suspect.last = context.stamp;
  suspect.alone = suspect.alone || command.alone;
  const uint32_t limit =
      options.quarantine_after * (suspect.alone ? 1 : kSharedEndpointFactor);
  const bool counts = suspect.endpoints.size() < limit;
  if (counts) suspect.endpoints.insert(command.endpoint);
  if (suspect.endpoints.size() >= limit)
    suspect.quarantined_until = context.stamp + options.quarantine_duration_ms;
  wire::SuspectAnswerT body;
  body.content_hash = command.content_hash;
  body.endpoints = static_cast<uint32_t>(suspect.endpoints.size());
  body.quarantined_until_ms = suspect.quarantined_until;
  Answer(answer, body);
}

// The content ran to completion, so it was not the cause of the deaths reported
// before.
void Apply(Context& context, const wire::ClearSuspectT& command,
           wire::CommandAnswerT& answer) {
  context.tables.suspects.erase(command.content_hash);
  Answer(answer, wire::DoneAnswerT());
}

}  // namespace dotterelshift::state
