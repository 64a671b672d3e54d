#include "dotterelshift/endpoints/attempt_runner.h"

#include <algorithm>      // for find_if
#include <unordered_map>  // for unordered_map
#include <utility>        // for move

#include "dotterelshift/endpoints/event_stream.h"  // for EventStream

namespace dotterelshift::endpoints {
namespace {

using callers::CallerRequest;
using callers::RequestKind;
using http::TransferEnd;
using serving::AttemptEnd;
using serving::Chunk;

constexpr std::string_view kEventStream = "text/event-stream";

// Maximum size of one event in a stream. Engines send far smaller ones.
constexpr size_t kMaxEventBytes = 1 << 20;

std::string_view HeaderOf(const http::Headers& headers, std::string_view name) {
  const auto found = std::ranges::find_if(
      headers, [name](const auto& header) { return header.first == name; });
  return found == headers.end() ? std::string_view() : found->second;
}

// How a response's body is handled, as determined by its head.
enum class BodyKind { kNone, kStream, kWhole, kCallerError, kRefused, kFailed };

struct Attempt {
  http::TransferId transfer = 0;
  RequestKind kind = RequestKind::kChat;
  bool stream = false;
  Tokens output_limit = 0;
  BodyKind body = BodyKind::kNone;
  int status = 0;
  std::string content_type;
  EventStream events;
  std::string whole;

  explicit Attempt(const CallerRequest& request)
      : kind(request.kind),
        stream(request.stream),
        output_limit(request.output_limit),
        events(request.wants_usage, kMaxEventBytes) {}
};

BodyKind BodyKindOf(const Attempt& attempt, int status,
                    const http::Headers& headers) {
  constexpr int kTooManyRequests = 429;
  constexpr int kUnavailable = 503;
  const bool not_run = HeaderOf(headers, "dotterelshift-ran") == "no";
  if (status == kTooManyRequests || (status == kUnavailable && not_run))
    return BodyKind::kRefused;
  if (status >= 400 && status < 500) return BodyKind::kCallerError;
  if (status < 200 || status >= 300) return BodyKind::kFailed;
  if (!attempt.stream) return BodyKind::kWhole;
  const bool events =
      HeaderOf(headers, "content-type").starts_with(kEventStream);
  return events ? BodyKind::kStream : BodyKind::kFailed;
}

http::ClientRequest RequestFor(const std::string& address,
                               const CallerRequest& request) {
  http::ClientRequest sent;
  sent.method = request.method;
  sent.url = "http://" + address + request.path;
  sent.body = request.body;
  if (!request.content_type.empty())
    sent.headers.emplace_back("Content-Type", request.content_type);
  if (!request.idempotency_key.empty()) {
    sent.headers.emplace_back("Dotterelshift-Request-Key",
                              request.idempotency_key);
  }
  return sent;
}

class HttpAttemptRunner : public AttemptRunner {
 public:
  HttpAttemptRunner(http::Client& client, const AttemptRunnerOptions& options,
                    AttemptEvents events)
      : m_client(client), m_options(options), m_events(std::move(events)) {}

  ~HttpAttemptRunner() override {
    for (const auto& [id, attempt] : m_attempts)
      m_client.Cancel(attempt->transfer);
  }

  void Start(AttemptId id, const std::string& address,
             const CallerRequest& request, Duration time_left) override {
    auto attempt = std::make_shared<Attempt>(request);
    http::ClientRequest sent = RequestFor(address, request);
    sent.connect_timeout = m_options.connect_timeout;
    sent.total_timeout = std::max<Duration>(time_left, 1ms);
    http::TransferCallbacks callbacks;
    // Each callback shares ownership of the attempt, because an event that it
    // reports may end the attempt.
    callbacks.on_head = [this, id, attempt](int status,
                                            const http::Headers& headers) {
      OnHead(id, *attempt, status, headers);
    };
    callbacks.on_chunk = [this, id, attempt](std::string_view bytes) {
      return OnBytes(id, *attempt, bytes);
    };
    callbacks.on_end = [this, id, attempt](TransferEnd end) {
      OnTransferEnd(id, *attempt, end);
    };
    attempt->transfer = m_client.Start(std::move(sent), std::move(callbacks));
    m_attempts.emplace(id, std::move(attempt));
  }

  void Cancel(AttemptId id) override {
    const auto node = m_attempts.extract(id);
    if (!node.empty()) m_client.Cancel(node.mapped()->transfer);
  }

  void Resume(AttemptId id) override {
    const auto found = m_attempts.find(id);
    if (found != m_attempts.end()) m_client.Resume(found->second->transfer);
  }

  size_t Open() const override { return m_attempts.size(); }

 private:
  // A transfer may outlive its attempt, and the attempt's ID may be reused;
  // hence the comparison of the objects.
  bool IsOpen(AttemptId id, const Attempt& attempt) const {
    const auto found = m_attempts.find(id);
    return found != m_attempts.end() && found->second.get() == &attempt;
  }

  void OnHead(AttemptId id, Attempt& attempt, int status,
              const http::Headers& headers) {
    attempt.status = status;
    attempt.body = BodyKindOf(attempt, status, headers);
    attempt.content_type = HeaderOf(headers, "content-type");
    if (attempt.body == BodyKind::kRefused) {
      AbortAttempt(id, attempt, AttemptEnd::kRefusedBeforeRun);
    } else if (attempt.body == BodyKind::kFailed) {
      AbortAttempt(id, attempt, AttemptEnd::kDied);
    } else if (attempt.body == BodyKind::kStream) {
      m_events.on_head(id, status, attempt.content_type);
    }
  }

  bool OnBytes(AttemptId id, Attempt& attempt, std::string_view bytes) {
    if (!IsOpen(id, attempt)) return true;
    if (attempt.body == BodyKind::kStream) return OnEvents(id, attempt, bytes);
    if (attempt.whole.size() + bytes.size() > m_options.max_response_bytes) {
      AbortAttempt(id, attempt, AttemptEnd::kDied);
      return true;
    }
    attempt.whole.append(bytes);
    return true;
  }

  bool OnEvents(AttemptId id, Attempt& attempt, std::string_view bytes) {
    bool more = true;
    const auto state = attempt.events.Add(
        bytes, [&](const Chunk& chunk, std::string_view complete_events) {
          if (IsOpen(id, attempt))
            more = m_events.on_chunk(id, chunk, complete_events);
        });
    if (!IsOpen(id, attempt)) return true;
    if (state == EventStream::State::kBroken) {
      AbortAttempt(id, attempt, AttemptEnd::kDied);
    } else if (state == EventStream::State::kEnded) {
      // The transfer runs to its own end, so that the connection can be reused.
      m_attempts.erase(id);
      m_events.on_end(id, AttemptEnd::kWhole);
      return true;
    }
    return more;
  }

  void OnTransferEnd(AttemptId id, Attempt& attempt, TransferEnd end) {
    if (!IsOpen(id, attempt)) return;
    const AttemptEnd result = AttemptEndOf(attempt, end);
    const bool whole =
        result == AttemptEnd::kWhole || result == AttemptEnd::kCallerError;
    Chunk chunk;
    if (whole && !ReadResponse(attempt, &chunk)) {
      Close(id, AttemptEnd::kDied);
      return;
    }
    if (whole) {
      m_events.on_head(id, attempt.status, attempt.content_type);
      if (IsOpen(id, attempt)) m_events.on_chunk(id, chunk, attempt.whole);
    }
    Close(id, result);
  }

  static AttemptEnd AttemptEndOf(const Attempt& attempt, TransferEnd end) {
    switch (end) {
      case TransferEnd::kNotSent:
      case TransferEnd::kRelayFailed:
        return AttemptEnd::kNotSent;
      case TransferEnd::kTimedOut:
        return AttemptEnd::kTimedOut;
      case TransferEnd::kFailedBeforeHead:
      case TransferEnd::kCut:
      case TransferEnd::kTooLarge:
        return AttemptEnd::kDied;
      case TransferEnd::kWhole:
        break;
    }
    if (attempt.body == BodyKind::kCallerError) return AttemptEnd::kCallerError;
    // A stream that is still open at the end of its transfer had no end marker.
    return attempt.body == BodyKind::kWhole ? AttemptEnd::kWhole
                                            : AttemptEnd::kDied;
  }

  // Determines the tokens and usage of a complete response. Returns false if
  // the response of a model call is not a JSON object.
  static bool ReadResponse(const Attempt& attempt, Chunk* chunk) {
    if (attempt.body == BodyKind::kCallerError) return true;
    if (attempt.kind == RequestKind::kService) {
      chunk->tokens = attempt.output_limit;
      return true;
    }
    if (!ReadUsage(attempt.whole, chunk)) return false;
    if (!chunk->has_usage) chunk->tokens = EstimateTokens(attempt.whole);
    return true;
  }

  // Ends an attempt and cancels its transfer.
  void AbortAttempt(AttemptId id, const Attempt& attempt, AttemptEnd end) {
    m_client.Cancel(attempt.transfer);
    Close(id, end);
  }

  void Close(AttemptId id, AttemptEnd end) {
    if (m_attempts.erase(id) > 0) m_events.on_end(id, end);
  }

  http::Client& m_client;
  const AttemptRunnerOptions m_options;
  const AttemptEvents m_events;
  std::unordered_map<AttemptId, std::shared_ptr<Attempt>> m_attempts;
};

}  // namespace

std::unique_ptr<AttemptRunner> MakeAttemptRunner(
    http::Client& client, const AttemptRunnerOptions& options,
    AttemptEvents events) {
  return std::make_unique<HttpAttemptRunner>(client, options,
                                             std::move(events));
}

}  // namespace dotterelshift::endpoints
