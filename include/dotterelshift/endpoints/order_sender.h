#ifndef DOTTERELSHIFT_ENDPOINTS_ORDER_SENDER_H_
#define DOTTERELSHIFT_ENDPOINTS_ORDER_SENDER_H_

#include <functional>  // for function
#include <string>      // for string

#include "dotterelshift/http/client.h"              // for Client
#include "dotterelshift/wire/commands_generated.h"  // for OrderT

namespace dotterelshift::endpoints {

// Sends one order: POST /endpoint/v1/orders {"id", "fencing", "kind", "model",
// "version", "argument"}. The engine responds with 200 once it has executed the
// order, and with 409 if it knows a higher fencing number. The callback is
// called once: with Done, Refused, or Lost if the outcome is unknown.
void SendOrder(
    http::Client& client, const std::string& address, const wire::OrderT& order,
    Duration timeout,
    std::function<void(wire::OrderState, std::string detail)> callback);

}  // namespace dotterelshift::endpoints

#endif  // DOTTERELSHIFT_ENDPOINTS_ORDER_SENDER_H_
