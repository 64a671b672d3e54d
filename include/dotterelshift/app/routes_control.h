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

// What a control daemon does for an adapter that speaks with a site's operator
// and its endpoints.
class RoutesControl {
 public:
  virtual ~RoutesControl() = default;

  // Whether this replica leads; only a leader can publish.
  virtual bool Leads() const = 0;
  // Has routes committed, unless a higher version is in force; calls back with
  // kNone once a majority holds them, and with kNotLeader or kNoQuorum when
  // this replica cannot tell.
  virtual void Publish(uint64_t version, std::string document,
                       std::map<TeamId, Tokens> totals,
                       std::function<void(ErrorKind)> callback) = 0;
  // The routes in force, read after a majority has confirmed that this replica
  // leads.
  virtual void Read(
      std::function<void(ErrorKind, std::string_view document)> callback) = 0;
  // Of the leader's HTTP interface, IP:port; empty while none is known.
  virtual std::string LeaderAddress() const = 0;

  // An endpoint told of itself.
  virtual void OnAnnounced(const wire::EndpointRecordT& record) = 0;
  // What is known of an endpoint; null when nothing is.
  virtual const wire::EndpointRecordT* FindEndpoint(
      const EndpointId& endpoint) const = 0;
};

// The side of an adapter that takes the HTTP requests of a control daemon.
class ControlAdapter {
 public:
  virtual ~ControlAdapter() = default;
  // False when the path is none of the adapter's.
  virtual bool Accept(const std::shared_ptr<http::Exchange>& exchange,
                      RoutesControl& control) = 0;
};

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_APP_ROUTES_CONTROL_H_
