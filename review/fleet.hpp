// Stand-ins for callers, servers and the operator, and a small fleet of the
// project's own daemons on loopback addresses. Used by the cases in review/.
#ifndef REVIEW_FLEET_HPP_
#define REVIEW_FLEET_HPP_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

// Exit statuses of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

// ---- time and the record

inline std::chrono::steady_clock::time_point Begin() {
  static const auto begin = std::chrono::steady_clock::now();
  return begin;
}

// Seconds since the start of the run.
inline double Now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                       Begin())
      .count();
}

inline void Sleep(double seconds) {
  if (seconds > 0)
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

// Writes what was sent, answered and run to record.txt.
class Record {
 public:
  explicit Record(const std::string& path) : m_file(std::fopen(path.c_str(), "w")) {
    if (m_file == nullptr) {
      std::perror(path.c_str());
      std::exit(2);
    }
  }
  ~Record() { std::fclose(m_file); }

  // A line with the current time.
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::fprintf(m_file, "%9.3f  ", Now());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(m_file, format, arguments);
    va_end(arguments);
    std::fputc('\n', m_file);
    std::fflush(m_file);
  }

  // A line of the verdict, on standard output too.
  void Say(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    char text[1024];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    Line("%s", text);
    std::printf("%s\n", text);
    std::fflush(stdout);
  }

 private:
  std::mutex m_mutex;
  std::FILE* m_file;
};

// ---- sockets

inline sockaddr_in AddressOf(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

inline void ResetOnClose(int descriptor) {
  const linger at_once{1, 0};
  setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

// Connects from a loopback address; -1 if that fails.
inline int Connect(const std::string& from, const std::string& ip, int port,
                   double timeout) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  const sockaddr_in own = AddressOf(from, 0);
  bind(descriptor, reinterpret_cast<const sockaddr*>(&own), sizeof own);
  fcntl(descriptor, F_SETFL, O_NONBLOCK);
  const sockaddr_in to = AddressOf(ip, port);
  const int result =
      connect(descriptor, reinterpret_cast<const sockaddr*>(&to), sizeof to);
  if (result != 0 && errno != EINPROGRESS) {
    close(descriptor);
    return -1;
  }
  pollfd ready{descriptor, POLLOUT, 0};
  int error = 0;
  socklen_t size = sizeof error;
  if (poll(&ready, 1, static_cast<int>(timeout * 1000)) != 1 ||
      getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
      error != 0) {
    close(descriptor);
    return -1;
  }
  return descriptor;
}

inline bool SendAll(int descriptor, const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = send(descriptor, bytes.data() + sent,
                               bytes.size() - sent, MSG_NOSIGNAL);
    if (count > 0) {
      sent += static_cast<size_t>(count);
    } else if (errno == EAGAIN || errno == EINTR) {
      pollfd ready{descriptor, POLLOUT, 0};
      if (poll(&ready, 1, 2000) <= 0) return false;
    } else {
      return false;
    }
  }
  return true;
}

// ---- HTTP/1.1

using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::string Lower(std::string text) {
  for (char& c : text) c = static_cast<char>(std::tolower(c));
  return text;
}

inline std::string Find(const Headers& headers, const std::string& name) {
  for (const auto& [key, value] : headers)
    if (key == name) return value;
  return "";
}

// A message that is read from a connection.
struct Message {
  std::string first_line;
  Headers headers;  // names in lower case
  std::string body;
  bool whole = false;
  int Status() const {
    const size_t space = first_line.find(' ');
    return space == std::string::npos
               ? 0
               : std::atoi(first_line.c_str() + space + 1);
  }
};

// Reads messages from a connection. `stop` ends a wait.
class Reader {
 public:
  Reader(int descriptor, std::function<bool()> stop)
      : m_descriptor(descriptor), m_stop(std::move(stop)) {}

  // Empty first line: the connection ended, or the time is over.
  Message Next(double until, bool response) {
    Message message;
    size_t end = 0;
    while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos)
      if (!Fill(until)) return message;
    std::istringstream head(m_buffer.substr(0, end));
    m_buffer.erase(0, end + 4);
    std::string line;
    std::getline(head, line);
    message.first_line = Trim(line);
    while (std::getline(head, line)) {
      const size_t colon = line.find(':');
      if (colon == std::string::npos) continue;
      message.headers.emplace_back(Lower(Trim(line.substr(0, colon))),
                                   Trim(line.substr(colon + 1)));
    }
    ReadBody(message, until, response);
    return message;
  }

  bool Ended() const { return m_ended; }

 private:
  static std::string Trim(std::string text) {
    while (!text.empty() && std::isspace(static_cast<unsigned char>(text.back())))
      text.pop_back();
    while (!text.empty() &&
           std::isspace(static_cast<unsigned char>(text.front())))
      text.erase(0, 1);
    return text;
  }

  void ReadBody(Message& message, double until, bool response) {
    const std::string length = Find(message.headers, "content-length");
    const bool chunked =
        !Find(message.headers, "transfer-encoding").empty();
    if (chunked) return ReadChunks(message, until);
    if (length.empty()) {
      if (response)
        while (Fill(until)) {
        }
      if (response) message.body = std::exchange(m_buffer, "");
      message.whole = !response || m_orderly;
      return;
    }
    const size_t size = std::strtoul(length.c_str(), nullptr, 10);
    while (m_buffer.size() < size)
      if (!Fill(until)) break;
    message.whole = m_buffer.size() >= size;
    message.body = m_buffer.substr(0, size);
    m_buffer.erase(0, size);
  }

  void ReadChunks(Message& message, double until) {
    while (true) {
      size_t end = 0;
      while ((end = m_buffer.find("\r\n")) == std::string::npos)
        if (!Fill(until)) return;
      const size_t size = std::strtoul(m_buffer.c_str(), nullptr, 16);
      while (m_buffer.size() < end + 2 + size + 2)
        if (!Fill(until)) return;
      message.body += m_buffer.substr(end + 2, size);
      m_buffer.erase(0, end + 2 + size + 2);
      if (size != 0) continue;
      message.whole = true;
      return;
    }
  }

  bool Fill(double until) {
    while (Now() < until && !(m_stop && m_stop())) {
      pollfd ready{m_descriptor, POLLIN, 0};
      if (poll(&ready, 1, 10) <= 0) continue;
      char buffer[16384];
      const ssize_t count = recv(m_descriptor, buffer, sizeof buffer, 0);
      if (count > 0) {
        m_buffer.append(buffer, static_cast<size_t>(count));
        return true;
      }
      if (count < 0 && (errno == EAGAIN || errno == EINTR)) continue;
      m_ended = true;
      m_orderly = count == 0;
      return false;
    }
    return false;
  }

  const int m_descriptor;
  const std::function<bool()> m_stop;
  std::string m_buffer;
  bool m_ended = false;
  bool m_orderly = false;
};

struct Call {
  std::string from;
  std::string ip;
  int port = 0;
  std::string method = "GET";
  std::string path;
  Headers headers;
  std::string body;
  double timeout = 2;
};

// One request on a new connection. Status 0: no response.
inline Message Send(const Call& call) {
  const double until = Now() + call.timeout;
  const int descriptor =
      Connect(call.from, call.ip, call.port, std::min(1.0, call.timeout));
  if (descriptor < 0) return {};
  std::string bytes = call.method + " " + call.path + " HTTP/1.1\r\n";
  for (const auto& [name, value] : call.headers)
    bytes += name + ": " + value + "\r\n";
  if (Find(call.headers, "Host").empty())
    bytes += "Host: " + call.ip + "\r\n";
  if (!call.body.empty() || call.method != "GET")
    bytes += "Content-Length: " + std::to_string(call.body.size()) + "\r\n";
  bytes += "\r\n" + call.body;
  Message message;
  if (SendAll(descriptor, bytes))
    message = Reader(descriptor, nullptr).Next(until, true);
  close(descriptor);
  return message;
}

// ---- the fleet

struct Bounds {
  // As on the sheets of the small deployments.
  static constexpr double kContact = 3.0;
  static constexpr double kDrain = 2.0;
  static constexpr int kRetrySlack = 52;
};

inline constexpr int kControlPort = 8229;
inline constexpr int kFrontPort = 8227;
inline constexpr int kReadyPort = 8220;
inline constexpr int kFirstInternalPort = 7340;
inline constexpr int kLastInternalPort = 7355;

inline std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    std::fprintf(stderr, "cannot read %s\n", path.c_str());
    std::exit(2);
  }
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

// One daemon: its settings and its process.
class Daemon {
 public:
  Daemon(std::string name, std::string ip, std::string folder)
      : m_name(std::move(name)), m_ip(std::move(ip)), m_folder(std::move(folder)) {}

  const std::string& Name() const { return m_name; }
  const std::string& Ip() const { return m_ip; }
  pid_t Pid() const { return m_pid; }

  // Starts the command of the deploy file with settings that the template
  // gives.
  void Start(const std::string& settings) {
    const std::string path = m_folder + "/" + m_name + ".yaml";
    std::ofstream(path) << settings;
    const std::string log = m_folder + "/" + m_name + ".log";
    m_pid = fork();
    if (m_pid != 0) return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, 1);
    dup2(out, 2);
    execl("target/dotterelshiftd", "target/dotterelshiftd", "--settings",
          path.c_str(), nullptr);
    _exit(127);
  }

  void Signal(int signal) const {
    if (m_pid > 0) kill(m_pid, signal);
  }

  void Kill() {
    if (m_pid <= 0) return;
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
    m_pid = -1;
  }

  // Whether the process has ended by itself.
  bool HasEnded() {
    if (m_pid <= 0) return false;
    if (waitpid(m_pid, nullptr, WNOHANG) != m_pid) return false;
    m_pid = -1;
    return true;
  }

 private:
  const std::string m_name;
  const std::string m_ip;
  const std::string m_folder;
  pid_t m_pid = -1;
};

class Fleet {
 public:
  // `spares`: further machines for control, which are not started at first.
  Fleet(Record& record, int controls, int entries, int spares = 0)
      : m_record(record), m_first_controls(controls) {
    m_folder =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (mkdtemp(m_folder.data()) == nullptr) std::exit(kCouldNotRun);
    const int pid = static_cast<int>(getpid());
    m_network = "127." + std::to_string(30 + pid % 200) + "." +
                std::to_string(1 + (pid / 200) % 250) + ".";
    for (int i = 0; i < controls + spares; ++i)
      m_controls.push_back(std::make_unique<Daemon>(
          "core-" + std::to_string(i + 1), Ip(10 + i), m_folder));
    for (int i = 0; i < entries; ++i)
      m_entries.push_back(std::make_unique<Daemon>(
          "edge-" + std::to_string(i + 1), Ip(20 + i), m_folder));
  }

  ~Fleet() {
    for (auto& daemon : m_entries) daemon->Kill();
    for (auto& daemon : m_controls) daemon->Kill();
    if (std::getenv("KEEP_LOGS") == nullptr)
      std::filesystem::remove_all(m_folder);
    else
      std::printf("logs in %s\n", m_folder.c_str());
  }

  std::string Ip(int last) const { return m_network + std::to_string(last); }
  Daemon& Control(int i) { return *m_controls.at(i); }
  Daemon& Entry(int i) { return *m_entries.at(i); }
  int Controls() const { return static_cast<int>(m_controls.size()); }
  int Entries() const { return static_cast<int>(m_entries.size()); }

  // As on the platform, all start at the same time, with empty disks.
  void Start() {
    for (int i = 0; i < m_first_controls; ++i) StartControl(i, true);
    for (int i = 0; i < Entries(); ++i) StartEntry(i);
  }

  void StartControl(int i, bool bootstrap = false,
                    const std::vector<int>& seeds = {0, 1, 2}) {
    Daemon& daemon = Control(i);
    const std::string data = m_folder + "/" + daemon.Name();
    mkdir(data.c_str(), 0755);
    daemon.Start(
        Settings("platform/control.yaml.in", daemon, data, bootstrap, seeds));
    m_record.Line("%s starts", daemon.Name().c_str());
  }

  void StartEntry(int i) {
    Daemon& daemon = Entry(i);
    daemon.Start(
        Settings("platform/entry.yaml.in", daemon, "", false, {0, 1, 2}));
    m_record.Line("%s starts", daemon.Name().c_str());
  }

  // Whether the platform would send it callers.
  bool IsReady(int entry) {
    Call call;
    call.from = Ip(41);
    call.ip = Entry(entry).Ip();
    call.port = kReadyPort;
    call.path = "/dotterelshift/readyz";
    call.timeout = 1;
    return Send(call).Status() == 200;
  }

  bool AwaitReady(double until) {
    for (int i = 0; i < Entries(); ++i)
      while (!IsReady(i)) {
        if (Now() > until) return false;
        Sleep(0.1);
      }
    return true;
  }

  // Reads the manifest back as the operator does, at any daemon, until one
  // answers. Empty: none did.
  std::string ReadBack(double until) {
    for (int i = 0; Now() < until; ++i) {
      Call call;
      call.from = Ip(42);
      call.path = "/dotterelshift/config";
      call.ip = Control(i % Controls()).Ip();
      call.port = kControlPort;
      Message answer = Send(call);
      for (int hop = 0; hop < 2 && answer.Status() == 307; ++hop) {
        call.ip = HostOf(Find(answer.headers, "location"));
        answer = Send(call);
      }
      m_record.Line("manifest read at %s: %d", call.ip.c_str(),
                    answer.Status());
      if (answer.Status() == 200 && answer.whole) return answer.body;
      Sleep(0.2);
    }
    return "";
  }

  // Sends a manifest as the operator does, until it is acknowledged.
  bool Publish(const std::string& document, double until) {
    for (int i = 0; Now() < until; ++i) {
      Call call;
      call.from = Ip(42);
      call.method = "PUT";
      call.path = "/dotterelshift/config";
      call.body = document;
      call.headers = {{"Content-Type", "application/json"}};
      call.ip = Control(i % Controls()).Ip();
      call.port = kControlPort;
      Message answer = Send(call);
      for (int hop = 0; hop < 2 && answer.Status() == 307; ++hop) {
        call.ip = HostOf(Find(answer.headers, "location"));
        answer = Send(call);
      }
      m_record.Line("manifest sent to %s: %d", call.ip.c_str(), answer.Status());
      if (answer.Status() == 200) return true;
      Sleep(0.2);
    }
    return false;
  }

 private:
  static std::string HostOf(const std::string& url) {
    const size_t begin = url.find("//") + 2;
    return url.substr(begin, url.find(':', begin) - begin);
  }

  static void Replace(std::string& text, const std::string& from,
                      const std::string& to) {
    for (size_t at = text.find(from); at != std::string::npos;
         at = text.find(from, at + to.size()))
      text.replace(at, from.size(), to);
  }

  // Fills in the project's own template as the platform does.
  std::string Settings(const std::string& path, const Daemon& daemon,
                       const std::string& data, bool bootstrap,
                       const std::vector<int>& seed_machines) {
    std::string text = ReadFile(path);
    std::string seeds;
    for (const int i : seed_machines)
      seeds += (seeds.empty() ? "\"" : ",\"") + Control(i).Ip() + ":" +
               std::to_string(kControlPort) + "\"";
    Replace(text, "{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", seeds);
    Replace(text, "{{ip}}", daemon.Ip());
    Replace(text, "{{zone}}", "z");
    Replace(text, "{{internal_ports.0}}", std::to_string(kFirstInternalPort));
    Replace(text, "{{internal_ports.1}}", std::to_string(kLastInternalPort));
    Replace(text, "{{listen.control}}",
            daemon.Ip() + ":" + std::to_string(kControlPort));
    Replace(text, "{{listen.front}}",
            daemon.Ip() + ":" + std::to_string(kFrontPort));
    Replace(text, "{{listen.ready}}",
            daemon.Ip() + ":" + std::to_string(kReadyPort));
    Replace(text, "{{data_dir}}", data);
    Replace(text, "{{bootstrap}}", bootstrap ? "true" : "false");
    Replace(text, "{{bounds.retry_window_s}}", "10");
    Replace(text, "{{bounds.retry_ratio}}", "0.2");
    Replace(text, "{{bounds.retry_slack}}", std::to_string(Bounds::kRetrySlack));
    Replace(text, "{{bounds.grace_s}}", "8");
    Replace(text, "{{limits.link_mbps}}", "1000.0");
    if (text.find("{{") != std::string::npos) {
      std::fprintf(stderr, "%s: a placeholder is not known\n", path.c_str());
      std::exit(2);
    }
    return text;
  }

  Record& m_record;
  const int m_first_controls;
  std::string m_folder;
  std::string m_network;
  std::vector<std::unique_ptr<Daemon>> m_controls;
  std::vector<std::unique_ptr<Daemon>> m_entries;
};

// ---- servers

struct Run {
  Message request;
  std::string id;  // X-Request-Id
  double at = 0;   // arrival
};

struct ServerOptions {
  std::string id;
  std::string service;
  std::string ip;
  int port = 8120;
  int slots = 6;
  std::string first_control;  // where it sends its status reports
  std::string version = "v1";
};

// A stand-in for a server. The handler is called for each request that it
// runs, on the connection's thread, and sends the response.
class Server {
 public:
  using Handler = std::function<void(Server& server, int descriptor, const Run&)>;

  Server(Fleet& fleet, Record& record, ServerOptions options, Handler handler)
      : m_fleet(fleet),
        m_record(record),
        m_options(std::move(options)),
        m_handler(std::move(handler)),
        m_control(m_options.first_control),
        m_version(m_options.version) {}

  ~Server() { Stop(); }

  const std::string& Id() const { return m_options.id; }
  bool Crashed() const { return m_crashed; }

  const std::string& Version() const { return m_version; }
  // Of the next start.
  void SetVersion(const std::string& version) { m_version = version; }
  // When the newest report was acknowledged.
  double LastReport() const { return m_last_report; }

  // Its first report is sent after `report_delay` seconds.
  bool Start(double report_delay = 0) {
    m_report_delay = report_delay;
    m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in own = AddressOf(m_options.ip, m_options.port);
    if (bind(m_listener, reinterpret_cast<const sockaddr*>(&own), sizeof own) !=
            0 ||
        listen(m_listener, 128) != 0)
      return false;
    m_crashed = false;
    m_silent = false;
    m_stopping = false;
    m_sequence = 0;
    m_born = std::chrono::duration_cast<std::chrono::milliseconds>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count();
    m_accepts = std::thread([this] { AcceptAll(); });
    m_reports = std::thread([this] { ReportAll(); });
    return true;
  }

  // The process ends at once: its connections are reset, and its port refuses
  // new ones.
  void Crash() {
    if (m_crashed.exchange(true)) return;
    m_record.Line("server %s crashes", Id().c_str());
  }

  // Ends it, and waits for its threads.
  void Stop() {
    m_crashed = true;
    m_stopping = true;
    if (m_accepts.joinable()) m_accepts.join();
    if (m_reports.joinable()) m_reports.join();
    while (m_connections > 0) Sleep(0.005);
  }

  // Sends DELETE to the daemon that takes its reports, and reports no more.
  // Returns the time of the acknowledgement; 0: none.
  double Withdraw(std::string* daemon, const std::function<void()>& on_ack) {
    m_silent = true;
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      *daemon = m_control;
    }
    Call call = ControlCall(*daemon, "DELETE");
    const int status = Send(call).Status();
    const double at = Now();
    if (status == 200 && on_ack) on_ack();
    m_record.Line("server %s: DELETE sent to %s, answered %d", Id().c_str(),
                  daemon->c_str(), status);
    return status == 200 ? at : 0;
  }

  int Running() const { return m_running; }

  // Waits for `seconds` of work; false if it crashed meanwhile.
  bool Work(double seconds) const {
    const double end = Now() + seconds;
    while (Now() < end) {
      if (m_crashed) return false;
      Sleep(std::min(0.005, std::max(0.0, end - Now())));
    }
    return !m_crashed;
  }

 private:
  Call ControlCall(const std::string& daemon, const std::string& method) const {
    Call call;
    call.from = m_options.ip;
    call.ip = daemon;
    call.port = kControlPort;
    call.method = method;
    call.path = "/dotterelshift/instances/" + Id();
    call.timeout = 1;
    return call;
  }

  // A status report each 1.2 s, to the same daemon while it acknowledges them.
  void ReportAll() {
    double next = Now() + m_report_delay;
    while (!m_crashed) {
      if (m_silent || Now() < next) {
        Sleep(0.01);
        continue;
      }
      next = Now() + 1.2;
      std::string daemon;
      {
        const std::lock_guard<std::mutex> lock(m_mutex);
        daemon = m_control;
      }
      Call call = ControlCall(daemon, "PUT");
      call.headers = {{"Content-Type", "application/json"}};
      call.body = "{\"service\":\"" + m_options.service + "\",\"addr\":\"" +
                  m_options.ip + ":" + std::to_string(m_options.port) +
                  "\",\"zone\":\"z\",\"version\":\"" +
                  m_version + "\",\"slots\":" +
                  std::to_string(m_options.slots) +
                  ",\"state\":\"ready\",\"cold_left_ms\":0,\"born\":" +
                  std::to_string(m_born) +
                  ",\"seq\":" + std::to_string(++m_sequence) + "}";
      const bool acked = Send(call).Status() / 100 == 2;
      if (acked) m_last_report = Now();
      if (acked || m_silent) continue;
      const std::lock_guard<std::mutex> lock(m_mutex);
      m_control = m_fleet.Control(m_next_control++ % m_fleet.Controls()).Ip();
      next = Now() + 0.05;
    }
  }

  void AcceptAll() {
    while (!m_crashed) {
      pollfd ready{m_listener, POLLIN, 0};
      if (poll(&ready, 1, 5) <= 0) continue;
      const int descriptor = accept(m_listener, nullptr, nullptr);
      if (descriptor < 0) continue;
      ++m_connections;
      std::thread([this, descriptor] {
        Serve(descriptor);
        --m_connections;
      }).detach();
    }
    close(m_listener);
  }

  void Serve(int descriptor) {
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    Reader reader(descriptor, [this] { return m_crashed.load(); });
    while (!m_crashed) {
      Run run;
      run.request = reader.Next(Now() + 30, false);
      run.at = Now();
      if (run.request.first_line.empty() || !run.request.whole) break;
      run.id = Find(run.request.headers, "x-request-id");
      if (Find(run.request.headers, "x-expect-instance") != Id()) {
        Answer(descriptor, 421, run.id, {}, "");
        continue;
      }
      if (++m_running > 2 * m_options.slots) {
        --m_running;
        Answer(descriptor, 503, run.id, {{"X-Not-Executed", "1"}}, "");
        continue;
      }
      m_handler(*this, descriptor, run);
      --m_running;
    }
    if (m_crashed && !m_stopping) ResetOnClose(descriptor);
    close(descriptor);
  }

 public:
  static void Answer(int descriptor, int status, const std::string& id,
                     const Headers& headers, const std::string& body) {
    std::string bytes = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    bytes += "X-Request-Id: " + id + "\r\nX-Server-Stamp: stamp-" + id + "\r\n";
    for (const auto& [name, value] : headers)
      bytes += name + ": " + value + "\r\n";
    bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    SendAll(descriptor, bytes);
  }

 private:
  Fleet& m_fleet;
  Record& m_record;
  const ServerOptions m_options;
  const Handler m_handler;
  std::mutex m_mutex;
  std::string m_control;
  int m_next_control = 0;
  int m_listener = -1;
  std::atomic<bool> m_crashed{true};
  std::atomic<bool> m_silent{false};
  std::atomic<bool> m_stopping{false};
  std::atomic<int> m_connections{0};
  std::atomic<int> m_running{0};
  std::string m_version;
  double m_report_delay = 0;
  std::atomic<double> m_last_report{0};
  uint64_t m_sequence = 0;
  int64_t m_born = 0;
  std::thread m_accepts;
  std::thread m_reports;
};

// ---- the run

inline bool HasTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

inline std::string NewRequestId() {
  static std::atomic<uint64_t> next{1};
  char text[32];
  std::snprintf(text, sizeof text, "%016llx",
                static_cast<unsigned long long>(
                    next++ * 0x9e3779b97f4a7c15ULL ^ static_cast<uint64_t>(getpid())));
  return text;
}

}  // namespace review

#endif  // REVIEW_FLEET_HPP_
