// Measures the throughput of an entry's HTTP layer on one core. An endpoint, a
// relay and the callers run on loopback, each in its own process. The
// relay joins callers::Front and endpoints::AttemptRunner without routing or
// metering; its CPU time is the measured quantity.
//
//   http_bench [streams] [tokens per stream] [short requests] [token interval
//              in ms]
#include <sys/resource.h>  // for getrusage
#include <sys/wait.h>      // for waitpid
#include <unistd.h>        // for fork, pipe

#include <algorithm>   // for sort
#include <csignal>     // for kill
#include <cstdio>      // for printf
#include <cstdlib>     // for atoi
#include <functional>  // for function
#include <memory>      // for unique_ptr
#include <string>      // for string
#include <vector>      // for vector

#include "dotterelshift/callers/front.h"             // for MakeFront
#include "dotterelshift/endpoints/attempt_runner.h"  // for MakeAttemptRunner
#include "dotterelshift/http/client.h"               // for MakeClient
#include "dotterelshift/http/server.h"               // for MakeServer
#include "dotterelshift/loop/loop.h"                 // for Loop

namespace dotterelshift {
namespace {

using ExchangePtr = std::shared_ptr<http::Exchange>;

const std::string kEvent =
    "data: {\"id\":\"cmpl-1\",\"object\":\"chat.completion.chunk\",\"created\":"
    "1,\"model\":\"m\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\" "
    "word\"},\"finish_reason\":null}]}\n\n";
const std::string kWhole =
    "{\"choices\":[{\"message\":{\"role\":\"assistant\",\"content\":\"word\"}}]"
    ",\"usage\":{\"prompt_tokens\":7,\"completion_tokens\":1}}";

struct Size {
  int streams = 1000;
  int tokens = 300;
  int requests = 40000;
  Duration interval = 10ms;
};

// Sends one token to every open stream in each interval, which is the pattern
// in which engines send tokens: many streams, one token each.
class Endpoint {
 public:
  Endpoint(loop::Loop& loop, const Size& size)
      : m_size(size),
        m_server(http::MakeServer(
            loop, {.max_connections = 8192},
            [this](const ExchangePtr& exchange) { OnExchange(exchange); })),
        m_timer(loop, [this] { Tick(); }) {
    m_timer.ArmIn(m_size.interval);
  }
  uint16_t Port() const { return m_server->Port(); }

 private:
  struct Stream {
    ExchangePtr exchange;
    int left = 0;
  };

  void OnExchange(const ExchangePtr& exchange) {
    const std::string& body = exchange->GetRequest().body;
    if (body.find("\"stream\":true") == std::string::npos) {
      exchange->Answer(200, {{"Content-Type", "application/json"}}, kWhole);
      return;
    }
    exchange->SendHead(200, {{"Content-Type", "text/event-stream"}});
    m_streams.push_back({exchange, m_size.tokens});
  }

  void Tick() {
    m_timer.ArmIn(m_size.interval);
    // No token is sent until all streams are open.
    m_started =
        m_started || m_streams.size() == static_cast<size_t>(m_size.streams);
    if (!m_started) return;
    for (Stream& stream : m_streams) {
      if (stream.left-- > 0) {
        stream.exchange->WriteChunk(kEvent);
      } else {
        stream.exchange->WriteChunk("data: [DONE]\n\n");
        stream.exchange->Finish();
      }
    }
    std::erase_if(m_streams,
                  [](const Stream& stream) { return stream.left < 0; });
  }

  const Size m_size;
  bool m_started = false;
  std::vector<Stream> m_streams;
  std::unique_ptr<http::Server> m_server;
  loop::Timer m_timer;
};

// Connects callers::Front directly to endpoints::AttemptRunner.
class Relay {
 public:
  Relay(loop::Loop& loop, uint16_t endpoint)
      : m_endpoint("127.0.0.1:" + std::to_string(endpoint)),
        m_client(http::MakeClient(loop)),
        m_runner(endpoints::MakeAttemptRunner(*m_client, {}, RunnerEvents())),
        m_front(callers::MakeFront({.fleet_secret = "s"}, FrontEvents())),
        m_server(http::MakeServer(loop, {.max_connections = 8192},
                                  [this](ExchangePtr exchange) {
                                    m_front->Accept(std::move(exchange));
                                  })) {}
  uint16_t Port() const { return m_server->Port(); }

 private:
  callers::FrontEvents FrontEvents() {
    return {
        .on_request =
            [this](RequestId request, const callers::CallerRequest& parsed) {
              m_runner->Start(request, m_endpoint, parsed, 60s);
            },
        .on_refused = [](RequestId, const callers::Refusal&) {},
        .on_gone = [this](RequestId request) { m_runner->Cancel(request); },
        .on_drained = [this](RequestId request) { m_runner->Resume(request); }};
  }

  endpoints::AttemptEvents RunnerEvents() {
    return {.on_head =
                [this](AttemptId attempt, int status, std::string_view type) {
                  m_front->SendHead(attempt, status, type);
                },
            .on_chunk =
                [this](AttemptId attempt, const serving::Chunk&,
                       std::string_view bytes) {
                  return m_front->WriteChunk(attempt, bytes);
                },
            .on_end =
                [this](AttemptId attempt, serving::AttemptEnd end) {
                  if (end == serving::AttemptEnd::kWhole) {
                    m_front->Finish(attempt);
                  } else {
                    m_front->Fail(attempt, ErrorKind::kEndpointFailed, "", 0);
                  }
                }};
  }

  const std::string m_endpoint;
  std::unique_ptr<http::Client> m_client;
  std::unique_ptr<endpoints::AttemptRunner> m_runner;
  std::unique_ptr<callers::Front> m_front;
  std::unique_ptr<http::Server> m_server;
};

// Sends requests and counts response bytes and failures.
class Callers {
 public:
  Callers(loop::Loop& loop, uint16_t port)
      : m_loop(loop),
        m_url("http://127.0.0.1:" + std::to_string(port) +
              "/v1/chat/completions"),
        m_client(http::MakeClient(loop)) {}

  // Keeps `open` requests in flight until `total` have ended. Returns the
  // elapsed seconds.
  double Run(int open, int total, bool stream) {
    m_stream = stream;
    m_unstarted = total;
    m_unfinished = total;
    m_first_byte.clear();
    const Instant begin = m_loop.Now();
    for (int i = 0; i < open; ++i) StartOne();
    m_loop.Run();
    return std::chrono::duration<double>(m_loop.Now() - begin).count();
  }

  size_t Bytes() const { return m_bytes; }
  int Failed() const { return m_failed; }

  // Median time to the response head, in milliseconds.
  double MedianFirstByte() {
    std::ranges::sort(m_first_byte);
    return m_first_byte.empty() ? 0 : m_first_byte[m_first_byte.size() / 2];
  }

 private:
  void StartOne() {
    if (m_unstarted-- <= 0) return;
    http::ClientRequest request;
    request.url = m_url;
    request.headers = {{"Authorization", "Bearer key"},
                       {"Content-Type", "application/json"}};
    request.body = std::string(R"({"model":"m","stream":)") +
                   (m_stream ? "true" : "false") +
                   R"(,"messages":[{"role":"user","content":"hello"}]})";
    const Instant begin = m_loop.Now();
    http::TransferCallbacks callbacks;
    callbacks.on_head = [this, begin](int status, const http::Headers&) {
      if (status != 200) ++m_failed;
      m_first_byte.push_back(
          std::chrono::duration<double, std::milli>(m_loop.Now() - begin)
              .count());
    };
    callbacks.on_chunk = [this](std::string_view chunk) {
      m_bytes += chunk.size();
      return true;
    };
    callbacks.on_end = [this](http::TransferEnd end) {
      if (end != http::TransferEnd::kWhole) ++m_failed;
      StartOne();
      if (--m_unfinished == 0) m_loop.Stop();
    };
    m_client->Start(std::move(request), std::move(callbacks));
  }

  loop::Loop& m_loop;
  const std::string m_url;
  std::unique_ptr<http::Client> m_client;
  bool m_stream = false;
  int m_unstarted = 0;
  int m_unfinished = 0;
  int m_failed = 0;
  size_t m_bytes = 0;
  std::vector<double> m_first_byte;
};

struct Child {
  pid_t process = 0;
  uint16_t port = 0;
};

// Forks a process that runs the server made by `make_component`. The child
// reports its port through a pipe; the port is 0 if that fails.
template <typename MakeComponent>
Child Spawn(const MakeComponent& make_component) {
  std::fflush(stdout);  // else the child prints the buffer again
  int ends[2];
  if (pipe(ends) != 0) return {};
  const pid_t process = fork();
  if (process == 0) {
    loop::Loop loop;
    const loop::SignalWatcher end(loop, SIGTERM, [&loop] { loop.Stop(); });
    const auto part = make_component(loop);
    const uint16_t port = part->Port();
    if (write(ends[1], &port, sizeof port) != sizeof port) _exit(1);
    loop.Run();
    std::exit(0);
  }
  Child child{process, 0};
  if (read(ends[0], &child.port, sizeof child.port) != sizeof child.port)
    child.port = 0;
  close(ends[0]);
  close(ends[1]);
  return child;
}

// Terminates a child process and returns its resource usage.
rusage End(const Child& child) {
  rusage used{};
  kill(child.process, SIGTERM);
  wait4(child.process, nullptr, 0, &used);
  return used;
}

double Seconds(const rusage& used) {
  return static_cast<double>(used.ru_utime.tv_sec + used.ru_stime.tv_sec) +
         static_cast<double>(used.ru_utime.tv_usec + used.ru_stime.tv_usec) /
             1e6;
}

double MiB(const rusage& used) {
  return static_cast<double>(used.ru_maxrss) / 1024;
}

void MeasureStreams(const Size& size) {
  const Child endpoint = Spawn([&size](loop::Loop& loop) {
    return std::make_unique<Endpoint>(loop, size);
  });
  const Child relay = Spawn([&endpoint](loop::Loop& loop) {
    return std::make_unique<Relay>(loop, endpoint.port);
  });
  loop::Loop loop;
  Callers callers(loop, relay.port);
  const double seconds = callers.Run(size.streams, size.streams, true);
  const rusage used = End(relay);
  End(endpoint);
  const double events = static_cast<double>(size.streams) * size.tokens;
  std::printf(
      "streams %d  events %.0f  failed %d  offered %.0f/s  relay: %.2f s of "
      "processor, %.0f events/s per core, %.1f MiB\n",
      size.streams, events, callers.Failed(), events / seconds, Seconds(used),
      events / Seconds(used), MiB(used));
}

void MeasureRequests(const Size& size) {
  const Child endpoint = Spawn([&size](loop::Loop& loop) {
    return std::make_unique<Endpoint>(loop, size);
  });
  const Child relay = Spawn([&endpoint](loop::Loop& loop) {
    return std::make_unique<Relay>(loop, endpoint.port);
  });
  loop::Loop loop;
  constexpr int kOpen = 64;
  Callers direct(loop, endpoint.port);
  const double direct_seconds = direct.Run(kOpen, size.requests, false);
  Callers callers(loop, relay.port);
  const double seconds = callers.Run(kOpen, size.requests, false);
  const double median = callers.MedianFirstByte();
  const rusage used = End(relay);
  End(endpoint);
  std::printf(
      "short requests: endpoint alone %.0f/s, through the relay %.0f/s (ratio "
      "%.2f), failed %d, median %.2f ms at %d open; relay: %.0f/s per core, "
      "%.1f MiB\n",
      size.requests / direct_seconds, size.requests / seconds,
      direct_seconds / seconds, callers.Failed(), median, kOpen,
      size.requests / Seconds(used), MiB(used));
}

}  // namespace
}  // namespace dotterelshift

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  dotterelshift::Size size;
  if (argc > 1) size.streams = std::atoi(argv[1]);
  if (argc > 2) size.tokens = std::atoi(argv[2]);
  if (argc > 3) size.requests = std::atoi(argv[3]);
  if (argc > 4) size.interval = std::chrono::milliseconds(std::atoi(argv[4]));
  if (size.streams > 0) dotterelshift::MeasureStreams(size);
  if (size.requests > 0) dotterelshift::MeasureRequests(size);
  return 0;
}
