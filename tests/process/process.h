#ifndef DOTTERELSHIFT_TESTS_PROCESS_PROCESS_H_
#define DOTTERELSHIFT_TESTS_PROCESS_PROCESS_H_

#include <sys/types.h>  // for pid_t

#include <string>  // for string
#include <vector>  // for vector

namespace dotterelshift::testing {

// A child process of a test. Killed and waited for at the end of its scope.
class Process {
 public:
  // Starts `arguments[0]`; what it writes goes to the end of the log file.
  Process(const std::vector<std::string>& arguments,
          const std::string& log_path);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  pid_t Pid() const { return m_pid; }
  void Signal(int signal) const;
  // Whether it has ended by itself or by a signal.
  bool Ended();
  // Waits for the end; the exit status, or 128 + the signal that ended it.
  int Wait();

 private:
  int Reap(int options);

  pid_t m_pid = -1;
  bool m_ended = false;
  int m_status = 0;
};

void WriteFile(const std::string& path, const std::string& text);
// Empty when it is not there.
std::string ReadFile(const std::string& path);

// Waits until the file is there and not empty; watched, not polled.
void AwaitFile(const std::string& folder, const std::string& name,
               Process& writer);

}  // namespace dotterelshift::testing

#endif  // DOTTERELSHIFT_TESTS_PROCESS_PROCESS_H_
