// A fake model engine and plain service, for tests and the demo.
#include <csignal>     // for signal
#include <cstdlib>     // for _Exit
#include <deque>       // for deque
#include <filesystem>  // for rename
#include <fstream>     // for ofstream
#include <map>         // for map
#include <variant>     // for get_if

#include "announcer.h"                             // for Announcer
#include "dotterelshift/callers/caller_request.h"  // for ParseCallerRequest
#include "dotterelshift/http/server.h"             // for MakeServer
#include "options.h"                               // for Options

namespace dotterelshift::fake {
namespace {

using callers::CallerRequest;
using callers::RequestKind;
using nlohmann::json;
using ExchangePtr = std::shared_ptr<http::Exchange>;

constexpr size_t kPauseAboveBytes = 256 << 10;
const http::Headers kJson = {{"Content-Type", "application/json"}};

// One request, from its arrival on. Kept after its end so that tests can
// compare the tokens written with the bills.
struct Served {
  std::string key;
  std::string state = "waiting";  // running, whole, cut, cancelled
  Tokens prompt_tokens = 0;
  Tokens tokens = 0;  // written so far
  Tokens wanted = 0;
  CallerRequest request;
  ExchangePtr exchange;
  std::unique_ptr<loop::Timer> timer;
};

class FakeEndpoint {
 public:
  FakeEndpoint(loop::Loop& loop, const Options& options)
      : m_loop(loop),
        m_options(options),
        m_server(http::MakeServer(
            loop, {.address = options.address, .port = options.port},
            [this](const ExchangePtr& exchange) { OnExchange(exchange); })),
        m_announcer(loop, options, m_server->Port()),
        m_terminate(loop, SIGTERM, [this] { Drain(true); }) {
    if (!options.port_file.empty()) WritePort();
    m_announcer.Start([this] {
      return Load{m_loop.Now(), m_running, m_queue.size()};
    });
  }

 private:
  // Writes a temporary file and renames it, so that no reader sees a partial
  // number.
  void WritePort() {
    const std::string temporary_path = m_options.port_file + ".new";
    std::ofstream(temporary_path) << m_server->Port() << '\n';
    std::filesystem::rename(temporary_path, m_options.port_file);
  }

  void OnExchange(const ExchangePtr& exchange) {
    const http::Request& request = exchange->GetRequest();
    const std::string& path = request.path;
    if (path == "/endpoint/v1/orders") return OnOrder(exchange);
    if (path == "/control/drain") Drain(false);
    if (path == "/control/drain" || path == "/healthz")
      return exchange->Answer(200, kJson, "{}");
    if (path == "/control/served")
      return exchange->Answer(200, kJson, ServedJson().dump());
    if (path == "/control/orders")
      return exchange->Answer(200, kJson, m_orders.dump());
    OnWork(exchange);
  }

  void Refuse(const ExchangePtr& exchange, int status, const char* text) {
    http::Headers headers = kJson;
    if (status == 503) headers.emplace_back("Dotterelshift-Ran", "no");
    exchange->Answer(status, headers,
                     json{{"error", {{"message", text}}}}.dump());
  }

  // Decrements a positive count. Returns false at 0; a negative count is
  // unlimited.
  static bool ConsumeOne(int& count) {
    if (count > 0) return count-- > 0;
    return count < 0;
  }

  bool Offers(const CallerRequest& request) const {
    if (request.kind != RequestKind::kService)
      return m_announcer.Serves(request.target);
    return std::ranges::find(m_options.services, request.target) !=
           m_options.services.end();
  }

  void OnWork(const ExchangePtr& exchange) {
    // Entries send requests in the callers' format, but without the team's key.
    // A placeholder key lets the callers' parser read them.
    http::Request request = exchange->GetRequest();
    request.headers.emplace_back("authorization", "Bearer none");
    auto parsed = callers::ParseCallerRequest(request, {}, "");
    if (const auto* refusal = std::get_if<callers::Refusal>(&parsed)) {
      Refuse(exchange, RowOf(refusal->kind).status, refusal->detail.c_str());
      return;
    }
    auto& wanted = std::get<CallerRequest>(parsed);
    if (m_announcer.draining || ConsumeOne(m_options.refuse_count)) {
      Refuse(exchange, 503, "not now");
    } else if (!Offers(wanted)) {
      Refuse(exchange, 404, "not offered here");
    } else if (m_queue.size() >= m_options.max_waiting) {
      Refuse(exchange, 429, "too many wait");
    } else {
      Enqueue(exchange, std::move(wanted));
    }
  }

  void Enqueue(const ExchangePtr& exchange, CallerRequest request) {
    const int number = ++m_last;
    Served& served = m_served[number];
    served.key = exchange->GetRequest().Header("dotterelshift-request-key");
    served.prompt_tokens = static_cast<Tokens>(request.body.size() / 4);
    served.wanted = m_options.tokens;
    if (!m_options.ignore_limit)
      served.wanted = std::min(served.wanted, request.output_limit);
    served.request = std::move(request);
    served.exchange = exchange;
    served.timer =
        std::make_unique<loop::Timer>(m_loop, [this, number] { Step(number); });
    exchange->OnGone([this, number] { End(number, "cancelled"); });
    m_queue.push_back(number);
    StartNext();
  }

  void StartNext() {
    while (m_running < m_options.slots && !m_queue.empty()) {
      const int number = m_queue.front();
      m_queue.pop_front();
      Served& served = m_served[number];
      const std::string& mark = m_options.crash_mark;
      if (!mark.empty() && served.request.body.find(mark) != std::string::npos)
        std::_Exit(EXIT_FAILURE);
      ++m_running;
      served.state = "running";
      m_announcer.OnPrefixes(served.request.prefix_hashes);
      served.timer->ArmIn(m_options.first_token_delay);
    }
  }

  // Writes the next part of a response, or all of it if there is no token
  // interval.
  void Step(int number) {
    Served& served = m_served[number];
    if (served.request.kind == RequestKind::kService) return Finish(number);
    const bool at_once = m_options.token_interval == 0s;
    do {
      if (served.tokens == m_options.cut_after &&
          ConsumeOne(m_options.cut_count)) {
        const ExchangePtr exchange = served.exchange;
        End(number, "cut");
        return exchange->Abort();
      }
      if (served.tokens >= served.wanted) return Finish(number);
      if (served.exchange->Backlog() > kPauseAboveBytes) break;
      WriteToken(served);
    } while (at_once);
    served.timer->ArmIn(at_once ? 1ms : m_options.token_interval);
  }

  // Each token contains the key of its request, so that tests can detect
  // content of another request.
  static std::string Token(const Served& served, Tokens index) {
    return (served.key.empty() ? "t" : served.key) + "-" +
           std::to_string(index) + " ";
  }

  static json Chunk(const Served& served, const json& text,
                    const json& finish) {
    const bool chat = served.request.kind == RequestKind::kChat;
    json choice = {{"index", 0}, {"finish_reason", finish}};
    if (chat) {
      choice["delta"] =
          text.is_null() ? json::object() : json{{"content", text}};
    } else {
      choice["text"] = text.is_null() ? "" : text;
    }
    return {{"id", "fake"},
            {"object", chat ? "chat.completion.chunk" : "text_completion"},
            {"model", served.request.target},
            {"choices", json::array({choice})}};
  }

  static json Usage(const Served& served) {
    return {{"prompt_tokens", served.prompt_tokens},
            {"completion_tokens", served.tokens}};
  }

  static void SendEvent(http::Exchange& exchange, const json& event) {
    exchange.WriteChunk("data: " + event.dump() + "\n\n");
  }

  static void WriteToken(Served& served) {
    if (served.request.stream) {
      if (served.tokens == 0) {
        served.exchange->SendHead(200, {{"Content-Type", "text/event-stream"}});
      }
      SendEvent(*served.exchange,
                Chunk(served, Token(served, served.tokens), nullptr));
    }
    ++served.tokens;
  }

  std::string WholeAnswer(const Served& served) const {
    if (served.request.kind == RequestKind::kService) {
      return json{{"service", served.request.target},
                  {"key", served.key},
                  {"bytes", served.request.body.size()}}
          .dump();
    }
    std::string text;
    for (Tokens i = 0; i < served.tokens; ++i) text += Token(served, i);
    json answer = Chunk(served, text, "stop");
    if (served.request.kind == RequestKind::kChat) {
      answer["object"] = "chat.completion";
      json& choice = answer["choices"][0];
      choice.erase("delta");
      choice["message"] = {{"role", "assistant"}, {"content", text}};
    }
    if (!m_options.no_usage) answer["usage"] = Usage(served);
    return answer.dump();
  }

  void Finish(int number) {
    Served& served = m_served[number];
    const ExchangePtr exchange = served.exchange;
    if (!served.request.stream) {
      exchange->Answer(200, kJson, WholeAnswer(served));
      return End(number, "whole");
    }
    SendEvent(*exchange, Chunk(served, nullptr, "stop"));
    if (!m_options.no_usage) {
      json usage = Chunk(served, nullptr, nullptr);
      usage["choices"] = json::array();
      usage["usage"] = Usage(served);
      SendEvent(*exchange, usage);
    }
    exchange->WriteChunk("data: [DONE]\n\n");
    exchange->Finish();
    End(number, "whole");
  }

  void End(int number, const char* state) {
    Served& served = m_served[number];
    if (served.exchange == nullptr) return;
    if (served.state == "running") --m_running;
    std::erase(m_queue, number);
    served.state = state;
    served.exchange->OnGone(nullptr);
    served.exchange = nullptr;
    served.timer->Cancel();
    served.request = {};
    StartNext();
    StopWhenDrained();
  }

  json ServedJson() const {
    json list = json::array();
    for (const auto& [number, served] : m_served) {
      list.push_back({{"key", served.key},
                      {"state", served.state},
                      {"whole", served.state == "whole"},
                      {"cancelled", served.state == "cancelled"},
                      {"prompt_tokens", served.prompt_tokens},
                      {"tokens", served.tokens}});
    }
    return list;
  }

  void OnOrder(const ExchangePtr& exchange) {
    const json order = json::parse(exchange->GetRequest().body, nullptr, false);
    if (!order.is_object()) return Refuse(exchange, 400, "not an order");
    const uint64_t fencing = order.value("fencing", uint64_t{0});
    if (m_options.checks_fencing && fencing < m_fencing)
      return Refuse(exchange, 409, "a higher fencing number is known");
    m_fencing = std::max(m_fencing, fencing);
    m_orders.push_back(order);
    const std::string kind = order.value("kind", "");
    if (kind == "load_model")
      m_announcer.OnModel(order.value("model", ""), order.value("version", ""));
    if (kind == "change_role") m_announcer.OnRole(order.value("argument", ""));
    exchange->Answer(200, kJson, "{}");
    m_announcer.SendNow();
  }

  void Drain(bool stop) {
    m_announcer.draining = true;
    m_stop_when_drained = m_stop_when_drained || stop;
    m_announcer.SendNow();
    StopWhenDrained();
  }

  // Once drained, allows time for the last announcement and responses to be
  // sent.
  void StopWhenDrained() {
    if (m_stop_when_drained && m_running == 0 && m_queue.empty())
      m_stop.ArmIn(2 * m_options.announce_interval);
  }

  loop::Loop& m_loop;
  Options m_options;
  std::unique_ptr<http::Server> m_server;
  Announcer m_announcer;
  loop::SignalWatcher m_terminate;
  loop::Timer m_stop{m_loop, [this] { m_loop.Stop(); }};
  int m_last = 0;
  int m_running = 0;
  bool m_stop_when_drained = false;
  uint64_t m_fencing = 0;
  std::deque<int> m_queue;
  std::map<int, Served> m_served;
  json m_orders = json::array();
};

}  // namespace
}  // namespace dotterelshift::fake

int main(int argc, char** argv) {
  using dotterelshift::fake::FakeEndpoint;
  std::signal(SIGPIPE, SIG_IGN);
  const dotterelshift::fake::Options options =
      dotterelshift::fake::ReadOptions(argc, argv);
  dotterelshift::loop::Loop loop;
  const FakeEndpoint endpoint(loop, options);
  loop.Run();
  return 0;
}
