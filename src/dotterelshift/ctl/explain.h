#ifndef DOTTERELSHIFT_SRC_CTL_EXPLAIN_H_
#define DOTTERELSHIFT_SRC_CTL_EXPLAIN_H_

#include <iosfwd>  // for istream, ostream
#include <string>  // for string
#include <vector>  // for vector

namespace dotterelshift::ctl {

// One record of a daemon's log.
struct LogLine {
  std::string time;  // as logged; text order is time order
  std::string host;
  std::string event;
  std::string request;  // empty if the line is about the daemon
  std::string rest;     // the other fields, NAME=VALUE
};

// Collects the log lines of one request, and the lines that the hosts involved
// logged about themselves between its first and its last line. Lines that are
// not log records are skipped, as is text before a line's JSON object (such as
// a log collector's time stamp).
class RequestTrace {
 public:
  explicit RequestTrace(std::string request) : m_request(std::move(request)) {}

  void ReadLog(std::istream& log);
  // Whether any line belongs to the request.
  bool HasRequest() const;
  // The request's lines and, in between, those about the daemons that handled
  // it; ordered by time.
  std::vector<LogLine> Lines() const;

 private:
  const std::string m_request;
  std::vector<LogLine> m_lines;
};

}  // namespace dotterelshift::ctl

#endif  // DOTTERELSHIFT_SRC_CTL_EXPLAIN_H_
