#ifndef DOTTERELSHIFT_ENDPOINTS_ORDER_SENDER_H_
#define DOTTERELSHIFT_ENDPOINTS_ORDER_SENDER_H_

#include <functional>  // for function
#include <string>      // for string

#include "dotterelshift/http/client.h"              // for Client
#include "dotterelshift/wire/commands_generated.h"  // for OrderT

namespace dotterelshift::endpoints {

// Sends one order: POST /endpoint/v1/orders {"id", "fencing", "kind", "model",
// "version", "argument"}. The engine answers 200 when it has carried it out,
// 409 when it knows a higher fencing number. The callback comes once: Done,
// Refused, or Lost when nobody can tell.
void SendOrder(
    http::Client& client, const std::string& address, const wire::OrderT& order,
    Duration timeout,
    std::function<void(wire::OrderState, std::string detail)> callback);

}  // namespace dotterelshift::endpoints

#endif  // DOTTERELSHIFT_ENDPOINTS_ORDER_SENDER_H_
