#ifndef DOTTERELSHIFT_SRC_PEERS_DIAL_TARGET_H_
#define DOTTERELSHIFT_SRC_PEERS_DIAL_TARGET_H_

#include <cstdint>  // for uint32_t
#include <random>   // for mt19937_64
#include <string>   // for string
#include <vector>   // for vector

#include "dotterelshift/base/ids.h"          // for HostId
#include "dotterelshift/base/time.h"         // for Instant
#include "dotterelshift/peers/connection.h"  // for ConnectionPtr
#include "dotterelshift/peers/hub.h"         // for HubOptions

namespace dotterelshift::peers {

// An address to keep a connection to.
struct DialTarget {
  std::string address;
  HostId host;  // the host at this address; empty until known
  // Connection requests under way, or the one connection that was established.
  std::vector<ConnectionPtr> connections;
  Duration delay{};  // before the next dial, once the last one has failed
  Instant next{};
  uint32_t attempts = 0;  // since it was last up

  bool Holds(const ConnectionPtr& connection) const;
  // Forgets connections that have ended. The next dial is delayed once none is
  // left.
  void DropClosed(const HubOptions& options, std::mt19937_64& random,
                  Instant now);
  // Delays the next dial with jitter, and the one after it for twice as long.
  void Delay(const HubOptions& options, std::mt19937_64& random, Instant now);
  // Whether a connection request may be sent now: the first one after the
  // delay, or another one beside those that are unanswered.
  bool MayRequest(const HubOptions& options, Instant now) const;
};

}  // namespace dotterelshift::peers

#endif  // DOTTERELSHIFT_SRC_PEERS_DIAL_TARGET_H_
