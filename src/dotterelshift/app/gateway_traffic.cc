#include "dotterelshift/app/gateway_traffic.h"

#include <algorithm>  // for max
#include <charconv>   // for from_chars
#include <cstdint>    // for SIZE_MAX
#include <cstdio>     // for snprintf
#include <utility>    // for move
#include <variant>    // for visit

#include "dotterelshift/app/gauges.h"        // for SetResponseMetrics
#include "dotterelshift/callers/front.h"     // for MakeErrorBody
#include "dotterelshift/http/hop_headers.h"  // for RemoveHopByHopHeaders
#include "dotterelshift/telemetry/log.h"     // for Log

namespace dotterelshift::app {
namespace {

// HTTP 503: the request was not run and may be retried.
constexpr int kUnavailable = 503;

// A stream is paused while its caller has more unread bytes than this.
constexpr size_t kPauseAbove = 256 << 10;

// Timeout for connecting to an endpoint: a few round trips, and less than the
// first retransmission of a lost SYN packet.
constexpr Duration kConnectTimeout = 300ms;

// The same through a relay, which may take nearly as long itself.
constexpr Duration kRelayConnectTimeout = 400ms;

// Bytes that are not acknowledged for this long are retransmissions of lost
// packets or on a path that is cut: a round trip takes a few milliseconds.
constexpr Duration kAcknowledgeTimeout = 250ms;

// The endpoint may end its response by itself until this long after the
// caller's deadline, so that the core's deadline takes effect first.
constexpr Duration kTimeoutSlack = 200ms;

// Idle connections are closed before the endpoint closes them. Endpoints
// announce how long they keep one; the shortest time in common use is 5 s.
constexpr Duration kMaxIdle = 4s;

// Shorter waits for the outbound link are left out of a request's log lines.
constexpr Duration kMinLoggedWait = 20ms;

// Memory of a request that is sent on, without its body: mostly libcurl's.
constexpr size_t kTransferBytes = 16 << 10;

// A response of which no more is held does not matter for the sum.
constexpr size_t kSmallResponseBytes = 16 << 10;

std::string Ms(Duration duration) { return std::to_string(ToMs(duration)); }

std::string SecondsText(Duration duration) {
  char text[32];
  std::snprintf(text, sizeof text, "%.2f",
                std::chrono::duration<double>(duration).count());
  return text;
}

// The length that a response's head states; 0: none.
size_t StatedLength(const http::Headers& headers) {
  for (const auto& [name, value] : headers) {
    if (name != "content-length") continue;
    size_t length = 0;
    const auto read =
        std::from_chars(value.data(), value.data() + value.size(), length);
    if (read.ec == std::errc::result_out_of_range) return SIZE_MAX;
    return read.ec == std::errc() ? length : 0;
  }
  return 0;
}

size_t OnwardBytes(const http::Request& request) {
  return request.method.size() + request.path.size() + request.query.size() +
         http::BytesOf(request.headers) + request.body.size();
}

}  // namespace

GatewayTraffic::GatewayTraffic(loop::Loop& loop, gateway::Core& core,
                               const gateway::Dialect& dialect,
                               telemetry::Metrics& metrics, LinkGuard& link,
                               const std::string& source_address,
                               const ResponseBounds& bounds)
    : m_loop(loop),
      m_core(core),
      m_dialect(dialect),
      m_metrics(metrics),
      m_link(link),
      m_bounds(bounds),
      m_unanswered(dialect),
      m_client(http::MakeClient(loop, MakeClientOptions(source_address))),
      m_timer(loop, [this] {
        m_core.OnTimer(m_loop.Now());
        Pump();
      }) {}

http::ClientOptions GatewayTraffic::MakeClientOptions(
    const std::string& source_address) const {
  http::ClientOptions options;
  options.max_idle = kMaxIdle;
  options.source_address = source_address;
  options.on_idle_closed = [this](const std::string& server, Duration idle) {
    if (m_idle_closed) m_idle_closed(server, idle, m_loop.Now());
  };
  return options;
}

void GatewayTraffic::SetOptions(http::ServerOptions& options) {
  options.on_unanswered = [this](const http::Unanswered& unanswered) {
    m_unanswered.OnUnanswered(unanswered, m_loop.Now());
  };
}

void GatewayTraffic::Accept(std::shared_ptr<http::Exchange> exchange) {
  const RequestId id = ++m_last_request;
  gateway::RequestInfo info = m_dialect.ReadRequestInfo(exchange->GetRequest());
  info.begun = exchange->GetRequest().begun;
  info.reused_connection = exchange->GetRequest().kept;
  info.onward_bytes = OnwardBytes(exchange->GetRequest());
  exchange->OnGone([this, id] { OnGone(id); });
  exchange->OnDrained([this, id] { OnDrained(id); });
  Open& open = m_open[id];
  open.exchange = std::move(exchange);
  open.caller_id = info.caller_id;
  m_core.OnRequest(id, std::move(info), m_loop.Now());
  Pump();
}

void GatewayTraffic::OnGone(RequestId request) {
  Forget(request);
  m_core.OnCallerGone(request, m_loop.Now());
  Pump();
}

void GatewayTraffic::OnDrained(RequestId request) {
  const auto open = m_open.find(request);
  if (open == m_open.end() || !open->second.paused) return;
  SetPaused(request, false);
  const auto transfer = m_transfers.find(open->second.streaming);
  if (transfer != m_transfers.end()) m_client->Resume(transfer->second.id);
}

void GatewayTraffic::Pump() {
  // An action may cause another event. The actions of that event are executed
  // by the outer call of Pump().
  if (std::exchange(m_pumping, true)) return;
  for (auto actions = m_core.TakeActions(); !actions.empty();
       actions = m_core.TakeActions()) {
    for (const gateway::Action& action : actions)
      std::visit([this](const auto& what) { this->Execute(what); }, action);
  }
  for (const serving::RequestSummary& summary : m_core.TakeFinished())
    m_metrics.OnFinished(summary);
  m_ended_sends.clear();
  m_pumping = false;
  ArmTimer();
}

void GatewayTraffic::ArmTimer() {
  const Instant next = m_core.NextTimer();
  if (next == Instant::max())
    m_timer.Cancel();
  else
    m_timer.ArmAt(next);
}

void GatewayTraffic::Execute(const gateway::StartAttempt& start) {
  const auto open = m_open.find(start.request);
  if (open == m_open.end()) return;
  const http::Request& request = open->second.exchange->GetRequest();
  http::ClientRequest onward;
  onward.method = request.method;
  onward.url = "http://" + start.endpoint.address + request.path;
  if (!request.query.empty()) onward.url += "?" + request.query;
  onward.headers = m_dialect.OnwardHeaders(request, start);
  // Keeps the caller's exchange while the body is sent.
  onward.shared_body = {open->second.exchange, &request.body};
  onward.id = open->second.caller_id;
  onward.connect_timeout = start.relay ? kRelayConnectTimeout : kConnectTimeout;
  if (start.relay)
    onward.relay = http::Relay{start.relay->address, start.relay->token};
  onward.total_timeout = start.time_left + kTimeoutSlack;
  http::TransferCallbacks callbacks;
  const AttemptId attempt = start.attempt;
  callbacks.on_handed_over = [this, attempt](const http::HandOver& what) {
    OnHandedOver(attempt, what);
  };
  callbacks.due = DueTo(attempt);
  callbacks.on_head = [this, attempt](int status,
                                      const http::Headers& headers) {
    OnHead(attempt, status, headers);
  };
  callbacks.on_chunk = [this, attempt](std::string_view piece) {
    return OnChunk(attempt, piece);
  };
  callbacks.on_end = [this, attempt](http::TransferEnd end) {
    OnEnd(attempt, end);
  };
  Transfer& transfer = m_transfers[attempt];
  transfer.request = start.request;
  transfer.relayed = start.relay.has_value();
  transfer.held.emplace(m_memory, memory::Use::kTransfers);
  transfer.held->Set(kTransferBytes);
  transfer.first = !std::exchange(open->second.attempted, true);
  transfer.id = m_client->Start(std::move(onward), std::move(callbacks));
}

http::DueResponse GatewayTraffic::DueTo(AttemptId attempt) {
  http::DueResponse due;
  due.is_due = [this, attempt](int status, const http::Headers& headers) {
    return m_core.IsDue(attempt, status,
                        m_dialect.ReadResponseInfo(status, headers));
  };
  due.on_skipped = [this, attempt](int status, const http::Headers& headers) {
    m_core.OnSkipped(attempt, status,
                     m_dialect.ReadResponseInfo(status, headers));
  };
  return due;
}

void GatewayTraffic::OnHandedOver(AttemptId attempt,
                                  const http::HandOver& what) {
  const auto transfer = m_transfers.find(attempt);
  if (transfer == m_transfers.end()) return;
  SendRecord& record = transfer->second.send_record;
  record.handed_over = what;
  record.handed_over_at = m_loop.Now();
  record.wait = m_link.OutboundWait(record.handed_over_at);
  m_link.OnHandedOver(what, NextSendOf(transfer->second),
                      record.handed_over_at);
  if (what.new_connection) m_core.OnConnected(attempt, record.handed_over_at);
}

// While the outbound link is full, bytes wait for it and not for the endpoint.
void GatewayTraffic::CheckAcknowledged() {
  const Instant now = m_loop.Now();
  if (m_link.OutboundWait(now) >= kMinLoggedWait) return;
  std::vector<AttemptId> unacknowledged;
  for (auto& [attempt, transfer] : m_transfers) {
    const SendRecord& record = transfer.send_record;
    const bool due =
        !transfer.checked && !transfer.relayed && transfer.status == 0 &&
        record.handed_over &&
        now - record.handed_over_at >= kAcknowledgeTimeout + record.wait;
    if (!due) continue;
    transfer.checked = true;
    if (m_client->Unsent(transfer.id).value_or(0) > 0)
      unacknowledged.push_back(attempt);
  }
  for (const AttemptId attempt : unacknowledged)
    m_core.OnUnacknowledged(attempt, now);
  if (!unacknowledged.empty()) Pump();
}

SendKind GatewayTraffic::NextSendOf(const Transfer& transfer) {
  const auto open = m_open.find(transfer.request);
  const bool again =
      open != m_open.end() && std::exchange(open->second.handed_over, true);
  if (again) return SendKind::kRetry;
  return transfer.first ? SendKind::kFirst : SendKind::kDelayed;
}

void GatewayTraffic::OnHead(AttemptId attempt, int status,
                            const http::Headers& headers) {
  Transfer& transfer = m_transfers[attempt];
  transfer.status = status;
  transfer.headers = headers;
  m_response_bytes += http::BytesOf(headers) + gateway::kPacketHeaderBytes;
  m_core.OnHead(attempt, status, m_dialect.ReadResponseInfo(status, headers),
                m_loop.Now());
  Pump();
  const auto still = m_transfers.find(attempt);
  const bool held = still != m_transfers.end() && !still->second.streamed;
  if (held && StatedLength(headers) > m_bounds.response)
    GiveUpTooLarge(attempt);
}

bool GatewayTraffic::OnChunk(AttemptId attempt, std::string_view piece) {
  // Each event of a stream is sent as a packet of its own.
  m_response_bytes += piece.size() + gateway::kPacketHeaderBytes;
  const auto transfer = m_transfers.find(attempt);
  if (transfer == m_transfers.end()) return true;
  if (!transfer->second.streamed) {
    std::string& body = transfer->second.body;
    body.append(piece);
    transfer->second.held->Set(kTransferBytes + body.capacity());
  }
  const RequestId request = transfer->second.request;
  m_core.OnChunk(attempt, piece, m_loop.Now());
  Pump();
  CheckBounds(attempt);
  const auto open = m_open.find(request);
  if (open == m_open.end() || open->second.streaming != attempt) return true;
  const bool paused = open->second.exchange->Backlog() > kPauseAbove;
  SetPaused(request, paused);
  return !paused;
}

size_t GatewayTraffic::HeldBytes(AttemptId attempt,
                                 const Transfer& transfer) const {
  return (transfer.streamed ? 0 : transfer.body.size()) +
         m_core.HeldBytes(attempt);
}

// Gives up a response that is too large, or if all that are held are too large
// together, the largest one of them. Small responses are not worth a look at
// all others.
void GatewayTraffic::CheckBounds(AttemptId attempt) {
  const auto transfer = m_transfers.find(attempt);
  if (transfer == m_transfers.end()) return;
  const size_t own = HeldBytes(attempt, transfer->second);
  if (own > m_bounds.response) return GiveUpTooLarge(attempt);
  if (own <= kSmallResponseBytes) return;
  size_t all = 0;
  std::pair<size_t, AttemptId> largest;
  for (const auto& [id, other] : m_transfers) {
    const size_t held = HeldBytes(id, other);
    all += held;
    largest = std::max(largest, {held, id});
  }
  if (all > m_bounds.all_responses) GiveUpTooLarge(largest.second);
}

void GatewayTraffic::GiveUpTooLarge(AttemptId attempt) {
  ++m_too_large;
  m_core.OnTooLarge(attempt, m_loop.Now());
  Pump();
}

void GatewayTraffic::SetPaused(RequestId request, bool paused) {
  const auto open = m_open.find(request);
  if (open == m_open.end() || open->second.paused == paused) return;
  open->second.paused = paused;
  m_core.OnCallerSlow(request, paused, m_loop.Now());
  ArmTimer();
}

void GatewayTraffic::SetMetrics() const {
  m_unanswered.SetMetrics(m_metrics);
  SetResponseMetrics(m_metrics, m_core);
  m_metrics.SetCounter("dotterelshift_responses_too_large_total",
                       "Responses given up, as they were too large to hold",
                       static_cast<double>(m_too_large));
  m_metrics.SetCounter("dotterelshift_repeated_ids_total",
                       "Requests that were about to be sent on a connection "
                       "which had carried one of their id before",
                       static_cast<double>(m_client->RepeatedIds()));
}

gateway::LinkBytes GatewayTraffic::Bytes() const {
  return {m_response_bytes, m_response_bytes + m_client->BytesSent()};
}

void GatewayTraffic::OnEnd(AttemptId attempt, http::TransferEnd end) {
  m_core.OnEnd(attempt, end, m_loop.Now());
  Pump();
  m_transfers.erase(attempt);
}

void GatewayTraffic::Execute(const gateway::CancelAttempt& cancel) {
  const auto transfer = m_transfers.find(cancel.attempt);
  if (transfer == m_transfers.end()) return;
  KeepSendRecord(cancel.attempt, transfer->second);
  const http::TransferId id = transfer->second.id;
  m_transfers.erase(transfer);
  if (m_client->Withdraw(id))
    return m_core.OnWithdrawn(cancel.attempt, m_loop.Now());
  m_ended_sends[cancel.attempt].reset = m_client->Cancel(id);
}

void GatewayTraffic::Execute(const gateway::WithdrawAttempt& withdraw) {
  const auto transfer = m_transfers.find(withdraw.attempt);
  if (transfer == m_transfers.end()) return;
  if (!m_client->Withdraw(transfer->second.id)) return;
  m_transfers.erase(transfer);
  m_core.OnWithdrawn(withdraw.attempt, m_loop.Now());
}

void GatewayTraffic::KeepSendRecord(AttemptId attempt,
                                    const Transfer& transfer) {
  SendRecord& record = m_ended_sends[attempt];
  record = transfer.send_record;
  record.unsent = m_client->Unsent(transfer.id);
}

void GatewayTraffic::Forget(RequestId request) {
  const auto open = m_open.find(request);
  if (open == m_open.end()) return;
  if (open->second.keeps) --m_kept_streams;
  m_open.erase(open);
}

std::shared_ptr<http::Exchange> GatewayTraffic::Take(RequestId request) {
  const auto open = m_open.find(request);
  if (open == m_open.end()) return nullptr;
  std::shared_ptr<http::Exchange> exchange = std::move(open->second.exchange);
  Forget(request);
  exchange->OnGone(nullptr);
  exchange->OnDrained(nullptr);
  return exchange;
}

http::Headers GatewayTraffic::ResponseHeaders(const http::Headers& headers,
                                              bool keeps) {
  http::Headers onward = http::RemoveHopByHopHeaders(headers);
  if (!keeps) onward.emplace_back("Connection", "close");
  return onward;
}

bool GatewayTraffic::MayKeep() const {
  return !m_may_keep || m_may_keep(m_open.size() - m_kept_streams);
}

void GatewayTraffic::Execute(const gateway::Refuse& refuse) {
  const auto exchange = Take(refuse.request);
  if (exchange == nullptr) return;
  const ErrorRow& row = RowOf(refuse.kind);
  // A quarantined content may be harmless, so the status only says that the
  // request has not run.
  const bool held_back = refuse.kind == ErrorKind::kQuarantined;
  const int status = held_back ? kUnavailable : row.status;
  http::Headers headers = {{"Content-Type", "application/json"},
                           {"Dotterelshift-Ran", std::string(NameOf(row.ran))}};
  const Duration wait = refuse.retry_after > 0s
                            ? refuse.retry_after
                            : std::chrono::seconds(row.retry_after_seconds);
  if (row.retry != RetryAdvice::kNever)
    headers.emplace_back("Retry-After", SecondsText(wait));
  std::string body = callers::MakeErrorBody(refuse.kind, "");
  headers = ResponseHeaders(headers, MayKeep());
  m_own_response_bytes += http::BytesOf(headers) + body.size();
  exchange->Answer(status, headers, std::move(body));
}

void GatewayTraffic::Execute(const gateway::RelayResponse& relay) {
  const auto exchange = Take(relay.request);
  const auto transfer = m_transfers.find(relay.attempt);
  if (exchange == nullptr || transfer == m_transfers.end()) return;
  Transfer& answer = transfer->second;
  exchange->Answer(answer.status, ResponseHeaders(answer.headers, MayKeep()),
                   std::move(answer.body));
}

void GatewayTraffic::Execute(const gateway::RelayHead& relay) {
  const auto open = m_open.find(relay.request);
  const auto transfer = m_transfers.find(relay.attempt);
  if (open == m_open.end() || transfer == m_transfers.end()) return;
  Transfer& answer = transfer->second;
  answer.streamed = true;
  open->second.streaming = relay.attempt;
  open->second.keeps = MayKeep();
  if (open->second.keeps) ++m_kept_streams;
  open->second.exchange->SendHead(
      answer.status, ResponseHeaders(answer.headers, open->second.keeps));
}

void GatewayTraffic::Execute(const gateway::RelayChunk& relay) {
  const auto open = m_open.find(relay.request);
  if (open != m_open.end()) open->second.exchange->WriteChunk(relay.bytes);
}

void GatewayTraffic::Execute(const gateway::FinishStream& finish) {
  const auto exchange = Take(finish.request);
  if (exchange != nullptr) exchange->Finish();
}

void GatewayTraffic::Execute(const gateway::AbortStream& abort) {
  const auto exchange = Take(abort.request);
  if (exchange != nullptr) exchange->Abort();
}

void GatewayTraffic::AddSendRecord(AttemptId attempt, LogInputs& inputs) const {
  const auto ended = m_ended_sends.find(attempt);
  const auto open = m_transfers.find(attempt);
  const bool known = ended != m_ended_sends.end() || open != m_transfers.end();
  if (!known) return;
  AddTo(inputs,
        ended != m_ended_sends.end() ? ended->second : open->second.send_record,
        m_loop.Now());
}

void GatewayTraffic::Execute(const gateway::Decision& decision) const {
  LogInputs inputs = decision.inputs;
  if (decision.attempt != 0) AddSendRecord(decision.attempt, inputs);
  const Duration wait = m_link.OutboundWait(m_loop.Now());
  if (wait >= kMinLoggedWait) inputs.emplace_back("wait_out_ms", Ms(wait));
  telemetry::LogDecision(decision.event, decision.caller_id, inputs);
}

}  // namespace dotterelshift::app
