#include "dotterelshift/app/suspect_changes.h"

#include <string>       // for to_string
#include <string_view>  // for string_view

#include "dotterelshift/telemetry/log.h"  // for Log

namespace dotterelshift::app {
namespace {

// The answer to a trial is its entry's alone. A content that is not quarantined
// is no matter of other entries.
bool ConcernsAllEntries(const wire::CommandT& command,
                        const wire::SuspectAnswerT& answer) {
  if (command.body.AsTrySuspect() != nullptr) return false;
  const bool cleared = answer.endpoints == 0;
  return cleared || answer.suspected || answer.blocked_ms > 0;
}

std::string_view StateOf(const wire::SuspectAnswerT& answer) {
  if (answer.endpoints == 0) return "cleared";
  return answer.blocked_ms > 0 ? "blocked" : "suspected";
}

void LogChange(const wire::CommandT& command,
               const wire::SuspectAnswerT& answer) {
  telemetry::Log(telemetry::LogLevel::kInfo, "suspect_changed",
                 {{"key", std::to_string(answer.content_hash)},
                  {"state", std::string(StateOf(answer))},
                  {"shared", answer.shared ? "yes" : "no"},
                  {"endpoints", std::to_string(answer.endpoints)},
                  {"blocked_ms", std::to_string(answer.blocked_ms)},
                  {"by", command.id == nullptr ? "" : command.id->host}});
}

}  // namespace

std::vector<wire::SuspectAnswerT> SuspectChangesIn(
    const wire::CommandBatchT& batch,
    const std::vector<wire::CommandAnswerT>& answers) {
  std::vector<wire::SuspectAnswerT> changes;
  for (size_t i = 0; i < answers.size(); ++i) {
    const auto* answer = answers[i].body.AsSuspectAnswer();
    if (answer == nullptr || !ConcernsAllEntries(*batch.commands[i], *answer))
      continue;
    changes.push_back(*answer);
    LogChange(*batch.commands[i], *answer);
  }
  return changes;
}

}  // namespace dotterelshift::app
