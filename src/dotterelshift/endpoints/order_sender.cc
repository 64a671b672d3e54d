#include "dotterelshift/endpoints/order_sender.h"

#include <memory>             // for make_shared
#include <nlohmann/json.hpp>  // for json
#include <string_view>        // for string_view
#include <utility>            // for move

namespace dotterelshift::endpoints {
namespace {

using http::TransferEnd;
using wire::OrderState;

// Maximum number of bytes of the engine's response kept as detail.
constexpr size_t kMaxDetailBytes = 512;

std::string_view NameOf(wire::OrderKind kind) {
  switch (kind) {
    case wire::OrderKind::LoadModel:
      return "load_model";
    case wire::OrderKind::UnloadModel:
      return "unload_model";
    case wire::OrderKind::LoadAdapter:
      return "load_adapter";
    case wire::OrderKind::ChangeRole:
      break;
  }
  return "change_role";
}

std::string BodyOf(const wire::OrderT& order) {
  const nlohmann::json body = {{"id", order.id},
                               {"fencing", order.fencing},
                               {"kind", NameOf(order.kind)},
                               {"model", order.model},
                               {"version", order.version},
                               {"argument", order.argument}};
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

struct Answer {
  int status = 0;
  std::string detail;
};

// Once an order has been sent, only a complete response tells its outcome.
OrderState StateOf(const Answer& answer, TransferEnd end) {
  if (end == TransferEnd::kNotSent) return OrderState::Refused;
  if (end != TransferEnd::kWhole) return OrderState::Lost;
  if (answer.status >= 200 && answer.status < 300) return OrderState::Done;
  if (answer.status >= 400 && answer.status < 500) return OrderState::Refused;
  return OrderState::Lost;
}

std::string_view DetailOf(TransferEnd end) {
  switch (end) {
    case TransferEnd::kNotSent:
    case TransferEnd::kRelayFailed:
      return "no connection";
    case TransferEnd::kTimedOut:
      return "no answer in time";
    case TransferEnd::kFailedBeforeHead:
    case TransferEnd::kCut:
    case TransferEnd::kTooLarge:
      return "the connection broke";
    case TransferEnd::kWhole:
      break;
  }
  return "";
}

}  // namespace

void SendOrder(http::Client& client, const std::string& address,
               const wire::OrderT& order, Duration timeout,
               std::function<void(OrderState, std::string)> callback) {
  http::ClientRequest request;
  request.url = "http://" + address + "/endpoint/v1/orders";
  request.headers = {{"Content-Type", "application/json"}};
  request.body = BodyOf(order);
  request.total_timeout = timeout;
  auto answer = std::make_shared<Answer>();
  http::TransferCallbacks callbacks;
  callbacks.on_head = [answer](int status, const http::Headers&) {
    answer->status = status;
  };
  callbacks.on_chunk = [answer](std::string_view chunk) {
    answer->detail.append(
        chunk.substr(0, kMaxDetailBytes - answer->detail.size()));
    return true;
  };
  callbacks.on_end = [answer, callback = std::move(callback)](TransferEnd end) {
    const OrderState state = StateOf(*answer, end);
    callback(state, end == TransferEnd::kWhole ? answer->detail
                                               : std::string(DetailOf(end)));
  };
  client.Start(std::move(request), std::move(callbacks));
}

}  // namespace dotterelshift::endpoints
