#ifndef DOTTERELSHIFT_OPERATORS_API_H_
#define DOTTERELSHIFT_OPERATORS_API_H_

#include <functional>  // for function
#include <memory>      // for shared_ptr
#include <optional>    // for optional
#include <string>      // for string
#include <vector>      // for vector

#include "dotterelshift/base/error.h"           // for ErrorKind
#include "dotterelshift/directory/directory.h"  // for Directory
#include "dotterelshift/http/server.h"          // for Exchange
#include "dotterelshift/peers/hub.h"            // for PeerInfo
#include "dotterelshift/settings/settings.h"    // for OperatorKey
#include "dotterelshift/state/state.h"          // for State

namespace dotterelshift::operators {

// What the operator API needs of the daemon that it runs in. Contract tests use
// a mock.
class Backend {
 public:
  virtual ~Backend() = default;
  // Commits a command. Calls back with kNone and the answer, or with the error
  // because of which it was not accepted.
  virtual void Propose(
      wire::CommandT command,
      std::function<void(ErrorKind, wire::CommandAnswerT)> callback) = 0;
  // Calls back with kNone once a quorum has confirmed that GetState() is
  // current, or with an error.
  virtual void ConfirmedRead(std::function<void(ErrorKind)> callback) = 0;
  virtual const state::State* GetState() const = 0;  // null on an entry
  virtual const directory::Directory* GetDirectory() const = 0;
  virtual std::vector<peers::PeerInfo> Peers() const = 0;
  // HTTP address of the leader, IP:port; empty when the leader is unknown.
  // Equal to SelfHttpAddress() when this daemon leads.
  virtual std::string LeaderHttpAddress() const = 0;
  virtual std::string SelfHttpAddress() const = 0;
  // This daemon's own state as JSON: role, term, commit, lease, reach.
  virtual std::string StatusText() const = 0;
  virtual WallMs WallNow() const = 0;
  virtual std::string NewPlanId() = 0;
};

struct ApiOptions {
  std::vector<settings::OperatorKey> keys;
  std::string fleet_secret;
};

// Serves /operator/v1/: POST plan (body: YAML intent), POST confirm/ID, and GET
// status, report, budget, endpoints, hosts, orders. Requests carry an operator
// key as bearer token; responses are JSON. A daemon that does not lead
// redirects to the leader with 307, or returns kNoQuorum when the leader is
// unknown.
class Api {
 public:
  virtual ~Api() = default;
  virtual void Accept(std::shared_ptr<http::Exchange> exchange) = 0;
};

std::unique_ptr<Api> MakeApi(const ApiOptions& options, Backend& backend);

}  // namespace dotterelshift::operators

#endif  // DOTTERELSHIFT_OPERATORS_API_H_
