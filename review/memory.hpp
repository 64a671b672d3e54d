// Parts of the tests that need more memory at an entry than its machine gives:
// the platform, which kills the process, and ordinary callers, which lose
// their answers.
#ifndef REVIEW_MEMORY_HPP_
#define REVIEW_MEMORY_HPP_

#include <sys/resource.h>

#include "rig.hpp"

namespace rig {

// Anonymous memory of a process, without its program and libraries.
inline double MegabytesOf(pid_t pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  std::string line;
  while (std::getline(status, line))
    if (line.rfind("RssAnon:", 0) == 0)
      return strtod(line.c_str() + 8, nullptr) / 1024;
  return 0;
}

// Sets how many descriptors this process and the daemons may have: the
// platform gives an entry 4,100.
inline void SetDescriptorLimit() {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = std::min<rlim_t>(limit.rlim_max, 4100);
  if (limit.rlim_cur < 4100 || setrlimit(RLIMIT_NOFILE, &limit) != 0)
    throw CannotRun("fewer than 4,100 descriptors");
}

// Kills an entry that uses more than `memory_mb`, and starts it again.
class MemoryWatch {
 public:
  MemoryWatch(Record& record, Fleet& fleet, std::string entry, int memory_mb)
      : m_thread([this, &record, &fleet, entry = std::move(entry), memory_mb] {
          while (!m_stop) {
            const pid_t pid = fleet.PidOf(entry);
            const double used = pid > 0 ? MegabytesOf(pid) : 0;
            m_most = std::max(m_most.load(), used);
            if (used > memory_mb) {
              record.Line("the entry uses %.0f MB of %d MB: killed", used,
                          memory_mb);
              fleet.Kill(entry);
              ++m_kills;
              SleepMs(300);
              fleet.Start(entry, false);
            }
            SleepMs(10);
          }
        }) {}
  // A daemon that it started ends with its thread.
  ~MemoryWatch() {
    m_stop = true;
    m_thread.join();
  }
  double Most() const { return m_most; }
  int Kills() const { return m_kills; }

 private:
  std::atomic<bool> m_stop{false};
  std::atomic<double> m_most{0};
  std::atomic<int> m_kills{0};
  std::thread m_thread;
};

// Each sends one small unsafe request after the other, on a channel that it
// keeps. Counts the requests that a server ran and whose channel, which had
// carried requests before, closed without an answer.
class OrdinaryCallers {
 public:
  OrdinaryCallers(Record& record, Fleet& fleet, const std::string& entry,
                  int count)
      : m_record(record) {
    for (int i = 0; i < count; ++i)
      m_threads.emplace_back([this, &fleet, entry] { Run(fleet, entry); });
  }
  void Stop() {
    m_stop = true;
    for (std::thread& thread : m_threads) thread.join();
    m_threads.clear();
  }
  int Lost(const std::vector<Arrived>& runs) {
    int lost = 0;
    for (const Arrived& run : runs) {
      const std::string id = run.Header("x-request-id");
      if (std::find(m_unanswered.begin(), m_unanswered.end(), id) ==
          m_unanswered.end())
        continue;
      ++lost;
      m_record.Line("lost: %s ran, and its kept channel closed without an "
                    "answer", id.c_str());
    }
    return lost;
  }

 private:
  void Run(Fleet& fleet, const std::string& entry) {
    auto channel = std::make_unique<Channel>(entry, fleet.Front());
    bool kept = false;
    while (!m_stop) {
      const std::string id = RandomId();
      const bool sent = channel->Send(
          "POST /u/small HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id +
          "\r\nX-Deadline-Ms: 4000\r\nX-Api-Key: key-a\r\n"
          "Content-Length: 5\r\n\r\nsmall");
      m_record.Line("sent: POST /u/small id %s", id.c_str());
      const std::string answer = sent ? channel->ReadResponse(5000) : "";
      m_record.Line("answered: id %s: %s", id.c_str(),
                    StatusOf(answer).c_str());
      if (answer.empty()) {
        if (kept && sent) {
          m_record.Line("closed without an answer: %s", id.c_str());
          const std::lock_guard<std::mutex> lock(m_mutex);
          m_unanswered.push_back(id);
        }
        SleepMs(100);
      }
      kept = !answer.empty() && channel->IsOpen();
      if (!kept) channel = std::make_unique<Channel>(entry, fleet.Front());
    }
  }

  Record& m_record;
  std::atomic<bool> m_stop{false};
  std::vector<std::thread> m_threads;
  std::mutex m_mutex;
  std::vector<std::string> m_unanswered;
};

inline std::string HeadOf(const char* method, const std::string& path,
                          const std::string& id, size_t body) {
  return std::string(method) + " " + path +
         " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id +
         "\r\nX-Deadline-Ms: 8000\r\nX-Api-Key: key-a\r\nContent-Length: " +
         std::to_string(body) + "\r\n\r\n";
}

}  // namespace rig

#endif  // REVIEW_MEMORY_HPP_
