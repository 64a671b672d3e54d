#ifndef DOTTERELSHIFT_SRC_GATEWAY_CORE_IMPL_H_
#define DOTTERELSHIFT_SRC_GATEWAY_CORE_IMPL_H_

#include <map>            // for map
#include <memory>         // for shared_ptr
#include <optional>       // for optional
#include <random>         // for mt19937_64
#include <set>            // for set
#include <string>         // for string
#include <unordered_map>  // for unordered_map
#include <utility>        // for pair
#include <vector>         // for vector

#include "dotterelshift/gateway/active_request.h"  // for ActiveRequest
#include "dotterelshift/gateway/core.h"            // for Core

namespace dotterelshift::gateway {

// The implementation behind MakeCore(): arrival in core.cc, choice of the
// endpoint and sending in core_place.cc, the queue for the outbound link in
// core_link.cc, responses and retries in core_answer.cc.
class CoreImpl final : public Core {
 public:
  CoreImpl(const CoreOptions& options, const CoreParts& parts)
      : m_options(options), m_parts(parts), m_random(options.seed) {}

  void OnRoutes(std::shared_ptr<const RouteTable> routes, size_t entries,
                Instant now) override;
  void OnEndpointsChanged(const directory::Directory& directory,
                          Instant now) override;
  void StartDraining(const DrainTimes& times) override { m_drain = times; }
  void CutOpen(Instant now) override;
  void OnRequest(RequestId request, RequestInfo info, Instant now) override;
  void OnCallerGone(RequestId request, Instant now) override;
  void OnHead(AttemptId attempt, int status, const AnswerMarks& marks,
              Instant now) override;
  void OnPiece(AttemptId attempt, std::string_view bytes, Instant now) override;
  void OnEnd(AttemptId attempt, http::TransferEnd end, Instant now) override;
  void OnWithdrawn(AttemptId attempt, Instant now) override;
  void OnBudgetChanged(Instant now) override;
  void OnTimer(Instant now) override;
  Instant NextTimer() const override;
  std::vector<Action> TakeActions() override {
    return std::exchange(m_actions, {});
  }
  std::vector<serving::RequestSummary> TakeFinished() override {
    return std::exchange(m_finished, {});
  }
  std::vector<Suspicion> TakeSuspicions() override {
    return std::exchange(m_suspicions, {});
  }
  size_t OpenRequests() const override { return m_active.size(); }
  LinkQueue WaitingForLink() const override;

 private:
  // Arrival (core.cc). An ErrorKind other than kNone is the reason for refusal.
  ErrorKind FindRoute(ActiveRequest& active) const;
  ErrorKind FindTeam(ActiveRequest& active) const;
  void Admit(ActiveRequest& active, Instant now);
  bool OutlastsTheStop(const ActiveRequest& active, Instant now) const;
  void SetTimes(ActiveRequest& active) const;
  ServiceName PickService(const Route& route);
  void ReserveBudget(ActiveRequest& active, Instant now);
  Duration BudgetWait(const ActiveRequest& active, Instant now) const;
  void FailForBudget(ActiveRequest& active, ErrorKind kind, Instant now);

  // Choosing an endpoint and sending (core_place.cc).
  void Place(ActiveRequest& active, Instant now);
  void WaitForPlace(ActiveRequest& active, Instant now);
  bool ComesTooLate(const ActiveRequest& active, const Placement& placement,
                    Instant now) const;
  void Send(ActiveRequest& active, Instant now);
  void LeaveEndpoint(ActiveRequest& active, Instant now);
  void LogSent(const ActiveRequest& active, Instant now);
  Duration RetryAfter(const ActiveRequest& active, Duration wait, Instant now);
  Duration SpreadReturn(const ActiveRequest& active, Duration least,
                        Instant now);

  // The outbound link (core_link.cc).
  bool MayGoOut(const ActiveRequest& active, Instant now) const;
  void WaitForLink(ActiveRequest& active, Instant now);
  void SendWaiting(Instant now);
  void RefuseLate(Instant now);
  void RefuseForLink(ActiveRequest& active, Instant now);
  Duration LinkWait(const ActiveRequest& active, Instant now) const;
  // Until when an attempt that begins now may wait for the outbound link.
  static Instant LinkUntil(const ActiveRequest& active, Instant now);
  // Whether an attempt that begins now could be sent by LinkUntil().
  bool GoesOutInTime(const ActiveRequest& active, Instant now) const;
  uint64_t BytesBefore(const LinkRank& rank) const;
  void LeaveLinkQueue(ActiveRequest& active);
  void OnLetGo(const ActiveRequest& active, Instant now);
  void OnNotSent(AttemptId attempt, Instant now);
  Instant NextLinkTimer() const;

  // Responses (core_answer.cc).
  ActiveRequest* OfAttempt(AttemptId attempt);
  void OnWholeAnswer(ActiveRequest& active, Instant now);
  void OnEndpointRefusal(ActiveRequest& active, Instant now);
  void OnBrokenAttempt(ActiveRequest& active, http::TransferEnd end,
                       Instant now);
  bool TryAgain(ActiveRequest& active, Instant now);
  bool MayRunAgain(const ActiveRequest& active) const;
  void OnFirstEvent(ActiveRequest& active, Instant now);
  void OnDeadline(ActiveRequest& active, Instant now);
  void CancelAttemptOf(ActiveRequest& active);
  void EndAttempt(ActiveRequest& active);
  void Suspect(const ActiveRequest& active);
  void Clear(const ActiveRequest& active);
  void Fail(ActiveRequest& active, ErrorKind kind, Duration retry_after,
            Instant now);
  void Finish(ActiveRequest& active, ErrorKind error, bool answered,
              Instant now);
  Tokens SpentBy(const ActiveRequest& active) const;
  void LogFinish(const ActiveRequest& active,
                 const serving::RequestSummary& summary, Stage stage,
                 bool answered, Instant now);

  void CutByStop(ActiveRequest& active, Instant now);

  void OnDue(ActiveRequest& active, Instant now);
  void SetDue(ActiveRequest& active, Instant when);
  Instant DueWhileRunning(const ActiveRequest& active) const;
  void Log(std::string_view event, const ActiveRequest& active,
           std::vector<std::pair<std::string_view, std::string>> inputs,
           AttemptId attempt = 0);

  const CoreOptions m_options;
  const CoreParts m_parts;
  std::mt19937_64 m_random;
  std::shared_ptr<const RouteTable> m_routes;
  std::optional<DrainTimes> m_drain;
  bool m_stopped = false;
  std::unordered_map<RequestId, ActiveRequest> m_active;
  std::unordered_map<AttemptId, RequestId> m_attempts;
  AttemptId m_last_attempt = 0;
  std::set<std::pair<Instant, RequestId>> m_due;
  std::map<LinkRank, uint64_t>
      m_waiting;  // queued for the link, with their bytes
  // A request was queued ahead of others, which may miss their link_until now.
  bool m_pushed_back = false;
  uint64_t m_link_refused = 0;
  std::vector<Action> m_actions;
  std::vector<serving::RequestSummary> m_finished;
  std::vector<Suspicion> m_suspicions;
  std::set<uint64_t> m_suspected;  // contents reported and not yet cleared
};

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_SRC_GATEWAY_CORE_IMPL_H_
