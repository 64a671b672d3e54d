#include "dotterelshift/callers/front.h"

#include <algorithm>          // for max
#include <nlohmann/json.hpp>  // for ordered_json
#include <unordered_map>      // for unordered_map
#include <utility>            // for move
#include <variant>            // for get_if

namespace dotterelshift::callers {
namespace {

constexpr std::string_view kEventStream = "text/event-stream";
constexpr std::string_view kEndMark = "data: [DONE]\n\n";

std::string_view NameOf(RetryAdvice advice) {
  switch (advice) {
    case RetryAdvice::kNever:
      return "never";
    case RetryAdvice::kLater:
      return "later";
    case RetryAdvice::kNow:
      break;
  }
  return "now";
}

void Answer(http::Exchange& exchange, ErrorKind kind, std::string_view detail,
            int retry_after_seconds, const std::string& request_id) {
  const ErrorRow& row = RowOf(kind);
  http::Headers headers = {
      {"Content-Type", "application/json"},
      {"Dotterelshift-Ran", std::string(dotterelshift::NameOf(row.ran))}};
  if (!request_id.empty())
    headers.emplace_back("Dotterelshift-Request-Id", request_id);
  const int wait = std::max(row.retry_after_seconds, retry_after_seconds);
  if (row.retry == RetryAdvice::kLater)
    headers.emplace_back("Retry-After", std::to_string(wait));
  if (row.status == 401) headers.emplace_back("WWW-Authenticate", "Bearer");
  exchange.Answer(row.status, headers, MakeErrorBody(kind, detail, request_id));
}

ErrorKind KindOf(http::ServerRefusal refusal) {
  switch (refusal) {
    case http::ServerRefusal::kHeadTooLarge:
    case http::ServerRefusal::kMalformed:
      return ErrorKind::kBadHeader;
    case http::ServerRefusal::kBodyTooLarge:
      return ErrorKind::kBodyTooLarge;
    case http::ServerRefusal::kTooManyConnections:
      return ErrorKind::kTooManyConnections;
    case http::ServerRefusal::kCallerClosed:
      // The status says that the request has not run and may be sent again.
      return ErrorKind::kNotReady;
    case http::ServerRefusal::kNoMemory:
      return ErrorKind::kOverloaded;
    case http::ServerRefusal::kSlowCaller:
      break;
  }
  return ErrorKind::kSlowCaller;
}

// A response is streamed if its content type is text/event-stream. Any other is
// buffered until it is complete, so that its status and length are correct.
struct OpenRequest {
  std::shared_ptr<http::Exchange> exchange;
  bool streaming = false;
  bool paused = false;
  int status = 0;
  std::string content_type;
  std::string whole;
};

class ExchangeFront : public Front {
 public:
  ExchangeFront(const FrontOptions& options, FrontEvents events)
      : m_options(options), m_events(std::move(events)) {}

  ~ExchangeFront() override {
    for (auto& [id, open] : m_open) {
      open.exchange->OnGone(nullptr);
      open.exchange->OnDrained(nullptr);
    }
  }

  void Accept(std::shared_ptr<http::Exchange> exchange) override {
    const RequestId id = ++m_last_id;
    auto parsed = ParseCallerRequest(exchange->GetRequest(), m_options.limits,
                                     m_options.fleet_secret);
    if (const auto* refusal = std::get_if<Refusal>(&parsed)) {
      Answer(*exchange, refusal->kind, refusal->detail, 0, std::to_string(id));
      m_events.on_refused(id, *refusal);
      return;
    }
    exchange->OnGone([this, id] { Gone(id); });
    exchange->OnDrained([this, id] { Drained(id); });
    m_open[id].exchange = std::move(exchange);
    m_events.on_request(id, std::move(std::get<CallerRequest>(parsed)));
  }

  void SendHead(RequestId request, int status,
                std::string_view content_type) override {
    OpenRequest* open = Find(request);
    if (open == nullptr) return;
    open->status = status;
    open->content_type = content_type;
    open->streaming = content_type.starts_with(kEventStream);
    if (open->streaming)
      open->exchange->SendHead(status, HeadersOf(request, *open));
  }

  bool WriteChunk(RequestId request, std::string_view bytes) override {
    OpenRequest* open = Find(request);
    if (open == nullptr) return true;
    if (!open->streaming) {
      open->whole.append(bytes);
      return true;
    }
    open->exchange->WriteChunk(bytes);
    open->paused = open->exchange->Backlog() > m_options.pause_above_bytes;
    return !open->paused;
  }

  void Finish(RequestId request) override {
    OpenRequest open = Take(request);
    if (open.exchange == nullptr) return;
    if (open.streaming) {
      open.exchange->WriteChunk(kEndMark);
      open.exchange->Finish();
    } else {
      open.exchange->Answer(open.status, HeadersOf(request, open),
                            std::move(open.whole));
    }
  }

  void Fail(RequestId request, ErrorKind kind, std::string_view detail,
            int retry_after_seconds) override {
    const OpenRequest open = Take(request);
    if (open.exchange == nullptr) return;
    if (!open.streaming) {
      Answer(*open.exchange, kind, detail, retry_after_seconds,
             std::to_string(request));
      return;
    }
    open.exchange->WriteChunk(
        "data: " + MakeErrorBody(kind, detail, std::to_string(request)) +
        "\n\n");
    open.exchange->Finish();
  }

  size_t Open() const override { return m_open.size(); }

 private:
  static http::Headers HeadersOf(RequestId request, const OpenRequest& open) {
    http::Headers headers = {
        {"Dotterelshift-Request-Id", std::to_string(request)}};
    if (!open.content_type.empty())
      headers.emplace_back("Content-Type", open.content_type);
    if (open.streaming) headers.emplace_back("Cache-Control", "no-cache");
    return headers;
  }

  OpenRequest* Find(RequestId request) {
    const auto found = m_open.find(request);
    return found == m_open.end() ? nullptr : &found->second;
  }

  OpenRequest Take(RequestId request) {
    auto node = m_open.extract(request);
    return node.empty() ? OpenRequest() : std::move(node.mapped());
  }

  void Gone(RequestId request) {
    if (m_open.erase(request) > 0) m_events.on_gone(request);
  }

  void Drained(RequestId request) {
    OpenRequest* open = Find(request);
    if (open == nullptr || !std::exchange(open->paused, false)) return;
    m_events.on_drained(request);
  }

  const FrontOptions m_options;
  const FrontEvents m_events;
  RequestId m_last_id = 0;
  std::unordered_map<RequestId, OpenRequest> m_open;
};

}  // namespace

std::string MakeErrorBody(ErrorKind kind, std::string_view detail,
                          std::string_view request_id) {
  const ErrorRow& row = RowOf(kind);
  nlohmann::ordered_json error = {{"kind", row.name},
                                  {"message", row.sentence}};
  error["detail"] = detail;
  error["ran"] = dotterelshift::NameOf(row.ran);
  error["retry"] = NameOf(row.retry);
  if (!request_id.empty()) error["request_id"] = request_id;
  const nlohmann::ordered_json body = {{"error", std::move(error)}};
  // A detail may quote bytes from a caller or an endpoint that are not valid
  // UTF-8; these are replaced.
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void SendErrorResponse(http::Exchange& exchange, ErrorKind kind,
                       std::string_view detail, int retry_after_seconds) {
  Answer(exchange, kind, detail, retry_after_seconds, {});
}

std::pair<int, std::string> ServerRefusalResponse(http::ServerRefusal refusal) {
  const ErrorKind kind = KindOf(refusal);
  return {RowOf(kind).status, MakeErrorBody(kind, {})};
}

std::unique_ptr<Front> MakeFront(const FrontOptions& options,
                                 FrontEvents events) {
  return std::make_unique<ExchangeFront>(options, std::move(events));
}

}  // namespace dotterelshift::callers
