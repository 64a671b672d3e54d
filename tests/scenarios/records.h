#ifndef DOTTERELSHIFT_TESTS_SCENARIOS_RECORDS_H_
#define DOTTERELSHIFT_TESTS_SCENARIOS_RECORDS_H_

#include <deque>       // for deque
#include <functional>  // for function
#include <map>         // for map
#include <set>         // for set
#include <string>      // for string
#include <utility>     // for pair
#include <vector>      // for vector

#include "dotterelshift/base/error.h"               // for ErrorKind
#include "dotterelshift/base/ids.h"                 // for RequestId
#include "dotterelshift/base/time.h"                // for Instant
#include "dotterelshift/base/tokens.h"              // for Tokens
#include "dotterelshift/wire/commands_generated.h"  // for CommandBatchT

namespace dotterelshift::scenarios {

enum class Outcome { kOpen, kAnswered, kFailed, kLost };

// One request as its caller knows it, and what the engines know of it.
struct RequestRecord {
  RequestId id = 0;
  std::string group;  // the script's name of it and its like
  TeamId team;
  BudgetId budget;
  std::string target;
  bool service = false;
  std::string key;
  bool idempotent = true;
  bool crashes_engines = false;
  Tokens prompt = 0;
  Tokens output = 0;  // what the engine will write
  Tokens limit = 0;   // what the caller allows
  Duration deadline = 30s;
  std::string entry;
  // The caller's side.
  Outcome outcome = Outcome::kOpen;
  ErrorKind error = ErrorKind::kNone;
  AttemptId shown = 0;  // the attempt whose pieces the caller has seen
  Tokens received = 0;
  // The engines' side.
  int runs = 0;
  bool refused_falsely = false;
};

// The trace, the requests, and the promises that hold whatever a script does. A
// broken promise is kept as a line of Broken().
class Records {
 public:
  void Trace(Instant now, const std::string& text);
  std::string TraceText() const;
  void Break(Instant now, const std::string& text);
  const std::vector<std::string>& Broken() const { return m_broken; }

  RequestRecord& Add(RequestRecord record);
  RequestRecord& Of(RequestId id) { return m_requests.at(id); }
  std::vector<const RequestRecord*> Group(const std::string& group) const;

  // What engines did.
  void OnRun(RequestId id, const EndpointId& endpoint, Instant now);
  void OnConsumed(RequestId id, Tokens tokens);
  // What callers saw.
  void OnChunk(RequestId id, RequestId from, AttemptId attempt, Tokens tokens,
               Instant now);
  void OnAnswered(RequestId id, Instant now);
  void OnFailed(RequestId id, ErrorKind error, Instant now);
  void OnEntryLost(const std::string& entry);
  // A batch that a replica applied at an index.
  void OnApplied(uint64_t index, const std::string& payload,
                 const wire::CommandBatchT& batch,
                 const std::vector<wire::CommandAnswerT>& answers, Instant now);

  Tokens Consumed(const BudgetId& budget) const;
  // What the budget has left for others, as the world knows it.
  std::function<Tokens(const BudgetId&)> tokens_left;
  // How many requests had which end. A false refusal was turned away for want
  // of tokens while its budget still had enough that was neither consumed nor
  // stranded.
  void Count(int* answered, int* refused, int* false_refusals) const;

  // Checks what can only be said at the end.
  void CheckRequests(Instant now);
  // Whether each whole answer has its bill.
  void CheckBills(Instant now);

 private:
  using Key = std::pair<TeamId, std::string>;

  std::deque<std::string> m_trace;
  std::vector<std::string> m_broken;
  std::map<RequestId, RequestRecord> m_requests;
  std::map<BudgetId, Tokens> m_consumed;
  std::map<Key, int> m_runs_of_key;
  std::map<Key, int> m_bills;
  std::set<std::string> m_billed_attempts;
  std::set<Key> m_answered;
  std::map<uint64_t, std::string> m_log;
};

}  // namespace dotterelshift::scenarios

#endif  // DOTTERELSHIFT_TESTS_SCENARIOS_RECORDS_H_
