#ifndef DOTTERELSHIFT_QUARANTINE_SUSPECTS_H_
#define DOTTERELSHIFT_QUARANTINE_SUSPECTS_H_

#include <cstdint>        // for uint64_t
#include <unordered_map>  // for unordered_map
#include <vector>         // for vector

#include "dotterelshift/base/ids.h"   // for EndpointId
#include "dotterelshift/base/time.h"  // for Instant

namespace dotterelshift::quarantine {

struct SuspectOptions {
  Duration memory = 600s;      // a suspect that did nothing more is forgotten
  size_t max_suspects = 4096;  // above it the oldest is forgotten
};

// The contents whose attempts ended with their endpoint's death, as this entry
// saw it. A suspect runs on one endpoint at a time and never beside another
// suspect, so that the next death tells the guilty one from the innocent.
class Suspects {
 public:
  explicit Suspects(const SuspectOptions& options = {}) : m_options(options) {}

  bool IsSuspect(uint64_t content_hash) const;

  // Whether an attempt may start now: a suspect only while no copy of it runs.
  bool MayStart(uint64_t content_hash) const;
  // The endpoints on which suspects run, where no other suspect may go.
  std::vector<EndpointId> Occupied() const;

  // An attempt goes to its endpoint. True when it is a suspect, which runs
  // alone.
  bool OnStarted(uint64_t content_hash, const EndpointId& endpoint);
  // An attempt ended in any way; `alone` is what OnStarted() said.
  void OnEnded(uint64_t content_hash, const EndpointId& endpoint, bool alone);

  // The endpoint died under the content.
  void OnDeath(uint64_t content_hash, Instant now);
  // The content was answered whole. True when that clears a suspect.
  bool OnAnswered(uint64_t content_hash);

  void OnTimer(Instant now);
  size_t size() const { return m_suspects.size(); }

 private:
  void ForgetOldest();

  SuspectOptions m_options;
  std::unordered_map<uint64_t, Instant> m_suspects;  // latest death
  std::unordered_map<uint64_t, int> m_running;       // attempts by content
  std::unordered_map<EndpointId, int> m_occupied;    // suspects by endpoint
};

}  // namespace dotterelshift::quarantine

#endif  // DOTTERELSHIFT_QUARANTINE_SUSPECTS_H_
