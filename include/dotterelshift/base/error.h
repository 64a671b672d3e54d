#ifndef DOTTERELSHIFT_BASE_ERROR_H_
#define DOTTERELSHIFT_BASE_ERROR_H_

#include <cstdint>      // for uint16_t
#include <span>         // for span
#include <stdexcept>    // for runtime_error
#include <string>       // for string
#include <string_view>  // for string_view

namespace dotterelshift {

// All errors that the system reports. A new kind needs a row in the table in
// error.cc, a line in docs/OPERATING.md and a test. The numbers are sent
// between daemons, so the number of a removed kind must not be reused.
enum class ErrorKind : uint16_t {
  kNone = 0,
  // Invalid requests.
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
  // Refused because of the budget.
  kBudgetExhausted = 30,
  kBudgetUnavailable = 31,
  kNoBudget = 32,
  // Refused because of load or the state of the fleet.
  kQueueFull = 40,
  kOverloaded = 41,
  kDeadlineBeforeRun = 42,
  kNoEndpoint = 43,
  kEndpointRefused = 44,
  kDraining = 45,
  kNotReady = 46,
  kNoQuorum = 47,
  kTooManyConnections = 48,
  kNotResumable = 49,
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
  // Operator commands and messages between daemons.
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
  // Faults of this host.
  kStorageFull = 100,
  kStorageFailed = 101,
  kStorageDamaged = 102,
  kBadSettings = 103,
  kInternal = 104,
};

// Whether an endpoint ran the request that a response is about.
enum class Ran : uint8_t { kNo, kYes, kUnknown };

// What the caller should do next.
enum class RetryAdvice : uint8_t { kNever, kLater, kNow };

// The response to the caller for one kind of error.
struct ErrorRow {
  ErrorKind kind;
  std::string_view name;  // stable; shown to callers, in metrics and in reports
  int status;             // HTTP status of the response
  Ran ran;
  RetryAdvice retry;
  int retry_after_seconds;    // 0: no Retry-After header
  std::string_view sentence;  // message for the caller
};

// All rows, ordered by kind.
std::span<const ErrorRow> ErrorTable();

// Returns the row of a kind, or the row of kInternal for a number that is not
// in the table.
const ErrorRow& RowOf(ErrorKind kind);

// The name of a value of Ran: "no", "yes" or "unknown".
std::string_view NameOf(Ran ran);

// The exception type of the project: an error kind and a human-readable detail.
// Not thrown on the request path.
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
