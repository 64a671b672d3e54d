#ifndef DOTTERELSHIFT_DIRECTORY_DIRECTORY_H_
#define DOTTERELSHIFT_DIRECTORY_DIRECTORY_H_

#include <cstdint>        // for uint32_t
#include <memory>         // for unique_ptr
#include <optional>       // for optional
#include <string>         // for string
#include <unordered_map>  // for unordered_map
#include <unordered_set>  // for unordered_set
#include <utility>        // for exchange
#include <vector>         // for vector

#include "dotterelshift/base/ids.h"               // for EndpointId
#include "dotterelshift/base/time.h"              // for Instant
#include "dotterelshift/wire/frames_generated.h"  // for EndpointRecordT

namespace dotterelshift::directory {

struct DirectoryOptions {
  Duration silent_after = 3s;  // without updates or local evidence: unusable
  // A record without updates or local evidence for this long is dropped. A
  // tombstone keeps its incarnation, sequence and sticky flags.
  Duration forget_after = 60s;
  Duration tombstone = 600s;  // how long a tombstone is kept
  Duration dead_hold = 1s;  // not used for this long after a refused connection
};

// What this daemon knows of an endpoint.
struct Endpoint {
  wire::EndpointRecordT record;
  Instant last_news;      // when the newest announcement was made
  Instant last_evidence;  // last response or probe that succeeded here
  Instant dead_until;     // not used before this: a connection was refused
  // Not used unless it has announced itself later than this: another endpoint
  // answered at its address, or announced it. The epoch: none did.
  Instant replaced_at{};
  bool announced_here = false;  // it announces itself only to this daemon
  bool usable = false;          // not draining, gone, silent or dead
};

// What an update of a record changed.
enum class RecordUpdate {
  kStale,  // nothing: late, reordered or duplicate
  kLoad,   // its load and the time it was last seen
  kOffer,  // what it offers, or its availability
};

// The load of an endpoint without the rest of its record.
struct LoadReport {
  uint64_t sequence = 0;
  uint32_t running = 0;
  uint32_t waiting = 0;
  uint32_t tokens_per_second = 0;
  uint32_t age_ms = 0;
};

// Two records of one incarnation that name different software.
struct Contradiction {
  EndpointId endpoint;
  std::string known_version;
  std::string version;
};

// The endpoints that announced themselves to this daemon or to another. Soft
// state: records are versioned by (incarnation, sequence). Draining and gone
// are sticky within an incarnation, so that late or reordered updates never
// revive an endpoint. An incarnation has one service and software version for
// its life: one that names another is marked as gone, since which of them
// answers cannot be told. An address has one endpoint: of two that announced
// the same one, the earlier has ended.
class Directory {
 public:
  explicit Directory(const DirectoryOptions& options = {})
      : m_options(options) {}

  // Applies an update from an endpoint or from another daemon. Returns true
  // when it changed the record, which is then part of the next delta.
  bool OnRecord(const wire::EndpointRecordT& record, Instant now);
  // Like OnRecord(), but returns what changed.
  RecordUpdate Take(const wire::EndpointRecordT& record, Instant now);
  // Applies a load report. Returns kStale when the incarnation is not the known
  // one or the report is not newer.
  RecordUpdate ApplyLoad(const EndpointId& endpoint, uint64_t incarnation,
                         const LoadReport& load, Instant now);
  // Sets whether the endpoint announces itself only to this daemon. If so, its
  // idle timeout is DirectoryOptions::silent_after, since no other daemon can
  // have newer updates about it.
  void SetAnnouncedHere(const EndpointId& endpoint, bool announced_here);
  // Sets the idle timeout of endpoints that announce themselves to other
  // daemons. DirectoryOptions::silent_after is the lower bound.
  void SetRemoteSilenceTimeout(Duration silence);
  // Local evidence: the endpoint responded, or refused a connection.
  void OnAlive(const EndpointId& endpoint, Instant now);
  void OnDead(const EndpointId& endpoint, uint64_t incarnation, Instant now);
  // Another endpoint answered at its address. Returns false if that is not new.
  bool OnReplaced(const EndpointId& endpoint, Instant now);
  // Expires silent records. Returns true when the set of usable endpoints
  // changed or a record was dropped.
  bool OnTimer(Instant now);

  // The records that changed since the last call, to be disseminated.
  wire::DirectoryDeltaT TakeDelta(Instant now);

  // Endpoints marked as gone since the last call, as they contradicted
  // themselves, for the log.
  std::vector<Contradiction> TakeContradictions() {
    return std::exchange(m_contradictions, {});
  }

  // The record with its current age, as it is sent to other daemons.
  wire::EndpointRecordT AgedRecord(const Endpoint& endpoint, Instant now) const;

  const Endpoint* Find(const EndpointId& endpoint) const;
  const std::unordered_map<EndpointId, Endpoint>& All() const {
    return m_endpoints;
  }
  // Whether so much time has passed since `last_news` that later announcements
  // were not missed by chance.
  bool IsOverdue(Instant last_news, Instant now) const {
    return now - last_news >= m_options.silent_after;
  }
  // Changes whenever the set of usable endpoints or what they serve changes.
  uint64_t Generation() const { return m_generation; }

 private:
  // The data kept about a dropped record, so that late updates cannot revive
  // it.
  struct Tombstone {
    uint64_t incarnation = 0;
    uint64_t sequence = 0;
    bool draining = false;
    bool gone = false;
    Instant until;
  };
  // Returns false when the record is not newer than its tombstone; otherwise
  // copies the sticky flags of the tombstone and removes it.
  bool CheckTombstone(wire::EndpointRecordT* record);
  // Of the added endpoint and each other one that announced its address, marks
  // the earlier as replaced.
  void CompareAddress(Endpoint* added, Instant now);
  bool IsUsable(const Endpoint& endpoint, Instant now) const;
  void UpdateUsable(Endpoint* endpoint, Instant now);
  // Marks the update as gone if it contradicts what is known of the same
  // incarnation.
  void CheckSoftware(const wire::EndpointRecordT& known,
                     wire::EndpointRecordT* update);
  RecordUpdate AddEndpoint(wire::EndpointRecordT record, Instant now);
  RecordUpdate MergeStickyFlags(Endpoint* endpoint,
                                const wire::EndpointRecordT& late, Instant now);
  Duration SilenceTimeoutOf(const Endpoint& endpoint) const;
  DirectoryOptions m_options;
  std::unordered_map<EndpointId, Endpoint> m_endpoints;
  std::unordered_map<EndpointId, Tombstone> m_tombstones;
  std::unordered_set<EndpointId> m_changed;
  std::vector<Contradiction> m_contradictions;
  Duration m_remote_silence_timeout = 0s;
  uint64_t m_generation = 1;
};

}  // namespace dotterelshift::directory

#endif  // DOTTERELSHIFT_DIRECTORY_DIRECTORY_H_
