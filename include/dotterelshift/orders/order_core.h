#ifndef DOTTERELSHIFT_ORDERS_ORDER_CORE_H_
#define DOTTERELSHIFT_ORDERS_ORDER_CORE_H_

#include <memory>    // for unique_ptr
#include <optional>  // for optional
#include <string>    // for string
#include <vector>    // for vector

#include "dotterelshift/base/time.h"                // for Instant
#include "dotterelshift/directory/directory.h"      // for Directory
#include "dotterelshift/state/state.h"              // for State
#include "dotterelshift/wire/commands_generated.h"  // for OrderT

namespace dotterelshift::orders {

struct OrderOptions {
  int loads_at_once = 2;  // what the weight store carries
  Duration longest_delivery =
      10s;  // after which an order on its way cannot arrive any more
  Duration resend = 5s;  // to an endpoint that checks fencing numbers
  Duration lease = 3s;  // longest lease that a predecessor may still believe in
  int max_sends = 20;   // then the order counts as lost
};

struct OrderAction {
  enum class Kind { kSend, kRecord } kind = Kind::kSend;
  wire::OrderT order;
  std::string address;                                 // kSend: the endpoint's
  wire::OrderState state = wire::OrderState::Planned;  // kRecord
  std::string detail;
};

// Decides on the leader which committed orders go out and when: staged under
// the weight store's rate; to an endpoint that does not check fencing numbers
// one at a time, only inside the lease, and after a new leader has waited out
// its predecessor's lease and the longest delivery.
class OrderCore {
 public:
  virtual ~OrderCore() = default;
  virtual void OnLeadership(bool leads, Instant now) = 0;
  // What the endpoint said: Done or Refused end the order; Lost means that no
  // answer came, and it may be sent again.
  virtual void OnResult(const std::string& order, wire::OrderState state,
                        const std::string& detail, Instant now) = 0;
  virtual std::vector<OrderAction> Decide(const state::State& state,
                                          const directory::Directory& directory,
                                          Instant lease_until, Instant now) = 0;
  virtual std::optional<Instant> NextDue() const = 0;
};

std::unique_ptr<OrderCore> MakeOrderCore(const OrderOptions& options = {});

}  // namespace dotterelshift::orders

#endif  // DOTTERELSHIFT_ORDERS_ORDER_CORE_H_
