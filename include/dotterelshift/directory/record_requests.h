#ifndef DOTTERELSHIFT_DIRECTORY_RECORD_REQUESTS_H_
#define DOTTERELSHIFT_DIRECTORY_RECORD_REQUESTS_H_

#include <cstdint>   // for uint64_t
#include <map>       // for map
#include <optional>  // for optional

#include "dotterelshift/base/ids.h"   // for HostId
#include "dotterelshift/base/time.h"  // for Instant

namespace dotterelshift::directory {

// The digest of a directory without records.
constexpr uint64_t kNoRecordsDigest = 1;

// Decides when a daemon requests the records of which peer, from the digests
// that peers send.
//
// Load pattern: one daemon, or all of them, return from a partition over links
// that callers fill at the same time, and each of several peers could send all
// that changed meanwhile. A peer that has just connected is compared by its
// first digest, since updates sent before the connection were missed for
// certain, unless this daemon only receives and most other peers agree with it:
// then the peer is the one that missed updates, and all that only receive would
// ask it at once. Later digests also differ because of updates in transit, so
// only the second differing one in a row counts. One peer is asked at a time;
// the others are asked only if their digests still differ after its answer. A
// peer that has answered is not asked again until its digest changes, so that
// records that only this daemon holds cause no further requests. Where other
// records change meanwhile, requests because of later digests are also limited
// in rate: a connection loses no updates, so they are rarely needed.
class RecordRequests {
 public:
  // A request is abandoned after `answer_timeout`; another peer may be asked
  // then. `self` spreads the requests of a fleet over its peers.
  // `only_receives`: no other daemon learns anything from this one.
  RecordRequests(HostId self, Duration answer_timeout, bool only_receives);

  // A connection to the peer was established. With `ask_now` it is asked before
  // its first digest arrives.
  void OnPeerUp(const HostId& host, bool ask_now);
  void OnPeerDown(const HostId& host);
  // A digest arrived; `own` is this daemon's.
  void OnDigest(const HostId& host, uint64_t digest, uint64_t own);
  // An answer with the peer's digest arrived; its records are applied.
  void OnAnswer(const HostId& host, uint64_t digest);

  // Whether Next() may return a peer at this time.
  bool MayAsk(Instant now) const;
  // The peer to ask now, if any. It counts as asked from `now` on.
  std::optional<HostId> Next(uint64_t own, Instant now);

 private:
  struct Peer {
    uint64_t digest = 0;    // last received on this connection; 0 if none
    uint64_t answered = 0;  // at its last answer; 0 if none
    bool differed = false;  // the last digest differed
    bool due = false;       // is to be asked
    bool lasting = false;   // due only because later digests differed

    bool IsCompared() const { return digest != 0; }
  };

  bool IsAskable(const Peer& peer, Instant now) const;
  void AbandonOverdue(Instant now);
  bool MostOthersAgree(const HostId& host) const;
  uint64_t Rank(const HostId& host) const;

  HostId m_self;
  Duration m_answer_timeout;
  bool m_only_receives;
  std::map<HostId, Peer> m_peers;
  HostId m_asked;  // empty: no request awaits its answer
  Instant m_asked_at{};
  Instant m_next_lasting{};  // earliest request because of later digests
};

}  // namespace dotterelshift::directory

#endif  // DOTTERELSHIFT_DIRECTORY_RECORD_REQUESTS_H_
