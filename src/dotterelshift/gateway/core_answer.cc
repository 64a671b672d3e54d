#include <algorithm>  // for min

#include "dotterelshift/gateway/core_impl.h"  // for CoreImpl

namespace dotterelshift::gateway {
namespace {

// Endpoints that a request is sent to at the most, refusals and failed
// connections included.
constexpr uint32_t kMostSends = 4;

bool IsSuccess(int status) { return status >= 200 && status < 300; }
bool IsEndpointFault(int status) { return status >= 500; }

std::string OutcomeOf(ErrorKind error) {
  if (error == ErrorKind::kNone) return "relayed";
  return std::string(RowOf(error).name);
}

std::string_view NameOf(http::TransferEnd end) {
  switch (end) {
    case http::TransferEnd::kWhole:
      return "whole";
    case http::TransferEnd::kNotSent:
      return "not_sent";
    case http::TransferEnd::kCutBeforeHead:
      return "cut_before_head";
    case http::TransferEnd::kCut:
      return "cut";
    case http::TransferEnd::kTimedOut:
      return "timed_out";
  }
  return "unknown";
}

}  // namespace

Flight* CoreImpl::OfAttempt(AttemptId attempt) {
  const auto request = m_attempts.find(attempt);
  if (request == m_attempts.end()) return nullptr;
  const auto found = m_flights.find(request->second);
  return found == m_flights.end() ? nullptr : &found->second;
}

// Until the deadline, or until the silence is too long for what may run again.
Instant CoreImpl::DueWhileRunning(const Flight& flight) const {
  if (!MayRunAgain(flight)) return flight.deadline;
  return std::min(flight.deadline,
                  flight.attempt.heard + m_options.silence_borne);
}

bool CoreImpl::MayRunAgain(const Flight& flight) const {
  return flight.MayRepeat() &&
         flight.runs + 1 < static_cast<uint32_t>(flight.route->attempts) &&
         flight.sends < kMostSends;
}

void CoreImpl::OnHead(AttemptId id, int status, const AnswerMarks& marks,
                      Instant now) {
  Flight* flight = OfAttempt(id);
  if (flight == nullptr) return;
  Attempt& attempt = flight->attempt;
  attempt.heard = now;
  attempt.status = status;
  attempt.marks = marks;
  attempt.head_seen = true;
  const bool foreign = marks.echoed_id != flight->ask.caller_id;
  if (foreign && !marks.other_endpoint && !marks.not_run) {
    // An answer to another request, or bytes that are none of the endpoint's.
    CancelAttemptOf(*flight);
    return OnBrokenAttempt(*flight, http::TransferEnd::kCut, now);
  }
  const bool streams = flight->route->kind == RouteKind::kStream &&
                       IsSuccess(status) && marks.genuine && marks.event_stream;
  if (!streams) return;
  flight->stage = Stage::kAnswering;
  if (std::exchange(flight->head_relayed, true)) return;
  m_actions.emplace_back(RelayHead{flight->id, id});
}

void CoreImpl::OnPiece(AttemptId id, std::string_view bytes, Instant now) {
  Flight* flight = OfAttempt(id);
  if (flight == nullptr) return;
  flight->attempt.heard = now;
  if (flight->stage != Stage::kAnswering) return;
  const uint64_t before = flight->scanner.Events();
  std::string whole = flight->scanner.Take(bytes);
  if (flight->scanner.HasGap()) {
    CancelAttemptOf(*flight);
    return OnBrokenAttempt(*flight, http::TransferEnd::kCut, now);
  }
  if (flight->scanner.Events() == before) return;
  if (flight->attempt.events == 0) OnFirstEvent(*flight, now);
  flight->attempt.events += flight->scanner.Events() - before;
  m_actions.emplace_back(RelayPiece{flight->id, std::move(whole)});
}

void CoreImpl::OnFirstEvent(Flight& flight, Instant now) {
  m_parts.load->OnRead(flight.attempt.placement.endpoint, now);
  if (flight.first_event == Instant{}) flight.first_event = now;
  flight.prompt_read = true;
}

void CoreImpl::OnEnd(AttemptId id, http::TransferEnd end, Instant now) {
  Flight* flight = OfAttempt(id);
  if (flight == nullptr) return;
  Attempt& attempt = flight->attempt;
  if (end != http::TransferEnd::kWhole)
    return OnBrokenAttempt(*flight, end, now);
  if (attempt.marks.not_run || attempt.marks.other_endpoint)
    return OnEndpointRefusal(*flight, now);
  const bool unproved = IsSuccess(attempt.status) && !attempt.marks.genuine;
  const bool half_event =
      flight->stage == Stage::kAnswering && !flight->scanner.Rest().empty();
  if (unproved || half_event)
    return OnBrokenAttempt(*flight, http::TransferEnd::kCut, now);
  OnWholeAnswer(*flight, now);
}

void CoreImpl::OnWholeAnswer(Flight& flight, Instant now) {
  const int status = flight.attempt.status;
  const EndpointKey endpoint = flight.attempt.placement.endpoint;
  flight.may_have_run = true;
  flight.prompt_read = true;
  if (IsEndpointFault(status)) {
    m_parts.load->OnFailed(endpoint, now);
    if (MayRunAgain(flight)) {
      EndAttempt(flight);
      ++flight.runs;
      if (TryAgain(flight, now)) return;
      --flight.runs;
    }
  } else {
    m_parts.load->OnGood(endpoint);
    Clear(flight);
  }
  if (flight.stage == Stage::kAnswering) {
    m_actions.emplace_back(FinishStream{flight.id});
    return Finish(flight, ErrorKind::kNone, true, now);
  }
  if (flight.head_relayed) {
    m_actions.emplace_back(AbortStream{flight.id});
    return Finish(flight, ErrorKind::kStreamCut, false, now);
  }
  m_actions.emplace_back(RelayWhole{flight.id, flight.attempt.id});
  Finish(
      flight,
      IsEndpointFault(status) ? ErrorKind::kEndpointFailed : ErrorKind::kNone,
      IsSuccess(status), now);
}

void CoreImpl::OnEndpointRefusal(Flight& flight, Instant now) {
  const EndpointKey endpoint = flight.attempt.placement.endpoint;
  if (flight.attempt.marks.other_endpoint)
    m_parts.load->OnUnreachable(endpoint, now);
  else
    m_parts.load->OnFull(endpoint, now);
  Log("endpoint_refused", flight,
      {{"endpoint", flight.attempt.endpoint.id},
       {"status", std::to_string(flight.attempt.status)}});
  EndAttempt(flight);
  if (TryAgain(flight, now)) return;
  if (flight.may_have_run)
    return Fail(flight, ErrorKind::kEndpointFailed, 0s, now);
  Fail(flight, ErrorKind::kEndpointRefused, RetryAfter(flight, 0s, now), now);
}

// The attempt ended without a whole answer. Only what did not reach the
// endpoint is known not to have run.
void CoreImpl::OnBrokenAttempt(Flight& flight, http::TransferEnd end,
                               Instant now) {
  const EndpointKey endpoint = flight.attempt.placement.endpoint;
  const bool sent = end != http::TransferEnd::kNotSent;
  const bool may_again = !sent || MayRunAgain(flight);
  Log("attempt_broken", flight,
      {{"endpoint", flight.attempt.endpoint.id},
       {"how", std::string(NameOf(end))},
       {"sent_ms_ago", std::to_string(ToMs(now - flight.attempt.sent))},
       {"events", std::to_string(flight.attempt.events)}});
  if (sent) {
    flight.may_have_run = true;
    m_parts.load->OnFailed(endpoint, now);
    if (end != http::TransferEnd::kTimedOut) Suspect(flight);
  } else {
    m_parts.load->OnUnreachable(endpoint, now);
  }
  EndAttempt(flight);
  if (sent) ++flight.runs;
  if (may_again && TryAgain(flight, now)) return;
  const bool late = now >= flight.deadline;
  if (flight.may_have_run) {
    return Fail(
        flight,
        late ? ErrorKind::kDeadlineWhileRunning : ErrorKind::kEndpointFailed,
        0s, now);
  }
  Fail(flight, ErrorKind::kNoEndpoint, RetryAfter(flight, 0s, now), now);
}

// A content that crashes each endpoint that runs it comes back at any entry, so
// control counts the endpoints.
void CoreImpl::Suspect(const Flight& flight) {
  constexpr size_t kMostSuspected = 4096;
  if (m_suspected.size() >= kMostSuspected) m_suspected.clear();
  m_suspected.insert(flight.ask.content_hash);
  Suspicion& suspicion = m_suspicions.emplace_back();
  suspicion.content_hash = flight.ask.content_hash;
  suspicion.endpoint = flight.attempt.endpoint.id;
  suspicion.incarnation = flight.attempt.endpoint.incarnation;
  suspicion.alone =
      m_parts.load->Running(flight.attempt.placement.endpoint) <= 1;
}

void CoreImpl::Clear(const Flight& flight) {
  if (m_suspected.erase(flight.ask.content_hash) == 0) return;
  m_suspicions.emplace_back().content_hash = flight.ask.content_hash;
}

// Sends to another endpoint where the fleet's allowance for repeats still has
// room; what reached nobody is no repeat.
bool CoreImpl::TryAgain(Flight& flight, Instant now) {
  flight.tried.push_back(flight.attempt.placement.endpoint);
  const bool arrived = flight.attempt.head_seen || flight.runs > 0;
  const bool allowed = flight.sends < kMostSends && now < flight.deadline &&
                       (!arrived || m_parts.retries->Take(flight.service, now));
  if (!allowed) return false;
  const bool other =
      m_parts.load->Choose(flight.service, flight.ask.prompt, flight.tried, now)
          .has_value();
  if (!other) return false;
  Place(flight, now);
  return true;
}

void CoreImpl::OnDeadline(Flight& flight, Instant now) {
  if (flight.stage == Stage::kRunning || flight.stage == Stage::kAnswering) {
    CancelAttemptOf(flight);
    return Fail(flight, ErrorKind::kDeadlineWhileRunning, 0s, now);
  }
  Fail(flight,
       flight.may_have_run ? ErrorKind::kDeadlineWhileRunning
                           : ErrorKind::kOverloaded,
       0s, now);
}

void CoreImpl::CancelAttemptOf(Flight& flight) {
  if (flight.stage == Stage::kRunning || flight.stage == Stage::kAnswering) {
    m_actions.emplace_back(CancelAttempt{flight.attempt.id});
    flight.may_have_run = true;
  }
}

// The attempt is over for the endpoint and for this request.
void CoreImpl::EndAttempt(Flight& flight) {
  if (flight.attempt.id != 0) m_attempts.erase(flight.attempt.id);
  const bool booked = flight.stage == Stage::kBooked ||
                      flight.stage == Stage::kRunning ||
                      flight.stage == Stage::kAnswering;
  if (booked) m_parts.load->OnEnded(flight.attempt.placement.endpoint);
  flight.stage = Stage::kWaitsForPlace;
  flight.wait_until = {};
  flight.scanner.Reset();
}

void CoreImpl::Fail(Flight& flight, ErrorKind kind, Duration retry_after,
                    Instant now) {
  if (flight.head_relayed) {
    m_actions.emplace_back(AbortStream{flight.id});
  } else {
    m_actions.emplace_back(Refuse{flight.id, kind, retry_after});
  }
  Finish(flight, kind, false, now);
}

// Input counts once where it may have been read, output as far as the caller
// was given it.
Tokens CoreImpl::SpentBy(const Flight& flight) const {
  if (!flight.may_have_run) return 0;
  const Service* service = flight.routes->FindService(flight.service);
  const Tokens each = service != nullptr && service->engine
                          ? service->engine->tokens_per_event
                          : 1;
  const auto events = static_cast<Tokens>(flight.scanner.Events());
  const Tokens spent = flight.ask.prompt.prompt_tokens +
                       std::min(flight.ask.prompt.output_limit, events * each);
  return std::min(spent, flight.reserved);
}

void CoreImpl::Finish(Flight& flight, ErrorKind error, bool answered,
                      Instant now) {
  EndAttempt(flight);
  if (flight.has_reservation) {
    m_parts.budgets->Settle(flight.team, flight.reserved, SpentBy(flight),
                            answered, now);
  }
  serving::RequestSummary& summary = m_finished.emplace_back();
  summary.request = flight.id;
  summary.team = flight.team;
  summary.request_class = flight.service;
  summary.error = error;
  const bool sent = flight.sends > 0;
  summary.queue_wait = (sent ? flight.attempt.sent : now) - flight.arrived;
  const bool streamed = flight.first_event != Instant{};
  summary.first_token = (streamed ? flight.first_event : now) - flight.arrived;
  summary.total = now - flight.arrived;
  summary.spent = SpentBy(flight);
  summary.attempts = static_cast<int>(flight.sends);
  Log(answered ? "answered" : "ended", flight,
      {{"outcome", OutcomeOf(error)},
       {"route", flight.route == nullptr ? "" : flight.route->name},
       {"team", flight.team},
       {"first_ms", std::to_string(ToMs(summary.first_token))},
       {"total_ms", std::to_string(ToMs(summary.total))},
       {"sends", std::to_string(flight.sends)},
       {"spent", std::to_string(summary.spent)}});
  if (flight.due != Instant{}) m_due.erase({flight.due, flight.id});
  m_flights.erase(flight.id);
}

}  // namespace dotterelshift::gateway
