#ifndef DOTTERELSHIFT_DIRECTORY_DEPARTURES_H_
#define DOTTERELSHIFT_DIRECTORY_DEPARTURES_H_

#include <cstddef>        // for size_t
#include <cstdint>        // for uint64_t
#include <functional>     // for function
#include <set>            // for set
#include <unordered_map>  // for unordered_map
#include <vector>         // for vector

#include "dotterelshift/base/error.h"             // for ErrorKind
#include "dotterelshift/base/ids.h"               // for HostId
#include "dotterelshift/base/time.h"              // for Instant
#include "dotterelshift/wire/frames_generated.h"  // for EndpointRecordT

namespace dotterelshift::directory {

// Whether the endpoint has announced that it leaves: it is draining or gone.
bool IsDeparture(const wire::EndpointRecordT& record);

// Identifies a departure in confirmations between daemons: a hash of the
// endpoint's id, its incarnation and whether it is gone.
uint64_t DepartureKey(const wire::EndpointRecordT& record);

struct DeparturesOptions {
  // A departure that too few daemons have confirmed by then is refused. Well
  // below the second after which an endpoint asks another daemon.
  Duration confirm_timeout = 500ms;
  // How long a confirmation is kept for repeated announcements of a departure.
  Duration remember = 60s;
};

// Decides when a daemon may acknowledge that an endpoint leaves.
//
// Load pattern: the endpoints of a service leave one after the other, and the
// daemon that acknowledges one of them may be lost at that moment. An endpoint
// does not repeat a departure that was acknowledged. So it is acknowledged only
// once enough other daemons have confirmed that they hold it; each of them
// sends it on to all others. Where too few are connected, or do not confirm in
// time, it is refused, so that the endpoint asks another daemon. A confirmation
// counts until the connection to that daemon ends, so that a departure that is
// announced again is acknowledged at once.
class Departures {
 public:
  // The decision: kNone to acknowledge, or kNoQuorum to refuse.
  struct Result {
    ErrorKind error = ErrorKind::kNone;
    size_t holders = 0;  // other daemons that hold the departure
    Duration waited{};
  };
  using Callback = std::function<void(const Result&)>;

  explicit Departures(const DeparturesOptions& options = {})
      : m_options(options) {}

  // A daemon that confirms departures was connected, or lost.
  void OnPeerUp(const HostId& host) { m_peers.insert(host); }
  void OnPeerDown(const HostId& host, Instant now);

  // Calls back once `needed` other daemons hold the departure, or when it is
  // refused; at once if that is known. Returns true if it waits, so that the
  // others are to be asked for confirmation.
  bool Await(uint64_t key, size_t needed, Instant now, Callback callback);
  // How many other daemons hold the departure, as far as this one knows.
  size_t HoldersOf(uint64_t key) const;
  // A daemon confirms that it holds these departures.
  void OnConfirmed(const HostId& from, const std::vector<uint64_t>& keys,
                   Instant now);
  // Refuses departures that were not confirmed in time, and forgets old
  // confirmations.
  void OnTimer(Instant now);

 private:
  struct Waiting {
    uint64_t key = 0;
    size_t needed = 0;
    Instant since;
    Callback callback;
  };
  struct Holders {
    std::set<HostId> hosts;
    Instant until;  // forgotten then
  };
  enum class Decision : uint8_t { kWait, kAcknowledge, kRefuse };

  Decision Decide(const Waiting& waiting, Instant now) const;
  // Ends the waiting departures that can be decided now.
  void Settle(Instant now);
  void Finish(const Waiting& waiting, Decision decision, Instant now) const;

  DeparturesOptions m_options;
  std::set<HostId> m_peers;
  std::unordered_map<uint64_t, Holders> m_holders;
  std::vector<Waiting> m_waiting;
};

}  // namespace dotterelshift::directory

#endif  // DOTTERELSHIFT_DIRECTORY_DEPARTURES_H_
