#include "dotterelshift/peers/dial_target.h"

#include <algorithm>  // for find, min

namespace dotterelshift::peers {

bool DialTarget::Holds(const ConnectionPtr& connection) const {
  return std::ranges::find(connections, connection) != connections.end();
}

void DialTarget::DropClosed(const HubOptions& options, std::mt19937_64& random,
                            Instant now) {
  const size_t ended = std::erase_if(
      connections,
      [](const ConnectionPtr& connection) { return connection->closed; });
  if (ended > 0 && connections.empty()) Delay(options, random, now);
}

void DialTarget::Delay(const HubOptions& options, std::mt19937_64& random,
                       Instant now) {
  std::uniform_real_distribution<double> jitter(0.5, 1.0);
  next = now + std::chrono::duration_cast<Duration>(delay * jitter(random));
  delay = std::min(delay * 2, options.max_reconnect_delay);
}

bool DialTarget::MayRequest(const HubOptions& options, Instant now) const {
  if (connections.empty()) return now >= next;
  const Connection& newest = *connections.back();
  return newest.IsConnecting() &&
         now - newest.opened >= options.connect_retry &&
         connections.size() < options.max_connect_requests;
}

}  // namespace dotterelshift::peers
