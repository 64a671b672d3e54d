#ifndef DOTTERELSHIFT_SRC_CTL_EXPLAIN_H_
#define DOTTERELSHIFT_SRC_CTL_EXPLAIN_H_

#include <iosfwd>  // for istream, ostream
#include <string>  // for string
#include <vector>  // for vector

namespace dotterelshift::ctl {

// One line of a daemon's log.
struct LogLine {
  std::string time;  // as it was written; sorts by time
  std::string host;
  std::string event;
  std::string request;  // empty: of the daemon itself
  std::string rest;     // the other fields, NAME=VALUE
};

// Collects the lines of logs that tell of one request, and what its hosts
// believed while it lived. Lines that are none of ours are passed over; text
// before a line's JSON object (a collector's own stamp) is, too.
class RequestStory {
 public:
  explicit RequestStory(std::string request) : m_request(std::move(request)) {}

  void ReadLog(std::istream& log);
  // False when no line told of the request.
  bool Found() const;
  // The request's lines in order, and between them those of the daemons that
  // took part.
  std::vector<LogLine> Lines() const;

 private:
  const std::string m_request;
  std::vector<LogLine> m_lines;
};

}  // namespace dotterelshift::ctl

#endif  // DOTTERELSHIFT_SRC_CTL_EXPLAIN_H_
