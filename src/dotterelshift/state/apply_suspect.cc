#include <algorithm>  // for min, min_element

#include "dotterelshift/quarantine/evidence.h"  // for IsProven
#include "dotterelshift/state/apply.h"          // for Apply
#include "dotterelshift/state/suspects.h"       // for SuspectAnswerOf

namespace dotterelshift::state {
namespace {

// Factor on StateOptions::quarantine_after for a content that was never the
// only request in flight when an endpoint died, because another request may be
// the cause.
constexpr uint32_t kSharedEndpointFactor = 2;

// Bounds the memory under a flood of reports: beyond this number the one whose
// last report is oldest is dropped.
constexpr size_t kMaxSuspects = 10'000;

// Doublings of a block's time are counted up to this.
constexpr uint32_t kMaxBlockDoublings = 16;

void DropOldest(Tables& tables) {
  if (tables.suspects.size() < kMaxSuspects) return;
  const auto rank = [&tables](const Suspect& suspect) {
    const bool blocked = suspect.quarantined_until > tables.last_stamp;
    return std::pair(blocked, suspect.last);
  };
  const auto oldest =
      std::min_element(tables.suspects.begin(), tables.suspects.end(),
                       [&](const auto& a, const auto& b) {
                         return rank(a.second) < rank(b.second);
                       });
  tables.suspects.erase(oldest);
}

// A content is of one team, as its hash covers the caller's key.
void AddCrashOfContent(Suspect& suspect, const wire::ReportSuspectT& command,
                       const Context& context) {
  const StateOptions& options = context.tables.options;
  suspect.alone = suspect.alone || command.alone;
  const uint32_t limit =
      options.quarantine_after * (suspect.alone ? 1 : kSharedEndpointFactor);
  if (suspect.runs.size() < limit) {
    suspect.runs.emplace(
        quarantine::RunKeyOf(command.endpoint, command.endpoint_incarnation),
        0);
  }
  if (suspect.runs.size() >= limit)
    suspect.quarantined_until = context.stamp + options.quarantine_duration_ms;
}

// A block ends by one request that is sent alone. If that crashes its endpoint
// too, the next block is twice as long.
void AddCrashOfSegment(Suspect& suspect, const wire::ReportSuspectT& command,
                       const Context& context) {
  const StateOptions& options = context.tables.options;
  suspect.shared = true;
  suspect.trial_until = 0;
  suspect.runs.emplace(
      quarantine::RunKeyOf(command.endpoint, command.endpoint_incarnation),
      command.team);
  const bool blocked = suspect.quarantined_until > context.stamp;
  if (blocked || !quarantine::IsProven(suspect.runs, options.quarantine_after))
    return;
  const uint32_t doublings = std::min(suspect.blocks, kMaxBlockDoublings);
  ++suspect.blocks;
  suspect.quarantined_until =
      context.stamp + std::min(options.first_segment_block_ms << doublings,
                               options.quarantine_duration_ms);
}

}  // namespace

wire::SuspectAnswerT SuspectAnswerOf(uint64_t hash, const Suspect& suspect,
                                     WallMs stamp) {
  wire::SuspectAnswerT answer;
  answer.content_hash = hash;
  answer.endpoints = static_cast<uint32_t>(suspect.runs.size());
  answer.quarantined_until_ms = suspect.quarantined_until;
  answer.shared = suspect.shared;
  answer.suspected = suspect.shared && quarantine::IsSuspect(suspect.runs);
  if (suspect.quarantined_until > stamp)
    answer.blocked_ms =
        static_cast<uint32_t>(suspect.quarantined_until - stamp);
  return answer;
}

void Apply(Context& context, const wire::ReportSuspectT& command,
           wire::CommandAnswerT& answer) {
  Tables& tables = context.tables;
  const bool known = tables.suspects.contains(command.content_hash);
  if (!known) DropOldest(tables);
  Suspect& suspect = tables.suspects[command.content_hash];
  const WallMs retention = tables.options.suspect_retention_ms;
  const bool forgotten = known && suspect.last + retention < context.stamp;
  if (forgotten) suspect = Suspect();
  suspect.last = context.stamp;
  if (command.shared)
    AddCrashOfSegment(suspect, command, context);
  else
    AddCrashOfContent(suspect, command, context);
  Answer(answer, SuspectAnswerOf(command.content_hash, suspect, context.stamp));
}

// The content, or a request with the segment, ran to completion, so it was not
// the cause of the deaths reported before.
void Apply(Context& context, const wire::ClearSuspectT& command,
           wire::CommandAnswerT& answer) {
  const auto found = context.tables.suspects.find(command.content_hash);
  if (found == context.tables.suspects.end())
    return Answer(answer, wire::DoneAnswerT());
  wire::SuspectAnswerT cleared;
  cleared.content_hash = command.content_hash;
  cleared.shared = found->second.shared;
  context.tables.suspects.erase(found);
  Answer(answer, cleared);
}

// Grants one trial at a time over all entries, for the time of a lease: an
// entry that dies must not hold it for good.
void Apply(Context& context, const wire::TrySuspectT& command,
           wire::CommandAnswerT& answer) {
  const auto found = context.tables.suspects.find(command.content_hash);
  wire::SuspectAnswerT body;
  body.content_hash = command.content_hash;
  body.shared = true;
  if (found == context.tables.suspects.end()) return Answer(answer, body);
  Suspect& suspect = found->second;
  body = SuspectAnswerOf(command.content_hash, suspect, context.stamp);
  const bool tried_elsewhere =
      suspect.trial_until > context.stamp && suspect.trial_run != context.run;
  if (body.blocked_ms > 0 || tried_elsewhere) {
    body.trial = wire::SuspectTrial::Denied;
  } else {
    body.trial = wire::SuspectTrial::Granted;
    suspect.trial_run = context.run;
    suspect.trial_until = context.stamp + context.tables.options.trial_lease_ms;
  }
  Answer(answer, body);
}

}  // namespace dotterelshift::state
