#ifndef DOTTERELSHIFT_PEERS_HANDSHAKE_H_
#define DOTTERELSHIFT_PEERS_HANDSHAKE_H_

#include <cstdint>  // for uint8_t
#include <string>   // for string
#include <vector>   // for vector

#include "dotterelshift/peers/hub.h"              // for PeerInfo
#include "dotterelshift/wire/frames_generated.h"  // for HelloT

namespace dotterelshift::peers {

// The protocol version. A hello with another version is refused.
inline constexpr uint16_t kProtocolVersion = 1;

// One side of the handshake of a connection. Each side sends a hello with its
// own challenge, and responds to the other's challenge with a keyed hash over
// both hellos, which requires the secret of the fleet.
class Handshake {
 public:
  Handshake(std::string fleet, std::string secret, const PeerInfo& self);

  const wire::HelloT& Hello() const { return m_hello; }

  // Processes the hello of the other side. Returns false when one was processed
  // before, and for another protocol or fleet, a missing host name, our own
  // host name, or a challenge of the wrong size.
  bool AcceptHello(const wire::HelloT& hello);

  // The response to the other side's challenge. Requires AcceptHello().
  wire::HelloProofT Proof() const;

  // Verifies the proof of the other side. Requires AcceptHello().
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
