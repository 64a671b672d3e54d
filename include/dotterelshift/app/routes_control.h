#ifndef DOTTERELSHIFT_APP_ROUTES_CONTROL_H_
#define DOTTERELSHIFT_APP_ROUTES_CONTROL_H_

#include <cstdint>      // for uint64_t
#include <functional>   // for function
#include <map>          // for map
#include <memory>       // for shared_ptr
#include <string>       // for string
#include <string_view>  // for string_view

#include "dotterelshift/base/error.h"             // for ErrorKind
#include "dotterelshift/base/ids.h"               // for EndpointId
#include "dotterelshift/base/tokens.h"            // for Tokens
#include "dotterelshift/http/server.h"            // for Exchange
#include "dotterelshift/wire/frames_generated.h"  // for EndpointRecordT

namespace dotterelshift::app {

// Services of a control daemon for an adapter that communicates with a site's
// operator and its endpoints.
class RoutesControl {
 public:
  virtual ~RoutesControl() = default;

  // Whether this replica leads; only a leader can publish.
  virtual bool Leads() const = 0;
  // Commits routes unless a higher version is in force. Calls back with kNone
  // once a majority has stored them, and with kNotLeader or kNoQuorum when this
  // replica cannot determine the outcome.
  virtual void Publish(uint64_t version, std::string document,
                       std::map<TeamId, Tokens> totals,
                       std::function<void(ErrorKind)> callback) = 0;
  // Reads the routes in force, after a majority has confirmed that this replica
  // is the leader.
  virtual void Read(
      std::function<void(ErrorKind, std::string_view document)> callback) = 0;
  // Address of the leader's HTTP interface as "IP:port"; empty while no leader
  // is known.
  virtual std::string LeaderAddress() const = 0;

  // Takes an endpoint's announcement of itself. Calls back with kNone when it
  // may be acknowledged: once a majority of control holds it if the endpoint
  // leaves, else at once. Calls back with kNoQuorum if too few could be told
  // that it leaves.
  virtual void OnAnnounced(const wire::EndpointRecordT& record,
                           std::function<void(ErrorKind)> callback) = 0;
  // Returns the record of an endpoint, or null if the endpoint is unknown.
  virtual const wire::EndpointRecordT* FindEndpoint(
      const EndpointId& endpoint) const = 0;
};

// The part of an adapter that handles HTTP requests to a control daemon.
class ControlAdapter {
 public:
  virtual ~ControlAdapter() = default;
  // Returns false if the adapter does not handle the path of the request.
  virtual bool Accept(const std::shared_ptr<http::Exchange>& exchange,
                      RoutesControl& control) = 0;
};

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_APP_ROUTES_CONTROL_H_
