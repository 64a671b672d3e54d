#include "process/process.h"

#include <cppunit/TestAssert.h>  // for CPPUNIT_ASSERT
#include <fcntl.h>               // for O_WRONLY
#include <poll.h>                // for poll
#include <spawn.h>               // for posix_spawn
#include <sys/inotify.h>         // for inotify_init1
#include <sys/wait.h>            // for waitpid
#include <unistd.h>              // for close

#include <csignal>  // for SIGKILL
#include <fstream>  // for ifstream
#include <sstream>  // for ostringstream

namespace dotterelshift::testing {
namespace {

constexpr int kSignalStatus = 128;
constexpr int kGuardMs = 60'000;
// How often to check that the writer still runs while the folder is unchanged.
constexpr int kPollMs = 200;

// The texts as C strings, followed by those of `more`, which ends with null, if
// there are any, and by null.
std::vector<char*> PointersTo(const std::vector<std::string>& texts,
                              char** more = nullptr) {
  std::vector<char*> pointers;
  pointers.reserve(texts.size() + 1);
  for (const std::string& text : texts)
    pointers.push_back(const_cast<char*>(text.c_str()));
  for (; more != nullptr && *more != nullptr; ++more) pointers.push_back(*more);
  pointers.push_back(nullptr);
  return pointers;
}

}  // namespace

Process::Process(const std::vector<std::string>& arguments,
                 const std::string& log_path,
                 const std::vector<std::string>& variables) {
  std::vector<char*> argv = PointersTo(arguments);
  std::vector<char*> environment = PointersTo(variables, environ);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  constexpr int kFlags = O_WRONLY | O_CREAT | O_APPEND;
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_path.c_str(),
                                   kFlags, 0600);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  const int result = posix_spawn(&m_pid, argv[0], &actions, nullptr,
                                 argv.data(), environment.data());
  posix_spawn_file_actions_destroy(&actions);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(arguments[0], 0, result);
}

Process::~Process() {
  if (m_ended) return;
  Signal(SIGCONT);
  Signal(SIGKILL);
  Wait();
}

void Process::Signal(int signal) const {
  if (!m_ended) kill(m_pid, signal);
}

int Process::Reap(int options) {
  if (m_ended) return m_status;
  int status = 0;
  if (waitpid(m_pid, &status, options) == m_pid) {
    m_ended = true;
    m_status = WIFEXITED(status) ? WEXITSTATUS(status)
                                 : kSignalStatus + WTERMSIG(status);
  }
  return m_status;
}

bool Process::Ended() {
  Reap(WNOHANG);
  return m_ended;
}

int Process::Wait() { return Reap(0); }

void WriteFile(const std::string& path, const std::string& text) {
  std::ofstream file(path, std::ios::trunc);
  file << text;
  file.close();
  CPPUNIT_ASSERT_MESSAGE(path, file.good());
}

std::string ReadFile(const std::string& path) {
  const std::ifstream file(path);
  std::ostringstream text;
  if (file) text << file.rdbuf();
  return text.str();
}

void AwaitFile(const std::string& folder, const std::string& name,
               Process& writer) {
  const int watch = inotify_init1(IN_CLOEXEC | IN_NONBLOCK);
  inotify_add_watch(watch, folder.c_str(), IN_MOVED_TO | IN_CLOSE_WRITE);
  const std::string path = folder + "/" + name;
  int waited = 0;
  while (ReadFile(path).empty() && !writer.Ended() && waited < kGuardMs) {
    pollfd ready{watch, POLLIN, 0};
    if (poll(&ready, 1, kPollMs) == 0) waited += kPollMs;
    char events[4096];
    while (read(watch, events, sizeof events) > 0) continue;
  }
  close(watch);
  CPPUNIT_ASSERT_MESSAGE(name + " was not written", !ReadFile(path).empty());
}

}  // namespace dotterelshift::testing
