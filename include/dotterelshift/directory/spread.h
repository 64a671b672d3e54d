#ifndef DOTTERELSHIFT_DIRECTORY_SPREAD_H_
#define DOTTERELSHIFT_DIRECTORY_SPREAD_H_

#include <cstdint>        // for uint64_t
#include <map>            // for map
#include <optional>       // for optional
#include <set>            // for set
#include <unordered_map>  // for unordered_map
#include <unordered_set>  // for unordered_set
#include <vector>         // for vector

#include "dotterelshift/base/ids.h"                   // for HostId
#include "dotterelshift/base/time.h"                  // for Instant
#include "dotterelshift/directory/directory.h"        // for Directory
#include "dotterelshift/directory/record_requests.h"  // for RecordRequests
#include "dotterelshift/wire/frames_generated.h"      // for DirectoryDeltaT

namespace dotterelshift::directory {

struct SpreadOptions {
  HostId self;
  size_t fan_out = 3;
  Duration round = 100ms;            // how often pending updates are sent
  Duration min_pulse_interval = 1s;  // between two load reports of an endpoint
  Duration digest_interval = 3s;     // how often neighbours compare digests
  // A request for records that is not answered for this long is sent to another
  // neighbour.
  Duration answer_timeout = 1s;
  // Bound on the traffic of all load reports, sent and received together. The
  // more endpoints there are, the less often each is reported.
  double pulse_bytes_per_second = 12'000;
};

// A delta for one neighbour.
struct Outgoing {
  HostId host;
  wire::DirectoryDeltaT delta;
};

// That an endpoint leaves or is silent, as received from another daemon.
struct ReceivedDeparture {
  EndpointId endpoint;
  HostId from;
  bool draining = false;
  bool gone = false;        // neither: silent
  uint32_t age_ms = 0;      // since the endpoint's last announcement
  bool by_request = false;  // in an answer, not in an update
};

// Identifies one incarnation of an endpoint in load reports: FNV-1a of id and
// incarnation.
uint64_t PulseKey(const EndpointId& endpoint, uint64_t incarnation);

// Disseminates the directory between daemons by gossip.
//
// A change of what an endpoint offers, or that it is draining, gone or silent,
// is sent as a full record in the next round, and each daemon that receives it
// forwards it to its neighbours. The load changes all the time; it is sent the
// same way as a small pulse, which also serves as keep-alive, at a rate bounded
// in bytes per second. The daemon that last received announcements from an
// endpoint detects its silence and sends that as an update; if its connection
// is lost, its neighbours do, once the endpoint has had the time to announce
// itself to another daemon. Neighbours compare digests of their records. A
// daemon that lacks records of a neighbour, or holds them in another state,
// requests these, naming the digests of all that it holds; RecordRequests
// decides when and from which neighbour. This repairs the effects of lost
// frames, partitions and changes of the roster.
class Spread {
 public:
  Spread(const SpreadOptions& options, Directory* directory);

  void OnPeerUp(const HostId& host, Instant now);
  void OnPeerDown(const HostId& host, Instant now);

  // An endpoint announced itself to this daemon.
  RecordUpdate OnAnnounced(const wire::EndpointRecordT& record, Instant now);
  // Sends the endpoint's record to all neighbours in the next round, which is
  // due now, and asks them to confirm that they hold its departure.
  void RequestConfirmation(const EndpointId& endpoint, Instant now);
  // Applies a delta of another daemon, except its cache events. Returns true
  // when something in it was new.
  bool OnDelta(const HostId& from, const wire::DirectoryDeltaT& delta,
               Instant now);

  // The departures that OnDelta() has received since the last call, for the
  // log.
  std::vector<ReceivedDeparture> TakeDepartures();

  // The confirmations that were requested with deltas since the last call, to
  // be sent now.
  std::vector<Outgoing> TakeConfirmations();

  // Returns what is to be sent now; also expires silent records.
  std::vector<Outgoing> OnTimer(Instant now);
  Instant NextTimer() const { return m_next_round; }

  // Whether this daemon has received all records of a peer since it was last
  // without any peer.
  bool IsSynced() const { return m_synced; }

  // The current interval between load reports of one endpoint.
  Duration PulseInterval() const;

 private:
  // An update of one endpoint to be forwarded to all neighbours but `from`.
  struct Pending {
    bool whole = false;    // send the full record, not only a pulse
    bool confirm = false;  // the receivers are to confirm the departure
    HostId from;
  };
  struct TrackedEndpoint {
    uint64_t key = 0;
    // When the newest announcement was made that other daemons have, too.
    Instant shared_news{};
    // Consecutive announcements to this daemon, with no newer update from
    // another daemon in between.
    uint32_t consecutive_announcements = 0;
    HostId heard_from;  // the daemon that sent the newest update
    // When the connection to that daemon ended, if it has ended since.
    std::optional<Instant> orphaned_at;
  };
  struct Peer {
    bool send_digest = false;  // in the next round, out of turn
    bool ask = false;          // request records from it in the next round
    bool asked_us = false;     // it requested records and is to be answered
    std::unordered_set<uint64_t> held;  // digests of the records it named
  };

  void ChooseNeighbours();
  bool IsNeighbour(const HostId& host) const;
  bool OnlyReceives() const { return m_options.fan_out == 0; }
  // Records that an update of the endpoint came from `from`.
  void Track(const EndpointId& endpoint, const HostId& from);
  void QueueUpdate(const EndpointId& endpoint, RecordUpdate update,
                   const HostId& from);
  bool ForwardsAllOf(const wire::DirectoryDeltaT& delta) const;
  void ApplyPulses(const HostId& from, const wire::DirectoryDeltaT& delta,
                   Instant now, bool* any_update);
  void ConfirmDepartures(const HostId& to, const wire::DirectoryDeltaT& delta);
  bool HasLeft(const EndpointId& endpoint) const;
  void AskIfDue(Instant now);
  void AnnounceSilence(Instant now);
  bool IsSilent(const TrackedEndpoint& tracked, const Endpoint& endpoint,
                Instant now) const;
  uint64_t Digest() const;
  void AddRequest(wire::DirectoryDeltaT* delta) const;
  void AddAnswer(const Peer& peer, wire::DirectoryDeltaT* delta,
                 Instant now) const;
  void AddPending(const HostId& host, wire::DirectoryDeltaT* delta,
                  Instant now) const;
  wire::DirectoryDeltaT DeltaFor(const HostId& host, const Peer& peer,
                                 bool digest_due, uint64_t digest,
                                 Instant now) const;

  SpreadOptions m_options;
  Directory* m_directory;
  std::set<HostId> m_roster;
  std::unordered_set<HostId> m_neighbours;
  std::map<HostId, Peer> m_peers;
  RecordRequests m_requests;
  std::unordered_map<EndpointId, TrackedEndpoint> m_known;
  std::unordered_map<uint64_t, EndpointId> m_by_key;
  std::map<EndpointId, Pending> m_pending;
  std::vector<ReceivedDeparture> m_departures;
  std::vector<Outgoing> m_confirmations;
  bool m_synced = false;
  Instant m_next_round{};
  Instant m_next_digest{};
};

}  // namespace dotterelshift::directory

#endif  // DOTTERELSHIFT_DIRECTORY_SPREAD_H_
