#ifndef DOTTERELSHIFT_DIRECTORY_DIRECTORY_H_
#define DOTTERELSHIFT_DIRECTORY_DIRECTORY_H_

#include <cstdint>        // for uint32_t
#include <memory>         // for unique_ptr
#include <optional>       // for optional
#include <string>         // for string
#include <unordered_map>  // for unordered_map
#include <unordered_set>  // for unordered_set
#include <vector>         // for vector

#include "dotterelshift/base/ids.h"               // for EndpointId
#include "dotterelshift/base/time.h"              // for Instant
#include "dotterelshift/wire/frames_generated.h"  // for EndpointRecordT

namespace dotterelshift::directory {

struct DirectoryOptions {
  Duration silent_after = 3s;   // without news or own evidence: no new work
  Duration forget_after = 60s;  // a record that stayed silent is dropped, but
                                // its (incarnation, draining) is kept longer
  Duration tombstone = 600s;
  Duration dead_hold = 1s;  // own evidence of death outweighs news of others
};

// An endpoint as this daemon knows it.
struct Endpoint {
  wire::EndpointRecordT record;
  Instant last_news;      // newest announcement, minus its age on the way
  Instant last_evidence;  // own successful answer or probe
  Instant dead_until;     // a connection was refused: not used before this
  bool announced_here = false;  // it announces itself to this daemon alone
  bool usable = false;          // neither draining nor gone nor silent nor dead
};

// What a piece of news changed.
enum class RecordUpdate {
  kStale,  // nothing: late, crossed or doubled
  kLoad,   // its load, and that it lives
  kOffer,  // what it offers, or whether it may be used
};

// The load of an endpoint without the rest of its record.
struct LoadReport {
  uint64_t sequence = 0;
  uint32_t running = 0;
  uint32_t waiting = 0;
  uint32_t tokens_per_second = 0;
  uint32_t age_ms = 0;
};

// The endpoints that announced themselves, to this daemon or to another. Soft
// state: records are versioned by (incarnation, sequence); draining and gone
// are sticky for an incarnation, so late or crossed news never revives one.
class Directory {
 public:
  explicit Directory(const DirectoryOptions& options = {})
      : m_options(options) {}

  // RecordUpdate from an endpoint itself or from another daemon. True when it
  // is newer than what was known; it is then part of the next delta.
  bool OnRecord(const wire::EndpointRecordT& record, Instant now);
  // The same, telling what it changed.
  RecordUpdate Take(const wire::EndpointRecordT& record, Instant now);
  // A load report of a run that is known; kStale when it is not.
  RecordUpdate ApplyLoad(const EndpointId& endpoint, uint64_t incarnation,
                         const LoadReport& load, Instant now);
  // Whether the endpoint announces itself to this daemon alone, so that its
  // silence here is its silence.
  void SetAnnouncedHere(const EndpointId& endpoint, bool announced_here);
  // How long the silence of an endpoint that others hear is borne: not less
  // than the options say.
  void SetRemoteSilenceTimeout(Duration silence);
  // This daemon's own evidence: an answer came, or a connection was refused.
  void OnAlive(const EndpointId& endpoint, Instant now);
  void OnDead(const EndpointId& endpoint, uint64_t incarnation, Instant now);
  // Lets silent records lapse. True when the set of usable endpoints changed.
  bool OnTimer(Instant now);

  // What changed since the last call, to be spread; and everything, for a
  // daemon that has just come.
  wire::DirectoryDeltaT TakeDelta(Instant now);
  wire::DirectoryDeltaT AllRecords(Instant now) const;

  // The record with its age, as it is spread.
  wire::EndpointRecordT AgedRecord(const Endpoint& endpoint, Instant now) const;

  const Endpoint* Find(const EndpointId& endpoint) const;
  const std::unordered_map<EndpointId, Endpoint>& All() const {
    return m_endpoints;
  }
  // Changes whenever the set of usable endpoints, or what they serve, does.
  uint64_t Generation() const { return m_generation; }

 private:
  // What is kept of a forgotten record, so that late news cannot revive it.
  struct Tombstone {
    uint64_t incarnation = 0;
    uint64_t sequence = 0;
    bool draining = false;
    bool gone = false;
    Instant until;
  };
  // False when the record is older than what a tombstone remembers; else takes
  // over its sticky marks.
  bool CheckTombstone(wire::EndpointRecordT* record);
  bool IsUsable(const Endpoint& endpoint, Instant now) const;
  void UpdateUsable(Endpoint* endpoint, Instant now);
  RecordUpdate AddEndpoint(wire::EndpointRecordT record, Instant now);
  RecordUpdate MergeStickyFlags(Endpoint* endpoint,
                                const wire::EndpointRecordT& late, Instant now);
  Duration SilenceTimeoutOf(const Endpoint& endpoint) const;
  DirectoryOptions m_options;
  std::unordered_map<EndpointId, Endpoint> m_endpoints;
  std::unordered_map<EndpointId, Tombstone> m_tombstones;
  std::unordered_set<EndpointId> m_changed;
  Duration m_remote_silence_timeout = 0s;
  uint64_t m_generation = 1;
};

}  // namespace dotterelshift::directory

#endif  // DOTTERELSHIFT_DIRECTORY_DIRECTORY_H_
