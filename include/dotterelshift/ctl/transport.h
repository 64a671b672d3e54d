#ifndef DOTTERELSHIFT_CTL_TRANSPORT_H_
#define DOTTERELSHIFT_CTL_TRANSPORT_H_

#include <memory>  // for unique_ptr
#include <string>  // for string

namespace dotterelshift::ctl {

struct TransportRequest {
  std::string method = "GET";
  std::string path;  // with the query
  std::string body;
  std::string operator_key;
};

struct TransportAnswer {
  bool reached = false;  // an answer came back whole
  int status = 0;
  std::string body;
  std::string failure;  // why nothing came back
};

// Carries one request of an operator to a host and follows it to the leader.
// Blocking: the command-line tool does one thing at a time.
class Transport {
 public:
  virtual ~Transport() = default;
  // `host` is IP:port.
  virtual TransportAnswer Send(const std::string& host,
                               const TransportRequest& request) = 0;
};

// Over HTTP by libcurl. A 307 is followed with the key.
std::unique_ptr<Transport> MakeTransport();

}  // namespace dotterelshift::ctl

#endif  // DOTTERELSHIFT_CTL_TRANSPORT_H_
