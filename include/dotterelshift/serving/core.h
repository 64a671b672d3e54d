#ifndef DOTTERELSHIFT_SERVING_CORE_H_
#define DOTTERELSHIFT_SERVING_CORE_H_

#include <memory>         // for unique_ptr
#include <optional>       // for optional
#include <set>            // for set
#include <string>         // for string
#include <unordered_map>  // for unordered_map
#include <utility>        // for pair
#include <vector>         // for vector

#include "dotterelshift/quarantine/blocklist.h"           // for Blocklist
#include "dotterelshift/quarantine/suspects.h"            // for Suspects
#include "dotterelshift/serving/pending_command_table.h"  // for PendingCommandTable
#include "dotterelshift/serving/refusal_tally.h"          // for RefusalTally
#include "dotterelshift/serving/request.h"       // for Request, Attempt
#include "dotterelshift/serving/request_core.h"  // for RequestCore
#include "dotterelshift/serving/retry_budget.h"  // for RetryBudget
#include "dotterelshift/serving/spend.h"         // for Spend

namespace dotterelshift::serving {

// The implementation of RequestCore. Its methods are grouped by topic in these
// files: request_core.cc (events, timers), arrival.cc (authorization, queue,
// choice of endpoint), budget_wait.cc (reservations), dispatch.cc (claims,
// openings, start of attempts), attempt_end.cc (chunks, end of attempts,
// retries) and settlement.cc (commands and their answers, end of requests).
class Core final : public RequestCore {
 public:
  Core(const RequestCoreOptions& options,
       const RequestCoreDependencies& dependencies);

  void OnRequest(RequestId id, callers::CallerRequest caller_request,
                 Instant now) override;
  void OnCallerGone(RequestId id, Instant now) override;
  void OnAttemptHead(AttemptId attempt, int status, Instant now) override;
  ChunkVerdict OnChunk(AttemptId id, const Chunk& chunk, Instant now) override;
  void OnAttemptEnd(AttemptId id, AttemptEnd end, Instant now) override;
  void OnAnswer(const wire::CommandAnswerT& answer, Instant now) override;
  void OnSpooled(const wire::CommandIdT& id, Instant now) override;
  void OnControlReach(ControlReach reach, Instant now) override;
  void OnRecall(const wire::RecallT& recall, Instant now) override;
  void OnQuarantine(const wire::QuarantinePushT& push, Instant now) override;
  void OnEntriesChanged(size_t place, size_t count) override;
  void OnRefresh(Instant now) override;
  void StartDraining(Instant now) override;
  bool Drained() const override;
  void OnTimer(Instant now) override;
  std::optional<Instant> NextTimer() const override;
  const callers::CallerRequest* RequestOf(AttemptId id) const override;
  std::vector<Action> TakeActions() override;
  std::vector<RequestSummary> TakeSummaries() override;
  const ServingCounters& Counters() const override { return m_counters; }
  size_t OpenRequests() const override { return m_requests.size(); }

 private:
  // ---- request_core.cc
  Request* FindRequest(RequestId id);
  Request* FindByAttempt(AttemptId id);
  void SetDue(Request* request, std::optional<Instant> due);
  void OnDue(Request* request, Instant now);
  // Called at the end of every event: starts the requests that can start now
  // and sends the ledger's requests and returns.
  void FinishEvent(Instant now);

  // ---- arrival.cc
  // Identifies the caller's team and checks whether the request may be served.
  // Returns the first reason to refuse it, or kNone.
  ErrorKind Authorize(Request* request);
  ErrorKind CheckAccess(const Request& request) const;
  void Enqueue(Request* request, Instant now);
  // Queues the request, for the first time or again, in FinishEvent() of the
  // current event: the queue must not be modified while it offers requests.
  void EnqueueDeferred(Request* request);
  // Tries to start a queued request. Returns false when it must stay queued.
  bool TryStart(RequestId id, Instant now);
  routing::RouteChoice Choose(const Request& request, Instant now);
  routing::RouteChoice ChooseFor(const Request& request,
                                 const std::vector<EndpointId>& exclude,
                                 Instant now);
  std::vector<EndpointId> EndpointsOfOtherEntries() const;
  void AwaitIsolation(Request* request, Instant now);
  void RetryIsolated();
  void OnNoEndpoint(Request* request, Instant now);

  // ---- budget_wait.cc
  // Returns true when the worst case of one attempt is reserved. Otherwise the
  // request now waits for tokens or has been refused.
  bool ReserveOrWait(Request* request, Instant now);
  void WaitForTokens(Request* request, Instant now);
  void RetryWaiters(Instant now);
  void RefuseForBudget(Request* request, Instant now);
  bool MayBeFreedLocally(const Request& request) const;
  // Whether any tokens of the budget are left, here or elsewhere, as far as
  // this entry knows.
  bool BudgetRemained(const Request& request) const;
  // Whether, by control's last answer, fewer tokens than the worst case are
  // left in total.
  bool IsExhausted(const Request& request) const;
  void RemoveFromWaiters(const Request& request);
  // Tokens reserved for an attempt, and whether they are pre-authorized.
  struct Reservation {
    Tokens tokens = 0;
    bool standing = false;
  };
  void ReleaseReservation(const Request& request,
                          const Reservation& reservation, Tokens spent,
                          Instant now);
  // Whether the attempt may be dispatched although its opening cannot be
  // committed now.
  bool MayDispatchWithoutOpening(Request* request, Instant now);
  void SendAdjustments(const std::vector<budget::GrantAdjustment>& adjustments);

  // ---- dispatch.cc
  void BeginAttempt(Request* request, const routing::RouteChoice& choice,
                    Instant now);
  void ProposeClaim(Request* request, Instant now);
  void OnClaim(Request* request, const wire::CommandAnswerT& answer,
               Instant now);
  void OpenOrDispatch(Request* request, Instant now);
  void OnOpened(Request* request, const wire::CommandAnswerT& answer,
                Instant now);
  void OnOpeningRefused(Request* request, ErrorKind error, Instant now);
  void OnCommitTimeout(Request* request, Instant now);
  void Dispatch(Request* request, Instant now);
  bool ChooseReplacement(Request* request, Instant now);

  // ---- attempt_end.cc
  void EndAttempt(Request* request, AttemptEnd end, Instant now);
  void HandleFailure(Request* request, const Attempt& attempt, AttemptEnd end,
                     Instant now);
  bool MayRetry(const Request& request, AttemptEnd end, Instant now);
  // Reports to control that the endpoint died during the attempt. Returns the
  // sequence of the command.
  uint64_t ReportDeath(const Request& request, const Attempt& attempt,
                       Instant now);
  void OnReported(Request* request, Instant now);
  void RetryOrFail(Request* request, Instant now);
  // Cancels the running attempt and fails the request.
  void CancelAndFail(Request* request, ErrorKind kind, Instant now);
  // Removes the attempt from the request, the router and the suspects.
  Attempt Detach(Request* request, bool failed, Instant now);
  // Abandons an attempt that was never sent to an endpoint. A pending opening
  // is settled with nothing spent; a pending claim is released when its answer
  // arrives.
  void DropUnsentAttempt(Request* request, Instant now);

  // ---- settlement.cc
  struct Settlement {
    Spend spend;
    Tokens billed = 0;
    wire::Outcome outcome = wire::Outcome::Failed;
    bool last = true;
    bool unknown = false;
  };
  void Settle(Request* request, const Attempt& attempt,
              const Settlement& settlement, Instant now);
  wire::SettleT SettleBody(const Request& request, AttemptId attempt) const;
  void ReleaseClaim(Request* request);
  template <typename Body>
  uint64_t Propose(Body body, PendingCommand pending) {
    AddAction(
        ProposeCommand{m_commands.Add(std::move(body), std::move(pending))});
    return m_commands.LastSequence();
  }
  template <typename Wanted>
  void AddAction(Wanted action) {
    m_actions.emplace_back(std::in_place_type<Wanted>, std::move(action));
  }
  uint64_t ProposeSettle(wire::SettleT settle, RequestId request);
  void Spool(uint64_t sequence);
  void SpoolPendingSettlement(Request* request, Instant now);
  void OnSettled(Request* request, const wire::CommandAnswerT& answer,
                 Instant now);
  void OnGrantAnswer(const PendingCommand& pending,
                     const wire::CommandAnswerT& answer, Instant now);
  void OnOpenAnswer(const PendingCommand& pending,
                    const wire::CommandAnswerT& answer, Instant now);
  void OnClaimAnswer(PendingCommand* pending,
                     const wire::CommandAnswerT& answer, Instant now);
  void RecordRefusals();
  void ReturnGrants(Instant now);

  // End a request: with a complete response, or with an error.
  void Finish(Request* request, Instant now);
  void Fail(Request* request, ErrorKind kind, Instant now,
            int retry_after_seconds = 0, std::string detail = {});
  // The error kind to report: replaces a kind that means "not run" when an
  // endpoint may have run the request.
  static ErrorKind ReportableKind(const Request& request, ErrorKind kind);
  void CountRefusal(const Request& request, ErrorKind kind, Instant now);
  void Summarize(const Request& request, ErrorKind kind, Instant now);
  void Forget(Request* request);

  RequestCoreOptions m_options;
  RequestCoreDependencies m_dependencies;
  ControlReach m_reach = ControlReach::kNever;
  bool m_draining = false;
  bool m_adjustments_due = false;
  AttemptId m_last_attempt = 0;

  std::unordered_map<RequestId, std::unique_ptr<Request>> m_requests;
  std::unordered_map<AttemptId, RequestId> m_attempts;
  std::set<std::pair<Instant, RequestId>> m_timers;
  std::vector<RequestId> m_awaiting_isolation;
  std::vector<RequestId> m_deferred;  // to be queued before this event ends
  // Requests that wait for tokens, in order of arrival, and the budgets of
  // which tokens were freed.
  std::unordered_map<budget::BudgetHandle, std::vector<RequestId>> m_waiters;
  std::set<budget::BudgetHandle> m_freed;
  Instant m_next_reserve{};
  // Control's last grant answer per budget, for its `free` and `elsewhere`.
  std::unordered_map<budget::BudgetHandle, wire::GrantAnswerT> m_last_grant;
  // Budgets with a pending grant request.
  std::set<budget::BudgetHandle> m_grants_pending;

  PendingCommandTable m_commands;
  RetryBudget m_retries;
  RefusalTally m_refusals;
  quarantine::Blocklist m_blocklist;
  quarantine::Suspects m_suspects;
  size_t m_entry_index = 0;  // index of this entry among all entries
  size_t m_entries = 1;

  uint64_t m_directory_seen = 0;
  uint64_t m_configuration_seen = 0;
  std::vector<Action> m_actions;
  std::vector<RequestSummary> m_summaries;
  ServingCounters m_counters;
};

}  // namespace dotterelshift::serving

#endif  // DOTTERELSHIFT_SERVING_CORE_H_
