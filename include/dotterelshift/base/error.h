#ifndef DOTTERELSHIFT_BASE_ERROR_H_
#define DOTTERELSHIFT_BASE_ERROR_H_

#include <cstdint>      // for uint16_t
#include <span>         // for span
#include <stdexcept>    // for runtime_error
#include <string>       // for string
#include <string_view>  // for string_view

namespace dotterelshift {

// Every way in which the system says no. The list is closed: a new kind gets a
// row in the table of error.cc, a line in docs/OPERATING.md and a test. The
// numbers travel between daemons and are never used again.
enum class ErrorKind : uint16_t {
  kNone = 0,
  // The caller's request is at fault.
  kBadJson = 1,
  kBadUtf8 = 2,
  kBadField = 3,
  kBadOutputLimit = 4,
  kBadHeader = 5,
  kBodyTooLarge = 6,
  kSlowCaller = 7,
  kUnknownPath = 8,
  kBadMethod = 9,
  kUnauthorized = 10,
  kWrongTeam = 11,
  kUnknownModel = 12,
  kUnknownService = 13,
  kOutOfReach = 14,
  kKeyRequired = 15,
  kKeyReused = 16,
  kKeyExpired = 17,
  // The budget says no.
  kBudgetExhausted = 30,
  kBudgetUnavailable = 31,
  kNoBudget = 32,
  // Load, or the state of the fleet.
  kQueueFull = 40,
  kOverloaded = 41,
  kDeadlineBeforeRun = 42,
  kNoEndpoint = 43,
  kEndpointRefused = 44,
  kDraining = 45,
  kNotReady = 46,
  kNoQuorum = 47,
  kTooManyConnections = 48,
  // The request ran, or may have.
  kEndpointFailed = 60,
  kStreamCut = 61,
  kDeadlineWhileRunning = 62,
  kOutputLimitReached = 63,
  kBillNotRecorded = 64,
  kAlreadyRunning = 65,
  kAlreadyRan = 66,
  kOutcomeUnknown = 67,
  kCallerGone = 68,
  kQuarantined = 69,
  kDrainedWhileRunning = 70,
  // Operators and the daemons between themselves.
  kBadIntent = 80,
  kPlanUnknown = 81,
  kPlanConflict = 82,
  kPlanStale = 83,
  kNotLeader = 84,
  kUnknownCommand = 85,
  kStaleIncarnation = 86,
  kResendTooOld = 87,
  kBadFrame = 88,
  kVersionMoved = 89,
  // This host's own trouble.
  kStorageFull = 100,
  kStorageFailed = 101,
  kStorageDamaged = 102,
  kBadSettings = 103,
  kInternal = 104,
};

// Whether the request that an answer speaks of was run by an endpoint.
enum class Ran : uint8_t { kNo, kYes, kUnknown };

// What the caller should do next.
enum class RetryAdvice : uint8_t { kNever, kLater, kNow };

// One row of the table from kind to answer.
struct ErrorRow {
  ErrorKind kind;
  std::string_view name;  // stable; shown to callers, in metrics and in reports
  int status;             // HTTP status of the answer
  Ran ran;
  RetryAdvice retry;
  int retry_after_seconds;    // 0: no Retry-After header
  std::string_view sentence;  // what the caller reads
};

// The whole table, in the order of the kinds.
std::span<const ErrorRow> ErrorTable();

// The row of a kind; the row of kInternal for a number that is not in the
// table.
const ErrorRow& RowOf(ErrorKind kind);

// The name of a value of Ran: "no", "yes" or "unknown".
std::string_view NameOf(Ran ran);

// The exception of the project: a kind, and a detail for people. Thrown outside
// the request path only.
class Error : public std::runtime_error {
 public:
  Error(ErrorKind kind, const std::string& detail)
      : std::runtime_error(detail), m_kind(kind) {}
  ErrorKind Kind() const { return m_kind; }

 private:
  ErrorKind m_kind;
};

}  // namespace dotterelshift

#endif  // DOTTERELSHIFT_BASE_ERROR_H_
