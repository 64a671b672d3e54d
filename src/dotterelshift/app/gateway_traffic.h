#ifndef DOTTERELSHIFT_SRC_APP_GATEWAY_TRAFFIC_H_
#define DOTTERELSHIFT_SRC_APP_GATEWAY_TRAFFIC_H_

#include <functional>     // for function
#include <memory>         // for shared_ptr, unique_ptr
#include <optional>       // for optional
#include <string>         // for string
#include <string_view>    // for string_view
#include <unordered_map>  // for unordered_map
#include <utility>        // for move, pair
#include <vector>         // for vector

#include "dotterelshift/app/link_guard.h"           // for LinkGuard
#include "dotterelshift/app/send_record.h"          // for SendRecord
#include "dotterelshift/app/unanswered_requests.h"  // for UnansweredRequests
#include "dotterelshift/gateway/core.h"             // for Core
#include "dotterelshift/gateway/dialect.h"          // for Dialect
#include "dotterelshift/gateway/link_admission.h"   // for LinkBytes
#include "dotterelshift/http/client.h"              // for Client
#include "dotterelshift/http/server.h"              // for Exchange
#include "dotterelshift/loop/loop.h"                // for Loop
#include "dotterelshift/memory/account.h"           // for Account, Holding
#include "dotterelshift/telemetry/metrics.h"        // for Metrics

namespace dotterelshift::app {

// How many bytes of endpoints' responses are held until they can be passed on.
struct ResponseBounds {
  size_t response = 1 << 20;       // of one
  size_t all_responses = 4 << 20;  // of all together
};

// Transfers requests and responses between callers and endpoints, as decided by
// the gateway's core.
class GatewayTraffic {
 public:
  GatewayTraffic(loop::Loop& loop, gateway::Core& core,
                 const gateway::Dialect& dialect, telemetry::Metrics& metrics,
                 LinkGuard& link, const std::string& source_address = {},
                 const ResponseBounds& bounds = {});

  // Sets the callbacks of the callers' server.
  void SetOptions(http::ServerOptions& options);
  void Accept(std::shared_ptr<http::Exchange> exchange);
  // Executes the core's pending actions. To be called after every event that
  // the core received from elsewhere.
  void Pump();
  // Decides for each response whether its caller may keep the connection.
  // `silent` is the number of callers that send nothing on their connections:
  // the head of their response has not been sent yet, or it asked them to close
  // the connection. Without a policy, all callers may keep their connections.
  using KeepPolicy = std::function<bool(size_t silent)>;
  void SetKeepPolicy(KeepPolicy policy) { m_may_keep = std::move(policy); }
  // Called when an endpoint closed a connection that was kept for reuse, with
  // the endpoint's address and for how long the connection was idle.
  using IdleClosed = std::function<void(const std::string& address,
                                        Duration idle, Instant now)>;
  void SetIdleClosed(IdleClosed callback) {
    m_idle_closed = std::move(callback);
  }
  // Counts requests that are sent on, and their responses, in the account.
  // Without one they are not counted.
  void SetMemory(memory::Account* memory) { m_memory = memory; }

  void SetMetrics() const;
  size_t OpenResponses() const { return m_open.size(); }
  // Reports attempts whose bytes stay unacknowledged. To be called regularly.
  void CheckAcknowledged();

  // Bytes sent to endpoints, and bytes of their responses relayed to callers.
  gateway::LinkBytes Bytes() const;
  // All bytes sent to callers, including responses that the entry itself made.
  uint64_t BytesToCallers() const {
    return m_response_bytes + m_own_response_bytes;
  }

 private:
  // A caller's request and the state of its response.
  struct Open {
    std::shared_ptr<http::Exchange> exchange;
    std::string caller_id;    // of the request
    AttemptId streaming = 0;  // the attempt whose stream is relayed
    bool paused = false;
    bool keeps = false;      // the caller of the stream may keep the connection
    bool attempted = false;  // an attempt was started
    bool handed_over = false;  // its bytes were handed to a connection
  };
  // The response of one attempt: buffered until it is complete, unless it is
  // streamed to the caller.
  struct Transfer {
    RequestId request = 0;
    http::TransferId id = 0;
    int status = 0;
    http::Headers headers;
    std::string body;
    bool streamed = false;
    bool first = false;  // the first attempt of its request
    bool relayed = false;
    bool checked = false;  // whether its bytes were acknowledged
    SendRecord send_record;
    std::optional<memory::Holding> held;  // of the process's memory
  };

  http::ClientOptions MakeClientOptions(
      const std::string& source_address) const;
  void OnGone(RequestId request);
  void OnDrained(RequestId request);
  // Nothing is read from the endpoint while the caller is slow.
  void SetPaused(RequestId request, bool paused);
  void OnHead(AttemptId attempt, int status, const http::Headers& headers);
  bool OnChunk(AttemptId attempt, std::string_view piece);
  void OnEnd(AttemptId attempt, http::TransferEnd end);
  size_t HeldBytes(AttemptId attempt, const Transfer& transfer) const;
  void CheckBounds(AttemptId attempt);
  void GiveUpTooLarge(AttemptId attempt);
  // Tells the response to the attempt from those to other requests.
  http::DueResponse DueTo(AttemptId attempt);
  void OnHandedOver(AttemptId attempt, const http::HandOver& what);
  SendKind NextSendOf(const Transfer& transfer);
  // Keeps the send record of an attempt that has ended, for its last log lines.
  void KeepSendRecord(AttemptId attempt, const Transfer& transfer);
  void AddSendRecord(AttemptId attempt, LogInputs& inputs) const;

  void Execute(const gateway::StartAttempt& start);
  void Execute(const gateway::CancelAttempt& cancel);
  void Execute(const gateway::WithdrawAttempt& withdraw);
  void Execute(const gateway::Refuse& refuse);
  void Execute(const gateway::RelayResponse& relay);
  void Execute(const gateway::RelayHead& relay);
  void Execute(const gateway::RelayChunk& relay);
  void Execute(const gateway::FinishStream& finish);
  void Execute(const gateway::AbortStream& abort);
  void Execute(const gateway::Decision& decision) const;

  // Headers of a relayed response; `keeps`: the connection stays open.
  static http::Headers ResponseHeaders(const http::Headers& headers,
                                       bool keeps);
  bool MayKeep() const;
  // Called when the response of a request has ended or its caller has
  // disconnected.
  void Forget(RequestId request);
  std::shared_ptr<http::Exchange> Take(RequestId request);
  void ArmTimer();

  loop::Loop& m_loop;
  gateway::Core& m_core;
  const gateway::Dialect& m_dialect;
  telemetry::Metrics& m_metrics;
  LinkGuard& m_link;
  const ResponseBounds m_bounds;
  uint64_t m_too_large = 0;  // responses given up
  UnansweredRequests m_unanswered;
  std::unique_ptr<http::Client> m_client;
  std::unordered_map<RequestId, Open> m_open;
  std::unordered_map<AttemptId, Transfer> m_transfers;
  // Send records of attempts that ended during the batch of actions being
  // executed.
  std::unordered_map<AttemptId, SendRecord> m_ended_sends;
  RequestId m_last_request = 0;
  memory::Account* m_memory = nullptr;
  KeepPolicy m_may_keep;
  IdleClosed m_idle_closed;
  size_t m_kept_streams = 0;
  uint64_t m_response_bytes = 0;
  uint64_t m_own_response_bytes = 0;  // of responses that the entry itself made
  bool m_pumping = false;
  loop::Timer m_timer;
};

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_SRC_APP_GATEWAY_TRAFFIC_H_
