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

struct TransportResponse {
  bool reached = false;  // the final response was received in full
  int status = 0;
  std::string body;
  std::string failure;  // why there is no response; empty if `reached`
};

// Sends an operator's request to a host and follows its redirects to the
// leader. Blocking: the command-line tool makes one request at a time.
class Transport {
 public:
  virtual ~Transport() = default;
  // `host` is IP:port. Failures are returned, not thrown.
  virtual TransportResponse Send(const std::string& host,
                                 const TransportRequest& request) = 0;
};

// Returns a transport over HTTP that uses libcurl. It also sends the operator
// key when it follows a 307 redirect.
std::unique_ptr<Transport> MakeTransport();

}  // namespace dotterelshift::ctl

#endif  // DOTTERELSHIFT_CTL_TRANSPORT_H_
