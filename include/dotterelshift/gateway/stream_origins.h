#ifndef DOTTERELSHIFT_GATEWAY_STREAM_ORIGINS_H_
#define DOTTERELSHIFT_GATEWAY_STREAM_ORIGINS_H_

#include <cstddef>        // for size_t
#include <cstdint>        // for uint64_t
#include <deque>          // for deque
#include <functional>     // for function
#include <string>         // for string
#include <string_view>    // for string_view
#include <unordered_map>  // for unordered_map
#include <utility>        // for exchange, pair
#include <vector>         // for vector

#include "dotterelshift/base/ids.h"               // for HostId, TeamId
#include "dotterelshift/base/time.h"              // for Instant
#include "dotterelshift/gateway/endpoint_runs.h"  // for EndpointRuns
#include "dotterelshift/wire/frames_generated.h"  // for ProvenOrigin

namespace dotterelshift::gateway {

// Identifies a stream by its team and the caller's id of the request that got
// its first event, so that no caller can name a stream of another team.
using StreamKey = uint64_t;
StreamKey StreamKeyOf(const TeamId& team, std::string_view first_caller_id);

// Which software wrote a stream's first event.
struct StreamOrigin {
  SoftwareKey software = 0;  // as far as known; see `proven`
  bool proven = false;
  // Evidence from which it can be proven later.
  EndpointIdKey endpoint = 0;
  ConnectionLife life;
};

// Tries to prove which software wrote the stream's first event. Sets it if that
// is proven.
RunProof Prove(StreamOrigin& origin, const EndpointRuns& runs);

// What this entry knows of a stream's origin.
enum class OriginState : uint8_t {
  kKnown,    // `origin` holds; it may still have to be proven
  kMissing,  // never heard of, or evicted
  kUnclear,  // two origins of the same stream differ, or it can't be proven
};

struct KnownOrigin {
  OriginState state = OriginState::kMissing;
  StreamOrigin origin;
  bool contradicted = false;  // two origins of the stream differ
  bool own = false;           // the stream began at this entry
  Duration age = 0s;
};

// Origins on their way to another entry.
struct OriginUpdates {
  std::vector<wire::ProvenOrigin> proven;
  std::vector<wire::PendingOrigin> pending;

  size_t Count() const { return proven.size() + pending.size(); }
};

struct StreamOriginsOptions {
  // How long an origin is kept: longer than a caller tries to resume a stream.
  Duration max_age = 60s;
  // Bounds the memory; the oldest origins are evicted first.
  size_t max_count = 100'000;
};

// The origins of the resumable streams of all entries in reach.
//
// Load pattern: entries and endpoints die or leave while thousands of streams
// are open, and callers resume these at any other entry, within milliseconds.
// What the first entry knew must be elsewhere by then. An origin is sent to the
// other entries together with the stream's first event, and all of them to an
// entry that starts or returns.
class StreamOrigins {
 public:
  // `runs` must outlive this object.
  explicit StreamOrigins(const EndpointRuns& runs,
                         const StreamOriginsOptions& options = {})
      : m_runs(runs), m_options(options) {}

  // A stream began at this entry, or its origin is known better now.
  void OnBegun(StreamKey stream, const StreamOrigin& origin, Instant now);
  // Origins sent by another entry.
  void OnUpdates(const HostId& from, const OriginUpdates& updates, Instant now);
  // Another entry knows of two origins of the stream that differ.
  void OnUnclear(const HostId& from, StreamKey stream, Instant now);

  KnownOrigin Find(StreamKey stream, Instant now) const;
  size_t Size() const { return m_origins.size(); }
  // Streams of which something has become known since the last call.
  std::vector<StreamKey> TakeLearned() { return std::exchange(m_learned, {}); }
  // Adds what is known of the stream. Returns false if nothing is.
  bool AddKnown(StreamKey stream, OriginUpdates& updates, Instant now) const;

  // Own origins to send to the other entries since the last call.
  bool HasUpdates() const { return !m_unsent.empty(); }
  OriginUpdates TakeUpdates(Instant now);
  // What an entry needs whose connection has just been established: own
  // origins, and those of entries that can't send theirs, as they are not
  // connected.
  OriginUpdates ForNewEntry(
      const std::function<bool(const HostId&)>& is_connected,
      Instant now) const;

 private:
  struct Entry {
    StreamOrigin origin;
    HostId from;  // the entry at which the stream began; empty: this one
    bool unclear = false;
    Instant since{};
  };

  void Merge(StreamKey stream, const StreamOrigin& origin, const HostId& from,
             Instant now);
  void Evict(Instant now);
  void AddTo(OriginUpdates& updates, StreamKey stream, const Entry& entry,
             Instant now) const;

  const EndpointRuns& m_runs;
  const StreamOriginsOptions m_options;
  std::unordered_map<StreamKey, Entry> m_origins;
  std::deque<std::pair<Instant, StreamKey>> m_by_age;
  std::vector<StreamKey> m_unsent;
  std::vector<StreamKey> m_learned;
};

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_GATEWAY_STREAM_ORIGINS_H_
