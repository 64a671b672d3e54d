#ifndef DOTTERELSHIFT_ORIGINS_STREAM_ORIGINS_H_
#define DOTTERELSHIFT_ORIGINS_STREAM_ORIGINS_H_

#include <cstddef>        // for size_t
#include <cstdint>        // for uint64_t
#include <deque>          // for deque
#include <functional>     // for function
#include <string_view>    // for string_view
#include <unordered_map>  // for unordered_map
#include <utility>        // for exchange, pair
#include <vector>         // for vector

#include "dotterelshift/base/ids.h"                  // for HostId, TeamId
#include "dotterelshift/base/time.h"                 // for Instant
#include "dotterelshift/directory/directory.h"       // for Directory
#include "dotterelshift/origins/endpoint_contact.h"  // for EndpointContact
#include "dotterelshift/origins/restart_suspects.h"  // for RestartSuspects
#include "dotterelshift/origins/service_versions.h"  // for SoftwareKey
#include "dotterelshift/wire/frames_generated.h"     // for StreamOrigin

namespace dotterelshift::origins {

// Identifies a stream by its team and the caller's id of the request that got
// its first event, so that no caller can name a stream of another team.
using StreamKey = uint64_t;
StreamKey StreamKeyOf(const TeamId& team, std::string_view first_caller_id);

// What this entry knows of a stream's origin.
enum class OriginState : uint8_t {
  kKnown,
  kMissing,  // never heard of, or evicted
  kUnclear,  // two origins of the same stream differ, or its endpoint had
             // started again at another version by then
};

struct KnownOrigin {
  OriginState state = OriginState::kMissing;
  SoftwareKey software = 0;  // that wrote the stream's first event
  bool own = false;          // the stream began at this entry
  Duration age = 0s;
};

struct StreamOriginsOptions {
  // How long an origin is kept: longer than a caller tries to resume a stream.
  Duration max_age = 60s;
  // Bounds the memory; the oldest origins are evicted first.
  size_t max_count = 100'000;
  // How long a stream's endpoint may take to announce itself again.
  Duration max_unproven_age = 10s;
};

// The origins of the resumable streams of all entries in reach: the software of
// the endpoint that wrote the first event. An incarnation of an endpoint has
// one software for its life. Its id is checked by it; if it can start again
// under that id, a first event may be the next incarnation's until it has
// announced itself once more.
//
// Load pattern: entries and endpoints die or leave while thousands of streams
// are open, and callers resume these at any other entry, within milliseconds.
// What the first entry knew must be elsewhere by then. An origin is sent to the
// other entries together with the stream's first event, and all of them to an
// entry that starts or returns. All entries may die together, so that control
// holds copies.
class StreamOrigins {
 public:
  explicit StreamOrigins(const StreamOriginsOptions& options = {})
      : m_options(options) {}

  // A stream began at this entry.
  void OnBegun(StreamKey stream, SoftwareKey software, Instant now);
  // The same at this endpoint, as the directory describes it; its response
  // began at `begun`. If it is in doubt whether the endpoint had started again
  // before, the origin is not known until that is cleared.
  void OnBegun(StreamKey stream, const EndpointContact& endpoint, Instant begun,
               const RestartSuspects& restarts, Instant now);
  // Takes over announcements: the origin of a stream that may have begun at a
  // later incarnation with other software becomes unclear.
  void Update(const directory::Directory& directory,
              const RestartSuspects& restarts, Instant now);
  // Origins sent by another entry.
  void OnUpdates(const HostId& from,
                 const std::vector<wire::StreamOrigin>& updates, Instant now);
  // Another entry knows of two origins of the stream that differ.
  void OnUnclear(const HostId& from, StreamKey stream, Instant now);

  KnownOrigin Find(StreamKey stream, Instant now) const;
  size_t Size() const { return m_origins.size(); }
  // Streams of which something has become known since the last call.
  std::vector<StreamKey> TakeLearned() { return std::exchange(m_learned, {}); }

  // Own origins to send to the other entries since the last call.
  bool HasUpdates() const { return !m_unsent.empty(); }
  std::vector<wire::StreamOrigin> TakeUpdates() {
    return std::exchange(m_unsent, {});
  }
  // The same for control, which is not sent load updates.
  std::vector<wire::StreamOrigin> TakeUncopied() {
    return std::exchange(m_uncopied, {});
  }
  // Of the streams that began here.
  std::vector<wire::StreamOrigin> Own(Instant now) const;
  // What an entry needs whose connection has just been established: own
  // origins, and those of entries that can't send theirs, as they are not
  // connected.
  std::vector<wire::StreamOrigin> ForNewEntry(
      const std::function<bool(const HostId&)>& is_connected,
      Instant now) const;

 private:
  struct Entry {
    SoftwareKey software = 0;
    HostId from;  // the entry at which the stream began; empty: this one
    bool unclear = false;
    Instant since{};
  };

  // A stream whose endpoint has not announced itself since it began.
  struct Unproven {
    StreamKey stream = 0;
    EndpointContact endpoint;
    Instant begun{};
    bool known = false;  // its origin is taken as known
  };

  // Returns whether nothing more is to be learned of the stream's origin.
  bool Settle(const Unproven& unproven, const directory::Directory& directory,
              const RestartSuspects& restarts, Instant now);
  Entry& Merge(StreamKey stream, SoftwareKey software, const HostId& from,
               Instant now);
  bool IsLive(const Entry& entry, Instant now) const {
    return now - entry.since <= m_options.max_age;
  }
  void Evict(Instant now);

  const StreamOriginsOptions m_options;
  std::unordered_map<StreamKey, Entry> m_origins;
  std::deque<std::pair<Instant, StreamKey>> m_by_age;
  std::vector<Unproven> m_unproven;
  std::vector<wire::StreamOrigin> m_unsent;
  std::vector<wire::StreamOrigin> m_uncopied;
  std::vector<StreamKey> m_learned;
};

}  // namespace dotterelshift::origins

#endif  // DOTTERELSHIFT_ORIGINS_STREAM_ORIGINS_H_
