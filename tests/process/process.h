#ifndef DOTTERELSHIFT_TESTS_PROCESS_PROCESS_H_
#define DOTTERELSHIFT_TESTS_PROCESS_PROCESS_H_

#include <sys/types.h>  // for pid_t

#include <string>  // for string
#include <vector>  // for vector

namespace dotterelshift::testing {

// A child process of a test. The destructor kills it and waits for it.
class Process {
 public:
  // Starts `arguments[0]`, with its standard output and standard error appended
  // to the log file. `variables` ("NAME=value") go before those of the
  // environment.
  Process(const std::vector<std::string>& arguments,
          const std::string& log_path,
          const std::vector<std::string>& variables = {});
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  pid_t Pid() const { return m_pid; }
  void Signal(int signal) const;
  // Whether the process has exited or was ended by a signal.
  bool Ended();
  // Waits for the process to end. Returns its exit status, or 128 + the signal
  // that ended it.
  int Wait();

 private:
  int Reap(int options);

  pid_t m_pid = -1;
  bool m_ended = false;
  int m_status = 0;
};

void WriteFile(const std::string& path, const std::string& text);
// Returns an empty string if the file cannot be opened.
std::string ReadFile(const std::string& path);

// Waits, using inotify, until the file exists and is not empty. Fails the test
// if `writer` ends first, or after 60 s without a change in the folder.
void AwaitFile(const std::string& folder, const std::string& name,
               Process& writer);

}  // namespace dotterelshift::testing

#endif  // DOTTERELSHIFT_TESTS_PROCESS_PROCESS_H_
