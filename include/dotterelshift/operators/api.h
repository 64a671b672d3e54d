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

// What the operators' interface needs of the daemon that it runs in; a mock of
// it serves the contract tests.
class Backend {
 public:
  virtual ~Backend() = default;
  // Commits a command; kNone and its answer, or why it was not accepted.
  virtual void Propose(
      wire::CommandT command,
      std::function<void(ErrorKind, wire::CommandAnswerT)> callback) = 0;
  // Calls back with kNone when GetState() is current, by a quorum.
  virtual void ConfirmedRead(std::function<void(ErrorKind)> callback) = 0;
  virtual const state::State* GetState() const = 0;  // null on an entry
  virtual const directory::Directory* GetDirectory() const = 0;
  virtual std::vector<peers::PeerInfo> Peers() const = 0;
  // HTTP address of the leader, IP:port; empty when it is not known. Equal to
  // `SelfHttpAddress` when this one leads.
  virtual std::string LeaderHttpAddress() const = 0;
  virtual std::string SelfHttpAddress() const = 0;
  virtual std::string StatusText()
      const = 0;  // JSON of this daemon's own state: role, term, commit, lease,
                  // reach
  virtual WallMs WallNow() const = 0;
  virtual std::string NewPlanId() = 0;
};

struct ApiOptions {
  std::vector<settings::OperatorKey> keys;
  std::string fleet_secret;
};

// Serves /operator/v1/...: POST plan (body: YAML intent), POST confirm/ID, GET
// status, report, budget, endpoints, hosts, orders; bearer operator key.
// Answers are JSON. A daemon that does not lead answers 307 to the leader, or
// kNoQuorum.
class Api {
 public:
  virtual ~Api() = default;
  virtual void Accept(std::shared_ptr<http::Exchange> exchange) = 0;
};

std::unique_ptr<Api> MakeApi(const ApiOptions& options, Backend& backend);

}  // namespace dotterelshift::operators

#endif  // DOTTERELSHIFT_OPERATORS_API_H_
