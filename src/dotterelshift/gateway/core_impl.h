#ifndef DOTTERELSHIFT_SRC_GATEWAY_CORE_IMPL_H_
#define DOTTERELSHIFT_SRC_GATEWAY_CORE_IMPL_H_

#include <map>            // for map
#include <memory>         // for shared_ptr
#include <optional>       // for optional
#include <random>         // for mt19937_64
#include <set>            // for set
#include <string>         // for string
#include <string_view>    // for string_view
#include <unordered_map>  // for unordered_map
#include <utility>        // for pair
#include <vector>         // for vector

#include "dotterelshift/gateway/active_request.h"  // for ActiveRequest
#include "dotterelshift/gateway/core.h"            // for Core
#include "dotterelshift/gateway/route_targets.h"   // for RouteTargets

namespace dotterelshift::gateway {

// The implementation behind MakeCore(): arrival in core.cc, choice of the
// endpoint and sending in core_placement.cc, the queue for the outbound link in
// core_link.cc, paths to endpoints in core_paths.cc, permits for endpoints that
// name limits in core_permits.cc, responses and retries in core_response.cc,
// silent endpoints in core_silence.cc, versions of streams in core_streams.cc,
// streams that are resumed while they run in core_takeover.cc,
// endpoints that may have started again in core_doubt.cc, requests that crash
// endpoints in core_suspects.cc.
class CoreImpl final : public Core {
 public:
  CoreImpl(const CoreOptions& options, const CoreDependencies& parts)
      : m_options(options), m_dependencies(parts), m_random(options.seed) {}

  void OnRoutes(std::shared_ptr<const RouteTable> routes, size_t entries,
                Instant now) override;
  void OnEndpointsChanged(const directory::Directory& directory,
                          Instant now) override;
  void StartDraining(const DrainSchedule& times) override { m_drain = times; }
  void AbortOpenRequests(Instant now) override;
  void OnRequest(RequestId request, RequestInfo info, Instant now) override;
  void OnCallerGone(RequestId request, Instant now) override;
  bool IsDue(AttemptId attempt, int status,
             const ResponseInfo& response_info) const override;
  void OnSkipped(AttemptId attempt, int status,
                 const ResponseInfo& response_info) override;
  void OnHead(AttemptId attempt, int status, const ResponseInfo& response_info,
              Instant now) override;
  void OnChunk(AttemptId attempt, std::string_view bytes, Instant now) override;
  void OnEnd(AttemptId attempt, http::TransferEnd end, Instant now) override;
  void OnTooLarge(AttemptId attempt, Instant now) override;
  void OnCallerSlow(RequestId request, bool slow, Instant now) override;
  void OnConnected(AttemptId attempt, Instant now) override;
  void OnUnacknowledged(AttemptId attempt, Instant now) override;
  void OnWithdrawn(AttemptId attempt, Instant now) override;
  void OnPermits(Instant now) override;
  void OnPathsChanged(Instant now) override;
  void OnRelayOffered(Instant now) override;
  void OnBudgetChanged(Instant now) override;
  void OnViewComplete(std::optional<Instant> since) override {
    m_view_complete_since = since;
  }
  void OnViewConfirmed(Instant asked_at, Instant now) override;
  std::optional<Instant> AwaitsConfirmationSince() const override;
  void OnOriginsLookedUp(const std::vector<origins::EndedLookup>& lookups,
                         Instant now) override;
  void OnTakenOver(const StreamTakeover& takeover, const HostId& by,
                   Instant now) override;
  std::vector<StreamTakeover> TakeTakeovers() override {
    return std::exchange(m_takeovers, {});
  }
  void OnTimer(Instant now) override;
  Instant NextTimer() const override;
  std::vector<Action> TakeActions() override {
    return std::exchange(m_actions, {});
  }
  std::vector<serving::RequestSummary> TakeFinished() override {
    return std::exchange(m_finished, {});
  }
  std::vector<SuspectReport> TakeSuspectReports() override;
  std::vector<EndpointKey> TakeReplaced() override {
    return std::exchange(m_replaced, {});
  }
  size_t HeldBytes(AttemptId attempt) const override;
  size_t OpenRequests() const override { return m_active.size(); }
  LinkQueue WaitingForLink() const override;
  const ResumptionCounts& Resumptions() const override { return m_resumptions; }
  uint64_t SuspectRefusals() const override { return m_suspect_refusals; }
  uint64_t LimitRefusals() const override { return m_limit_refusals; }
  const std::map<ServiceName, uint64_t>& ResponsesToOthers() const override {
    return m_responses_to_others;
  }

 private:
  void LogArrivals(const directory::Directory& directory, Instant now);

  // Arrival (core.cc). An ErrorKind other than kNone is the reason for refusal.
  ErrorKind FindRoute(ActiveRequest& active) const;
  ErrorKind FindTeam(ActiveRequest& active) const;
  void Admit(ActiveRequest& active, Instant now);
  void AdmitResumed(ActiveRequest& active, Instant now);
  void AdmitToService(ActiveRequest& active, Instant now);
  bool OutlivesDrain(const ActiveRequest& active, Instant now) const;
  void SetTimes(ActiveRequest& active) const;
  ServiceName PickService(const Route& route);
  void ReserveBudget(ActiveRequest& active, Instant now);
  Duration BudgetWait(const ActiveRequest& active, Instant now) const;
  void FailForBudget(ActiveRequest& active, ErrorKind kind, Instant now);

  // Streams that are resumed while they run (core_takeover.cc).
  void TakeOver(const ActiveRequest& active, Instant now);
  void EndRuns(const std::vector<RequestId>& runs, const HostId& by,
               Instant now);

  // Choosing an endpoint and sending (core_placement.cc).
  void Place(ActiveRequest& active, Instant now);
  // Reserves a slot at the endpoint, once the link and the endpoint's limit let
  // the request be sent.
  void Book(ActiveRequest& active, const Placement& placement, Instant now);
  void WaitForEndpoint(ActiveRequest& active, Instant now);
  bool WouldRespondTooLate(const ActiveRequest& active,
                           const Placement& placement, Instant now) const;
  void Send(ActiveRequest& active, Instant now);
  void LeaveEndpoint(ActiveRequest& active, Instant now);
  void LogSent(const ActiveRequest& active, Instant now);
  // Ids of the segments that other requests may share, comma-separated.
  static std::string SharedSegmentsOf(const ActiveRequest& active);
  Duration RetryAfter(const ActiveRequest& active, Duration wait, Instant now);
  Duration JitteredRetryAfter(const ActiveRequest& active, Duration minimum,
                              Instant now);

  // The outbound link (core_link.cc).
  bool CanSendNow(const ActiveRequest& active, Instant now) const;
  void WaitForLink(ActiveRequest& active, Instant now);
  void SendWaiting(Instant now);
  void RefuseOverdue(Instant now);
  void RefuseForLink(ActiveRequest& active, Instant now);
  Duration LinkWait(const ActiveRequest& active, Instant now) const;
  // The time until which an attempt that begins now may wait for the outbound
  // link.
  static Instant LinkDeadline(const ActiveRequest& active, Instant now);
  // Whether an attempt that begins now could be sent by LinkDeadline().
  bool CanSendInTime(const ActiveRequest& active, Instant now) const;
  uint64_t BytesAhead(const LinkRank& rank) const;
  void LeaveLinkQueue(ActiveRequest& active);
  void OnHandedToLink(const ActiveRequest& active, Instant now);
  void OnNotSent(AttemptId attempt, Instant now);
  Instant NextLinkTimer() const;

  // Permits for endpoints that name limits (core_permits.cc).
  bool NeedsPermit(EndpointKey endpoint) const;
  Duration MaxPermitWait(const ActiveRequest& active, Instant now) const;
  PermitDemand PermitDemandOf(const ActiveRequest& active,
                              const Placement& placement, Instant now) const;
  bool TakePermit(ActiveRequest& active, const Placement& placement,
                  Instant now);
  void OnPermitDenied(ActiveRequest& active, Instant now);
  std::optional<Duration> WaitForLimits(const ActiveRequest& active,
                                        Instant now) const;
  void RefuseForLimits(ActiveRequest& active, Duration wait, Instant now);

  // Paths to endpoints (core_paths.cc).
  std::optional<RelayContact> RelayTo(EndpointKey endpoint, Instant now) const;
  // Whether the failure of an attempt is attributed to the path to its endpoint
  // and not to the endpoint, and there is another path.
  bool IsPathFailure(const ActiveRequest& active, http::TransferEnd end,
                     Instant now) const;
  void ReportConnectFailure(const ActiveRequest& active, http::TransferEnd end,
                            Instant now);
  void LeavePath(ActiveRequest& active, Instant now);
  void LogPathDoubts();
  // The best endpoint that this request may be sent to and that is reached on
  // some path.
  std::optional<Placement> ChooseEndpoint(const ActiveRequest& active,
                                          Instant now);
  std::optional<Placement> ChooseAmong(const ActiveRequest& active,
                                       const ChoiceLimits& limits,
                                       Instant now) const;
  std::optional<Placement> ChooseWithin(const ActiveRequest& active,
                                        ChoiceLimits limits, Instant now) const;
  // The same, of endpoints at which a permit may be asked for by `open_by`.
  // Sets `next_open` to when the next other one opens.
  std::optional<Placement> ChooseOpen(const ActiveRequest& active,
                                      ChoiceLimits limits, Instant open_by,
                                      Instant now, Instant* next_open) const;
  bool LacksPath(EndpointKey endpoint, Instant now) const;
  // Whether probes will soon tell if the request's service is reached at all.
  bool IsBeingChecked(const ActiveRequest& active, Instant now) const;
  // Whether the request may be sent to the same endpoint again by another path
  // than the one that failed.
  static bool MayRetryPath(ActiveRequest& active, http::TransferEnd end);
  // The software that an endpoint for the request must have; nullopt: any.
  static std::optional<SoftwareKey> SoftwareFor(const ActiveRequest& active) {
    if (!active.binding) return std::nullopt;
    return active.binding->software;
  }

  // Versions of streams (core_streams.cc).
  // Binds a stream that its caller resumes to the version that began it.
  // Return why that is not possible; nullopt: it is bound.
  std::optional<ResumptionRefusal> BindResumed(
      ActiveRequest& active, const origins::KnownOrigin& known,
      Instant now) const;
  std::optional<ResumptionRefusal> BindToOrigin(
      ActiveRequest& active, const origins::KnownOrigin& known) const;
  std::optional<ResumptionRefusal> BindToOnlyVersion(ActiveRequest& active,
                                                     Instant now) const;
  origins::KnownOrigin FindOrigin(const ActiveRequest& active,
                                  Instant now) const;
  // Asks other daemons for the stream's origin. Returns false if nobody can be
  // asked, or has been.
  bool LookUpOrigin(ActiveRequest& active, Instant now);
  // Lets the request wait for the endpoints of the stream's version. Returns
  // false if it has waited for long enough, or need not wait.
  // missing: the stream's origin is not known.
  bool WaitForDirectory(ActiveRequest& active, ResumptionRefusal why,
                        bool missing, Instant now);
  // Looks again at the requests that wait for a leader's answer, or at those
  // that wait for endpoints.
  void AdmitWaiting(bool for_confirmation, Instant now);
  static bool MayChangeSoon(const ActiveRequest& active, ResumptionRefusal why);
  void RefuseResumption(ActiveRequest& active, ResumptionRefusal why,
                        Instant now);
  // Whether this entry has known all endpoints and routes since before the
  // stream can have begun.
  bool KnewAllThroughout(const ActiveRequest& active, Instant now) const;
  // An event of an unbound stream was passed on.
  void BindToAttempt(ActiveRequest& active, Instant now);

  // Endpoints that may have started again (core_doubt.cc).
  std::vector<EndpointKey> SuspectedEndpoints(const ActiveRequest& active,
                                              Instant now);
  // Whether a stream that has begun may not go on there.
  bool MayNotGoOnAt(const ActiveRequest& active, EndpointKey endpoint) const {
    return active.binding && active.route->resumable &&
           m_dependencies.restarts->IsSuspect(endpoint);
  }
  // Whether an endpoint of this software may have started again.
  bool HasSuspects(SoftwareKey software) const;
  void SuspectRestart(const Attempt& attempt, http::TransferEnd end,
                      Instant now);
  // Whether a stream that had begun before may be at another version there: a
  // connection to the endpoint broke before its response began.
  bool IsInDoubt(const Attempt& attempt) const;
  // Whether what is received now must be withheld.
  bool MustWithhold(const Attempt& attempt) const {
    return attempt.withheld || IsInDoubt(attempt);
  }
  // whole: the response ends with these bytes.
  void Withhold(ActiveRequest& active, std::string_view bytes, bool whole,
                Instant now);
  // Passes on what is withheld, or leaves the endpoint; else looks again soon.
  void SettleDoubt(ActiveRequest& active, Instant now);
  void PassOnWithheld(ActiveRequest& active, Instant now);
  void LeaveInDoubt(ActiveRequest& active, Instant now);
  void LeaveRestartedEndpoints(const directory::Directory& directory,
                               Instant now);

  // Requests that crash endpoints (core_suspects.cc).
  // An attempt whose connection ended, until it is known whether its endpoint
  // has ended too.
  struct BrokenAttempt {
    std::string caller_id;
    ServiceName service;
    EndpointKey endpoint = 0;
    origins::EndpointContact contact;
    Instant at{};
    bool head = false;      // the response had begun
    bool complete = false;  // as far as can be told without framing
    uint64_t content_hash = 0;
    bool alone = false;  // it was the only request there
    bool probed_again = false;
    std::vector<SegmentKey> keys;  // not acquitted
  };
  static std::vector<SegmentKey> KeysOf(const ActiveRequest& active,
                                        SoftwareKey software);
  // The software versions that the request may be sent to.
  std::vector<SoftwareKey> SoftwareOpenTo(const ActiveRequest& active) const;
  // Whether one of its segments is suspected or blocked at any of these.
  bool IsSuspected(const ActiveRequest& active, Instant now) const;
  bool PassesSuspicion(ActiveRequest& active, Instant now);
  bool PassesTrial(ActiveRequest& active, SoftwareKey software,
                   SuspectVerdict verdict, Instant now);
  void WaitForTrial(ActiveRequest& active, Instant now);
  void RefuseSuspect(ActiveRequest& active, SuspectVerdict why, Instant now);
  bool IsBlockedNow(const ActiveRequest& active, SoftwareKey software,
                    Instant now) const;
  void EndTrial(ActiveRequest& active);
  void OnBrokenAttempt(const ActiveRequest& active, bool complete, Instant now);
  void JudgeBrokenAttempts(Instant now);
  void ProbeAgainIfDue(BrokenAttempt& broken, Instant now);
  bool Decide(const BrokenAttempt& broken, Instant now);
  void OnCrash(const BrokenAttempt& broken, Instant now);
  void ReportSuspectContent(const BrokenAttempt& broken);
  void ReportClearedContent(const ActiveRequest& active);
  void AcquitSegments(const ActiveRequest& active, Instant now);
  void LogSuspectChanges();
  Instant NextSuspectTimer() const;

  // Responses (core_response.cc).
  ActiveRequest* FindByAttempt(AttemptId attempt);
  const ActiveRequest* FindByAttempt(AttemptId attempt) const;
  void OnCompleteResponse(ActiveRequest& active, Instant now);
  void OnEndpointRefusal(ActiveRequest& active, Instant now);
  void OnAttemptFailed(ActiveRequest& active, http::TransferEnd end,
                       Instant now);
  void LogAvoided(const ActiveRequest& active, std::string_view why,
                  Instant now);
  void BookFailure(const ActiveRequest& active, http::TransferEnd end,
                   Instant now);
  bool TryAgain(ActiveRequest& active, bool stays, Instant now);
  bool TakeRetry(const ActiveRequest& active, Instant now);
  bool MayRunAgain(const ActiveRequest& active) const;
  // skipped: the response that is due may still arrive.
  void LogResponseToAnother(const ActiveRequest& active, int status,
                            const ResponseInfo& response, bool skipped);
  void BookLimits(const ActiveRequest& active, Instant now);
  void RelayHeadOnce(ActiveRequest& active);
  void PassOn(ActiveRequest& active, std::string_view bytes, Instant now);
  void OnWholeResponse(ActiveRequest& active, Instant now);
  void OnFirstEvent(ActiveRequest& active, Instant now);
  void OnDeadline(ActiveRequest& active, Instant now);
  void CancelAttemptIfSent(ActiveRequest& active);
  void EndAttempt(ActiveRequest& active, Instant now);
  void Fail(ActiveRequest& active, ErrorKind kind, Duration retry_after,
            Instant now);
  void Finish(ActiveRequest& active, ErrorKind error, bool answered,
              Instant now);
  Tokens TokensSpent(const ActiveRequest& active) const;
  using LogInputs = std::vector<std::pair<std::string_view, std::string>>;
  static void AddLookup(const ActiveRequest& active, LogInputs& inputs);
  void AddEndpointCounts(const ActiveRequest& active, Instant now,
                         LogInputs& inputs) const;
  void CountResumption(const ActiveRequest& active,
                       const serving::RequestSummary& summary);
  void LogFinish(const ActiveRequest& active,
                 const serving::RequestSummary& summary, Stage stage,
                 bool answered, Instant now);

  // Silent endpoints (core_silence.cc).
  Instant RunningDeadline(const ActiveRequest& active) const;
  // Gives up an attempt whose endpoint is silent if its request goes on at once
  // elsewhere. Returns false if the attempt is kept; it is then looked at again
  // at RunningDeadline().
  bool LeaveSilent(ActiveRequest& active, Instant now);
  // Why the request would not go on elsewhere at once; nullopt: it would.
  std::optional<std::string_view> WhyKept(ActiveRequest& active, Instant now);
  std::optional<Placement> ChooseElsewhere(ActiveRequest& active, Instant now);
  void BookSilence(ActiveRequest& active, Instant now);
  void LogKept(ActiveRequest& active, std::string_view why, Instant now);

  void AbortForShutdown(ActiveRequest& active, Instant now);

  void OnTimerExpired(ActiveRequest& active, Instant now);
  void SetTimer(ActiveRequest& active, Instant when);
  void Log(std::string_view event, const ActiveRequest& active,
           std::vector<std::pair<std::string_view, std::string>> inputs,
           AttemptId attempt = 0);

  const CoreOptions m_options;
  const CoreDependencies m_dependencies;
  std::mt19937_64 m_random;
  std::shared_ptr<const RouteTable> m_routes;
  std::optional<DrainSchedule> m_drain;
  // When the newest question that a leader has answered was sent.
  Instant m_view_confirmed_at{};
  std::optional<Instant> m_view_complete_since;
  RouteTargets m_route_targets;
  ResumptionCounts m_resumptions;
  std::unordered_multimap<origins::StreamKey, RequestId> m_waiting_for_origin;
  std::vector<StreamTakeover> m_takeovers;  // not taken yet
  bool m_stopped = false;
  std::unordered_map<RequestId, ActiveRequest> m_active;
  std::unordered_map<AttemptId, RequestId> m_attempts;
  AttemptId m_last_attempt = 0;
  std::set<std::pair<Instant, RequestId>> m_timers;
  std::map<LinkRank, uint64_t>
      m_waiting;  // queued for the link, with their bytes
  // A request was queued ahead of others, so that these may now miss their
  // link deadline.
  bool m_recheck_link_waits = false;
  uint64_t m_link_refused = 0;
  std::vector<Action> m_actions;
  std::vector<serving::RequestSummary> m_finished;
  std::vector<SuspectReport> m_suspect_reports;
  std::vector<EndpointKey> m_replaced;  // see TakeReplaced()
  std::set<uint64_t> m_suspected;       // content hashes reported, not cleared
  std::vector<BrokenAttempt> m_broken;
  Instant m_next_suspect_check{};
  uint64_t m_suspect_refusals = 0;
  uint64_t m_limit_refusals = 0;
  std::map<ServiceName, uint64_t> m_responses_to_others;
};

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_SRC_GATEWAY_CORE_IMPL_H_
