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

// One request, with what its caller and the engines have seen of it.
struct RequestRecord {
  RequestId id = 0;
  std::string group;  // `id` of the step that sent it and others
  TeamId team;
  BudgetId budget;
  std::string target;
  bool service = false;
  std::string key;
  bool idempotent = true;
  bool crashes_engines = false;
  Tokens prompt = 0;
  Tokens output = 0;  // tokens that the engine will write
  Tokens limit = 0;   // maximum output that the caller allows
  Duration deadline = 30s;
  std::string entry;
  // What the caller has seen.
  Outcome outcome = Outcome::kOpen;
  ErrorKind error = ErrorKind::kNone;
  AttemptId delivered_attempt = 0;  // the attempt whose chunks were forwarded
  Tokens received = 0;
  // What the engines have done.
  int runs = 0;
  bool false_refusal = false;
};

// The trace, the requests, and the checks of the promises that hold in every
// script. Each violation is recorded as a line of Broken().
class Records {
 public:
  void Trace(Instant now, const std::string& text);
  std::string TraceText() const;
  void Break(Instant now, const std::string& text);
  const std::vector<std::string>& Broken() const { return m_violations; }

  RequestRecord& Add(RequestRecord record);
  RequestRecord& Of(RequestId id) { return m_requests.at(id); }
  std::vector<const RequestRecord*> Group(const std::string& group) const;

  // Actions of engines.
  void OnRun(RequestId id, const EndpointId& endpoint, Instant now);
  void OnConsumed(RequestId id, Tokens tokens);
  // Events that callers see.
  void OnChunk(RequestId id, RequestId from, AttemptId attempt, Tokens tokens,
               Instant now);
  void OnAnswered(RequestId id, Instant now);
  void OnFailed(RequestId id, ErrorKind error, Instant now);
  void OnEntryLost(const std::string& entry);
  // A replica applied a batch at a log index. Checks that all replicas apply
  // the same batch there and that no request key is billed twice.
  void OnApplied(uint64_t index, const std::string& payload,
                 const wire::CommandBatchT& batch,
                 const std::vector<wire::CommandAnswerT>& answers, Instant now);

  Tokens Consumed(const BudgetId& budget) const;
  // The tokens of a budget that are neither consumed nor stranded, from the
  // world's state.
  std::function<Tokens(const BudgetId&)> tokens_left;
  // Counts requests by outcome. A false refusal was rejected for lack of tokens
  // while its budget still had enough that were neither consumed nor stranded.
  void Count(int* answered, int* refused, int* false_refusals) const;

  // Checks at the end of a script that no request refused as not run has run.
  void CheckRequests(Instant now);
  // Checks that each key with a complete response has exactly one bill.
  void CheckBills(Instant now);

 private:
  using Key = std::pair<TeamId, std::string>;

  std::deque<std::string> m_trace;
  std::vector<std::string> m_violations;
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
