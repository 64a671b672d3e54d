#ifndef DOTTERELSHIFT_DIRECTORY_SPREAD_H_
#define DOTTERELSHIFT_DIRECTORY_SPREAD_H_

#include <cstdint>        // for uint64_t
#include <map>            // for map
#include <optional>       // for optional
#include <set>            // for set
#include <unordered_map>  // for unordered_map
#include <vector>         // for vector

#include "dotterelshift/base/ids.h"               // for HostId
#include "dotterelshift/base/time.h"              // for Instant
#include "dotterelshift/directory/directory.h"    // for Directory
#include "dotterelshift/wire/frames_generated.h"  // for DirectoryDeltaT

namespace dotterelshift::directory {

struct SpreadOptions {
  HostId self;
  size_t fan_out = 3;
  Duration round = 100ms;            // what has gathered is sent on this often
  Duration min_pulse_interval = 1s;  // between two load reports of one endpoint
  Duration digest_interval = 3s;     // records are compared with the neighbours
  Duration min_pull_interval =
      10s;  // at most one full transfer from one neighbour
  // What all load reports may cost this daemon, sent and received together;
  // with more endpoints each is reported less often.
  double pulse_bytes_per_second = 12'000;
};

// A delta for one neighbour.
struct Outgoing {
  HostId host;
  wire::DirectoryDeltaT delta;
};

// Names one run of an endpoint in load reports: FNV-1a of id and incarnation.
uint64_t PulseKey(const EndpointId& endpoint, uint64_t incarnation);

// What of the directory is sent to which daemons, and when.
//
// RecordUpdate of what an endpoint offers, that it drains, is gone or silent
// goes out in the next round as a whole record, and whoever learns it sends it
// on to its neighbours. The load, which changes all the time, goes the same
// ways as a small pulse, at a rate that keeps within a given number of bytes a
// second; so does the sign of life. Silence is noticed where an endpoint was
// last heard, and told as news. Neighbours compare digests of their records,
// and one that lacks something asks for everything: that heals lost frames,
// partitions and changes of the roster.
class Spread {
 public:
  Spread(const SpreadOptions& options, Directory* directory);

  void OnPeerUp(const HostId& host, Instant now);
  void OnPeerDown(const HostId& host, Instant now);

  // An endpoint announced itself to this daemon.
  RecordUpdate OnAnnounced(const wire::EndpointRecordT& record, Instant now);
  // A delta of another daemon. Its cache events are not looked at. True when
  // something in it was new.
  bool OnDelta(const HostId& from, const wire::DirectoryDeltaT& delta,
               Instant now);

  // What is to be sent now; also lets silent records lapse.
  std::vector<Outgoing> OnTimer(Instant now);
  Instant NextTimer() const { return m_next_round; }

  // How often one endpoint's load is spread at present.
  Duration PulseInterval() const;
  const std::vector<HostId>& Neighbours() const { return m_neighbours; }

 private:
  // What is to be sent on of one endpoint, and to whom not.
  struct Pending {
    bool whole = false;
    HostId from;
  };
  struct TrackedEndpoint {
    uint64_t key = 0;
    Instant last_pulse{};
    uint32_t consecutive_announcements =
        0;  // announcements here, none newer elsewhere
  };
  struct Neighbour {
    Instant pulled{};
    bool full_requested = false;  // it asked for everything
    bool request_full = false;    // it is to be asked for everything
    bool differed = false;        // at its last digest
  };

  void ChooseNeighbours();
  void QueueUpdate(const EndpointId& endpoint, RecordUpdate news,
                   const HostId& from, Instant now);
  void ApplyPulses(const HostId& from, const wire::DirectoryDeltaT& delta,
                   Instant now, bool* any_news);
  void CompareDigest(const HostId& from, uint64_t digest, Instant now);
  void AnnounceSilence(Instant now);
  uint64_t Digest() const;
  wire::DirectoryDeltaT DeltaFor(const HostId& host, bool with_digest,
                                 Instant now) const;

  SpreadOptions m_options;
  Directory* m_directory;
  std::set<HostId> m_roster;
  std::vector<HostId> m_neighbours;
  std::map<HostId, Neighbour> m_peers;
  std::unordered_map<EndpointId, TrackedEndpoint> m_known;
  std::unordered_map<uint64_t, EndpointId> m_by_key;
  std::map<EndpointId, Pending> m_pending;
  Instant m_next_round{};
  Instant m_next_digest{};
};

}  // namespace dotterelshift::directory

#endif  // DOTTERELSHIFT_DIRECTORY_SPREAD_H_
