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
  // Model loads at a time; the weight store's bandwidth is limited.
  int max_concurrent_loads = 2;
  // After this time a sent order can no longer arrive.
  Duration max_delivery_time = 10s;
  // Resend interval for endpoints that check fencing numbers. Orders for other
  // endpoints are resent after `max_delivery_time`.
  Duration resend_interval = 5s;
  // Longest lease that a previous leader may still hold.
  Duration lease = 3s;
  // After this many sends without a result the order is recorded as Lost.
  int max_sends = 20;
};

struct OrderAction {
  enum class Kind { kSend, kRecord } kind = Kind::kSend;
  wire::OrderT order;
  // For kSend: the address of the endpoint.
  std::string address;
  // For kRecord: the state to record.
  wire::OrderState state = wire::OrderState::Planned;
  std::string detail;
};

// Decides on the leader which committed orders to send and when. Limits the
// number of concurrent model loads, because the weight store has a limited
// bandwidth, and sends the orders of one endpoint one at a time.
//
// An endpoint that does not check fencing numbers cannot reject an order of a
// deposed leader. Orders are therefore sent to it only while the lease holds,
// and a new leader first waits until its predecessor's lease has expired and
// everything that the predecessor sent has been delivered or lost.
class OrderCore {
 public:
  virtual ~OrderCore() = default;
  virtual void OnLeadership(bool leads, Instant now) = 0;
  // The result of sending an order. Done and Refused end the order. Lost means
  // that no answer came, so the order may be sent again.
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
