#include "dotterelshift/base/error.h"

#include <algorithm>  // for find, none_of
#include <array>      // for array

#include "dotterelshift/base/http_status.h"  // for PromisesNotRun

namespace dotterelshift {
namespace {

using enum ErrorKind;
using enum RetryAdvice;

// Columns: kind, name, status, ran, retry, Retry-After in seconds, sentence.
// Ran::kNo is allowed only where no byte of the request was sent to an
// endpoint, or the endpoint refused the request before running any of it.
constexpr std::array kTable = {
    ErrorRow{kBadJson, "bad_json", 400, Ran::kNo, kNever, 0,
             "The body is not valid JSON."},
    ErrorRow{kBadUtf8, "bad_utf8", 400, Ran::kNo, kNever, 0,
             "The body is not valid UTF-8."},
    ErrorRow{kBadField, "bad_field", 400, Ran::kNo, kNever, 0,
             "A field is missing or has the wrong type."},
    ErrorRow{kBadOutputLimit, "bad_output_limit", 400, Ran::kNo, kNever, 0,
             "The output limit is out of bounds."},
    ErrorRow{kBadHeader, "bad_header", 400, Ran::kNo, kNever, 0,
             "A header has a value that is not allowed."},
    ErrorRow{kBodyTooLarge, "body_too_large", 413, Ran::kNo, kNever, 0,
             "The body is larger than allowed."},
    ErrorRow{kSlowCaller, "slow_caller", 408, Ran::kNo, kLater, 1,
             "The request did not arrive in time."},
    ErrorRow{kUnknownPath, "unknown_path", 404, Ran::kNo, kNever, 0,
             "There is nothing at this path."},
    ErrorRow{kBadMethod, "bad_method", 405, Ran::kNo, kNever, 0,
             "This path does not take this method."},
    ErrorRow{kUnauthorized, "unauthorized", 401, Ran::kNo, kNever, 0,
             "The key is missing or not known."},
    ErrorRow{kWrongTeam, "wrong_team", 403, Ran::kNo, kNever, 0,
             "The key belongs to another team."},
    ErrorRow{kUnknownModel, "unknown_model", 404, Ran::kNo, kNever, 0,
             "No endpoint set offers this model."},
    ErrorRow{kUnknownService, "unknown_service", 404, Ran::kNo, kNever, 0,
             "No endpoint set offers this service."},
    ErrorRow{kOutOfReach, "out_of_reach", 403, Ran::kNo, kNever, 0,
             "The team may not reach this model or service."},
    ErrorRow{kKeyRequired, "key_required", 400, Ran::kNo, kNever, 0,
             "A request that is not idempotent needs an Idempotency-Key."},
    ErrorRow{kKeyReused, "key_reused", 422, Ran::kNo, kNever, 0,
             "The key was used before with another body."},
    ErrorRow{kKeyExpired, "key_expired", 410, Ran::kUnknown, kNever, 0,
             "The key is older than the records kept."},
    ErrorRow{kBudgetExhausted, "budget_exhausted", 402, Ran::kNo, kNever, 0,
             "The budget does not cover the request."},
    ErrorRow{kBudgetUnavailable, "budget_unavailable", 503, Ran::kNo, kLater, 5,
             "The rest of the budget could not be reached in time."},
    ErrorRow{kNoBudget, "no_budget", 402, Ran::kNo, kNever, 0,
             "The team has no budget."},
    ErrorRow{kQueueFull, "queue_full", 429, Ran::kNo, kLater, 1,
             "The team's queue is full."},
    ErrorRow{kOverloaded, "overloaded", 503, Ran::kNo, kLater, 2,
             "The request would not be served in time."},
    ErrorRow{kDeadlineBeforeRun, "deadline_before_run", 504, Ran::kNo, kLater,
             1, "The deadline passed before the request was run."},
    ErrorRow{kNoEndpoint, "no_endpoint", 503, Ran::kNo, kLater, 5,
             "No endpoint is there for this request."},
    ErrorRow{kEndpointRefused, "endpoint_refused", 503, Ran::kNo, kLater, 2,
             "The endpoint refused before running."},
    ErrorRow{kDraining, "draining", 503, Ran::kNo, kNow, 0,
             "This host is shutting down."},
    ErrorRow{kNotReady, "not_ready", 503, Ran::kNo, kLater, 1,
             "This host has no current configuration yet."},
    ErrorRow{kNoQuorum, "no_quorum", 503, Ran::kNo, kLater, 2,
             "Control could not be reached in time."},
    ErrorRow{kTooManyConnections, "too_many_connections", 503, Ran::kNo, kLater,
             1, "Too many open connections."},
    ErrorRow{kNotResumable, "not_resumable", 503, Ran::kNo, kLater, 1,
             "No endpoint is known that can resume this stream."},
    ErrorRow{kEndpointFailed, "endpoint_failed", 502, Ran::kUnknown, kLater, 1,
             "The endpoint failed before it answered."},
    ErrorRow{kStreamCut, "stream_cut", 502, Ran::kYes, kLater, 1,
             "The answer was cut before its end."},
    ErrorRow{kDeadlineWhileRunning, "deadline_while_running", 504,
             Ran::kUnknown, kLater, 1,
             "The deadline passed while the request ran."},
    ErrorRow{kOutputLimitReached, "output_limit_reached", 502, Ran::kYes,
             kNever, 0, "The endpoint wrote more than the output limit."},
    ErrorRow{kBillNotRecorded, "bill_not_recorded", 500, Ran::kYes, kLater, 2,
             "The request ran, but its bill could not be recorded in time."},
    ErrorRow{kAlreadyRunning, "already_running", 409, Ran::kYes, kLater, 2,
             "A request with this key is running."},
    ErrorRow{kAlreadyRan, "already_ran", 409, Ran::kYes, kNever, 0,
             "A request with this key already ran."},
    ErrorRow{kOutcomeUnknown, "outcome_unknown", 409, Ran::kUnknown, kNever, 0,
             "A request with this key may have run; it will not run again."},
    ErrorRow{kCallerGone, "caller_gone", 499, Ran::kUnknown, kNever, 0,
             "The caller closed the connection."},
    ErrorRow{kQuarantined, "quarantined", 422, Ran::kNo, kLater, 600,
             "The request is held back: endpoints died while running it."},
    ErrorRow{kDrainedWhileRunning, "drained_while_running", 502, Ran::kUnknown,
             kNow, 0, "This host shut down while the request ran."},
    ErrorRow{kBadIntent, "bad_intent", 400, Ran::kNo, kNever, 0,
             "The intent is not valid."},
    ErrorRow{kPlanUnknown, "plan_unknown", 404, Ran::kNo, kNever, 0,
             "There is no plan with this id."},
    ErrorRow{kPlanConflict, "plan_conflict", 409, Ran::kNo, kNever, 0,
             "Another change with this base came first."},
    ErrorRow{kPlanStale, "plan_stale", 409, Ran::kNo, kNever, 0,
             "What the plan touches has changed since."},
    ErrorRow{kNotLeader, "not_leader", 503, Ran::kNo, kNow, 0,
             "This replica does not lead."},
    ErrorRow{kUnknownCommand, "unknown_command", 400, Ran::kNo, kNever, 0,
             "The command is not known."},
    ErrorRow{kStaleIncarnation, "stale_incarnation", 409, Ran::kNo, kNever, 0,
             "A newer run of this host has taken over."},
    ErrorRow{kResendTooOld, "resend_too_old", 409, Ran::kUnknown, kNever, 0,
             "The command is older than the answers kept."},
    ErrorRow{kBadFrame, "bad_frame", 400, Ran::kNo, kNever, 0,
             "The frame cannot be read."},
    ErrorRow{kVersionMoved, "version_moved", 409, Ran::kNo, kNow, 0,
             "The change is told against a version that is no more in force."},
    ErrorRow{kStorageFull, "storage_full", 507, Ran::kNo, kLater, 30,
             "The data folder is full."},
    ErrorRow{kStorageFailed, "storage_failed", 500, Ran::kUnknown, kLater, 30,
             "The data folder cannot be written."},
    ErrorRow{kStorageDamaged, "storage_damaged", 500, Ran::kUnknown, kNever, 0,
             "The data folder is damaged."},
    ErrorRow{kBadSettings, "bad_settings", 500, Ran::kNo, kNever, 0,
             "The settings are not valid."},
    ErrorRow{kInternal, "internal", 500, Ran::kUnknown, kLater, 5,
             "The system met an error of its own."},
};

static_assert(std::ranges::none_of(kTable, [](const ErrorRow& row) {
  return PromisesNotRun(row.status) && row.ran != Ran::kNo;
}));

}  // namespace

std::span<const ErrorRow> ErrorTable() { return kTable; }

const ErrorRow& RowOf(ErrorKind kind) {
  const auto* row = std::ranges::find(kTable, kind, &ErrorRow::kind);
  return row == kTable.end() ? kTable.back() : *row;
}

std::string_view NameOf(Ran ran) {
  constexpr std::array<std::string_view, 3> kNames = {"no", "yes", "unknown"};
  return kNames.at(static_cast<size_t>(ran));
}

}  // namespace dotterelshift
