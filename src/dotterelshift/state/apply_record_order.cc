#include <algorithm>  // for find_if

#include "dotterelshift/state/apply.h"  // for Apply

namespace dotterelshift::state {

void Apply(Context& context, const wire::RecordOrderT& command,
           wire::CommandAnswerT& answer) {
  auto& orders = context.tables.orders;
  const auto order = std::find_if(
      orders.begin(), orders.end(),
      [&](const wire::OrderT& o) { return o.id == command.order; });
  const bool ended = order != orders.end() &&
                     order->state != wire::OrderState::Planned &&
                     order->state != wire::OrderState::Sent;
  // A late record never changes the final state of an order.
  if (order != orders.end() && !ended) {
    order->state = command.state;
    order->detail = command.detail;
  }
  Answer(answer, wire::DoneAnswerT());
}

}  // namespace dotterelshift::state
