#ifndef DOTTERELSHIFT_QUARANTINE_SUSPECTS_H_
#define DOTTERELSHIFT_QUARANTINE_SUSPECTS_H_

#include <cstdint>        // for uint64_t
#include <unordered_map>  // for unordered_map
#include <vector>         // for vector

#include "dotterelshift/base/ids.h"   // for EndpointId
#include "dotterelshift/base/time.h"  // for Instant

namespace dotterelshift::quarantine {

struct SuspectOptions {
  // How long a suspect is kept after the last endpoint died running it.
  Duration retention = 600s;
  size_t max_suspects = 4096;  // above this the oldest is removed
};

// Contents whose attempts ended with the death of their endpoint, as seen by
// this entry. Only one copy of a suspect runs at a time, and never on an
// endpoint that already runs a suspect, so that the next death shows which
// content causes it.
class Suspects {
 public:
  explicit Suspects(const SuspectOptions& options = {}) : m_options(options) {}

  bool IsSuspect(uint64_t content_hash) const;

  // Whether an attempt may start now: a suspect may start only while no copy of
  // it runs.
  bool MayStart(uint64_t content_hash) const;
  // The endpoints that run a suspect; no other suspect may be sent to them.
  std::vector<EndpointId> Occupied() const;

  // Records that an attempt was sent to its endpoint. Returns true if its
  // content is a suspect, which occupies the endpoint.
  bool OnStarted(uint64_t content_hash, const EndpointId& endpoint);
  // Records that an attempt ended, for whatever reason; `alone` is the value
  // that OnStarted() returned.
  void OnEnded(uint64_t content_hash, const EndpointId& endpoint, bool alone);

  // Records that the endpoint died while running the content.
  void OnDeath(uint64_t content_hash, Instant now);
  // Records a complete response to the content. Returns true if that clears a
  // suspect.
  bool OnAnswered(uint64_t content_hash);

  void OnTimer(Instant now);
  size_t size() const { return m_suspects.size(); }

 private:
  void ForgetOldest();

  SuspectOptions m_options;
  std::unordered_map<uint64_t, Instant> m_suspects;  // time of the last death
  std::unordered_map<uint64_t, int> m_running;       // attempts by content
  std::unordered_map<EndpointId, int> m_occupied;    // suspects by endpoint
};

}  // namespace dotterelshift::quarantine

#endif  // DOTTERELSHIFT_QUARANTINE_SUSPECTS_H_
