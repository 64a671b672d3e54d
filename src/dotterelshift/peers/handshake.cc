#include "dotterelshift/peers/handshake.h"

#include <sodium.h>  // for crypto_generichash

#include <string_view>  // for string_view
#include <utility>      // for move

namespace dotterelshift::peers {
namespace {

constexpr size_t kChallengeBytes = 32;
constexpr size_t kProofBytes = 32;

void HashText(crypto_generichash_state* state, std::string_view text) {
  const uint64_t length = text.size();
  crypto_generichash_update(
      state, reinterpret_cast<const unsigned char*>(&length), sizeof length);
  crypto_generichash_update(
      state, reinterpret_cast<const unsigned char*>(text.data()), text.size());
}

void HashHello(crypto_generichash_state* state, const wire::HelloT& hello) {
  HashText(state, hello.fleet);
  HashText(state, hello.host);
  HashText(state, std::to_string(hello.incarnation));
  HashText(state, std::to_string(static_cast<int>(hello.role)));
  HashText(state, hello.data_centre);
  HashText(state, hello.address);
  HashText(state, hello.http_address);
  HashText(state, {reinterpret_cast<const char*>(hello.challenge.data()),
                   hello.challenge.size()});
}

// The hash that proves to `verifier` that `prover` knows the secret.
std::vector<uint8_t> ProofOf(const std::string& secret,
                             const wire::HelloT& prover,
                             const wire::HelloT& verifier) {
  std::vector<uint8_t> key(crypto_generichash_KEYBYTES);
  crypto_generichash(key.data(), key.size(),
                     reinterpret_cast<const unsigned char*>(secret.data()),
                     secret.size(), nullptr, 0);
  crypto_generichash_state state;
  crypto_generichash_init(&state, key.data(), key.size(), kProofBytes);
  HashHello(&state, prover);
  HashHello(&state, verifier);
  std::vector<uint8_t> proof(kProofBytes);
  crypto_generichash_final(&state, proof.data(), proof.size());
  return proof;
}

}  // namespace

Handshake::Handshake(std::string fleet, std::string secret,
                     const PeerInfo& self)
    : m_secret(std::move(secret)) {
  m_hello.protocol = kProtocolVersion;
  m_hello.fleet = std::move(fleet);
  m_hello.host = self.run.host;
  m_hello.incarnation = self.run.incarnation;
  m_hello.role = self.role;
  m_hello.data_centre = self.data_centre;
  m_hello.address = self.address;
  m_hello.http_address = self.http_address;
  m_hello.challenge.resize(kChallengeBytes);
  randombytes_buf(m_hello.challenge.data(), m_hello.challenge.size());
}

bool Handshake::AcceptHello(const wire::HelloT& hello) {
  if (m_has_peer) return false;
  if (hello.protocol != kProtocolVersion || hello.fleet != m_hello.fleet)
    return false;
  if (hello.host.empty() || hello.host == m_hello.host) return false;
  if (hello.challenge.size() != kChallengeBytes) return false;
  m_peer = hello;
  m_has_peer = true;
  return true;
}

wire::HelloProofT Handshake::Proof() const {
  wire::HelloProofT proof;
  proof.proof = ProofOf(m_secret, m_hello, m_peer);
  return proof;
}

bool Handshake::Proves(const wire::HelloProofT& proof) const {
  const std::vector<uint8_t> expected = ProofOf(m_secret, m_peer, m_hello);
  return proof.proof.size() == expected.size() &&
         sodium_memcmp(proof.proof.data(), expected.data(), expected.size()) ==
             0;
}

PeerInfo Handshake::Peer() const {
  PeerInfo peer;
  peer.run = {m_peer.host, m_peer.incarnation};
  peer.role = m_peer.role;
  peer.data_centre = m_peer.data_centre;
  peer.address = m_peer.address;
  peer.http_address = m_peer.http_address;
  return peer;
}

}  // namespace dotterelshift::peers
