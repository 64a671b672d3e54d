#ifndef DOTTERELSHIFT_PEERS_HANDSHAKE_H_
#define DOTTERELSHIFT_PEERS_HANDSHAKE_H_

#include <cstdint>  // for uint8_t
#include <string>   // for string
#include <vector>   // for vector

#include "dotterelshift/peers/hub.h"              // for PeerInfo
#include "dotterelshift/wire/frames_generated.h"  // for HelloT

namespace dotterelshift::peers {

// The version of the frames. A daemon refuses a hello with another one.
inline constexpr uint16_t kProtocolVersion = 1;

// One side of the handshake of one connection: each side says hello with a
// challenge of its own, and answers the other's challenge with a keyed hash
// over both hellos, which only a holder of the fleet's secret can make.
class Handshake {
 public:
  Handshake(std::string fleet, std::string secret, const PeerInfo& self);

  const wire::HelloT& Hello() const { return m_hello; }

  // Takes the other side's hello. False: another protocol, another fleet, or
  // ourselves.
  bool AcceptHello(const wire::HelloT& hello);

  // What answers the other side's challenge; only after AcceptHello().
  wire::HelloProofT Proof() const;

  // Whether the other side's proof is right; only after AcceptHello().
  bool Proves(const wire::HelloProofT& proof) const;

  bool HasPeer() const { return m_has_peer; }
  PeerInfo Peer() const;

 private:
  std::string m_secret;
  wire::HelloT m_hello;
  wire::HelloT m_peer;
  bool m_has_peer = false;
};

}  // namespace dotterelshift::peers

#endif  // DOTTERELSHIFT_PEERS_HANDSHAKE_H_
