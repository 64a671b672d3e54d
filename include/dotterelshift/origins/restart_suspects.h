#ifndef DOTTERELSHIFT_ORIGINS_RESTART_SUSPECTS_H_
#define DOTTERELSHIFT_ORIGINS_RESTART_SUSPECTS_H_

#include <cstddef>      // for size_t
#include <cstdint>      // for uint8_t
#include <map>          // for map
#include <string_view>  // for string_view
#include <utility>      // for exchange
#include <vector>       // for vector

#include "dotterelshift/base/ids.h"                  // for EndpointId
#include "dotterelshift/base/time.h"                 // for Instant
#include "dotterelshift/directory/directory.h"       // for Directory
#include "dotterelshift/origins/endpoint_contact.h"  // for EndpointContact
#include "dotterelshift/wire/frames_generated.h"     // for ProcessNote

namespace dotterelshift::origins {

struct RestartSuspectsOptions {
  // Maximum time that an announcement takes to the first daemon.
  Duration announcement_delay = 300ms;
  // Bytes that were sent before a break may still be read for this long.
  Duration read_delay = 50ms;
  // By how much a connection's break may be noticed later than the first bytes
  // of the next incarnation.
  Duration notice_delay = 10ms;
  // Endpoints close connections that were idle for longer by themselves. They
  // state such timeouts in whole seconds.
  Duration min_idle_timeout = 1s;
  // Maximum time of another entry's notice on the way.
  Duration tell_delay = 30ms;
  // An endpoint that has started again announces itself within this time.
  Duration max_suspicion = 3s;
  // How long the end of an incarnation, or proof that it goes on, is
  // remembered.
  Duration memory = 10s;
};

// What is known of the process that began a response.
enum class ProcessProof : uint8_t {
  kSame,      // the incarnation that the directory described
  kUnproven,  // nothing speaks against that so far
  kInDoubt,   // it may have been the next incarnation
};

// What makes an endpoint a suspect, or clears it.
enum class RestartEvidence : uint8_t {
  kConnectionBroke,  // one that carried a request from this entry
  kIdleClosed,       // one that this entry had just used
  kTold,             // another entry lost a connection
  kAnnounced,        // the same incarnation announced itself after the break
  kBytes,            // a connection that is older than the break still works,
                     // here or at another entry
  kEnded,            // the incarnation has ended or is not known any more
  kExpired,          // no announcement came, as control may be away
};
std::string_view NameOf(RestartEvidence evidence);

// A change of what is believed of an endpoint, for the log.
struct RestartBelief {
  EndpointId endpoint;
  bool suspected = false;
  RestartEvidence evidence = RestartEvidence::kConnectionBroke;
  Duration after = 0s;  // since the break
};

// Endpoints that may have started again since their last announcement.
//
// Load pattern: endpoints start again at another software version under their
// ids, while streams are open and callers resume them at any entry. The
// directory's record then names the earlier version for up to a heartbeat, and
// an endpoint checks only its id. But connections do not outlive their process:
// each entry that used one, or had just done so, knows of the restart at once,
// and tells the others.
// One stream that breaks looks the same, until the endpoint announces itself
// again or bytes are received on a connection that is older than the break.
//
// Only endpoints that announce their incarnation can start again under their
// id; one without has a new id at each start, which it checks.
class RestartSuspects {
 public:
  // `directory` must outlive this object.
  explicit RestartSuspects(const directory::Directory& directory,
                           const RestartSuspectsOptions& options = {})
      : m_options(options), m_directory(directory) {}

  // A connection that carried a request broke here.
  void OnBroken(const EndpointContact& endpoint, Instant now);
  // The endpoint closed a connection that had been idle for so long.
  void OnIdleClosed(const EndpointContact& endpoint, Duration idle,
                    Instant now);
  // Another entry has told that, or that the endpoint runs on.
  void OnTold(const EndpointContact& endpoint, const wire::ProcessNote& note,
              Instant now);
  // Bytes were received of a response that had begun at `begun`.
  void OnBytes(EndpointKey endpoint, Instant begun, Instant now);
  // Clears those that have announced themselves since, or whose next
  // incarnation is known.
  void Update(Instant now);

  bool IsSuspect(EndpointKey endpoint) const {
    return m_suspects.contains(endpoint);
  }
  // Whether a response that began then was of this incarnation.
  ProcessProof During(const EndpointContact& endpoint, Instant begun) const;
  std::vector<EndpointKey> All() const;
  // The first and the last break of each suspect, for an entry that connects.
  std::vector<wire::ProcessNote> AllNotices(Instant now) const;
  size_t Size() const { return m_suspects.size(); }

  // What this entry has noticed since the last call, to be told to the others.
  bool HasNotices() const { return !m_notices.empty(); }
  std::vector<wire::ProcessNote> TakeNotices(Instant now);
  std::vector<RestartBelief> TakeBeliefs() {
    return std::exchange(m_beliefs, {});
  }

 private:
  struct Suspect {
    EndpointContact endpoint;
    Instant earliest{};  // the first break cannot have been before
    Instant latest{};    // when the last one was noticed, here or elsewhere
  };

  // What is to be told of an endpoint: its last break, or until when it ran.
  struct Notice {
    Instant at{};
    bool runs = false;
  };

  // Whether the incarnation announced itself so long after that moment that the
  // announcement cannot have been made before.
  bool HasAnnouncedSince(const EndpointContact& endpoint, Instant since) const;
  // Whether the directory knows a later incarnation, or none.
  bool HasEnded(const EndpointContact& endpoint) const;
  // This entry has seen it.
  void AddOwn(const EndpointContact& endpoint, RestartEvidence evidence,
              Instant now);
  void Add(const EndpointContact& endpoint, RestartEvidence evidence,
           Instant earliest, Instant latest);
  void Clear(std::map<EndpointKey, Suspect>::iterator suspect,
             RestartEvidence evidence, Instant now);

  const RestartSuspectsOptions m_options;
  const directory::Directory& m_directory;
  std::map<EndpointKey, Suspect> m_suspects;
  // Incarnations that have ended, with their first break.
  std::map<EndpointKey, Instant> m_ended;
  // Incarnations that were cleared by bytes, with the time until which they
  // certainly ran.
  std::map<EndpointKey, Instant> m_proven;
  std::map<EndpointKey, Notice> m_notices;
  std::vector<RestartBelief> m_beliefs;
};

}  // namespace dotterelshift::origins

#endif  // DOTTERELSHIFT_ORIGINS_RESTART_SUSPECTS_H_
