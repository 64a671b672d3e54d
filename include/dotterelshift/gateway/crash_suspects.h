#ifndef DOTTERELSHIFT_GATEWAY_CRASH_SUSPECTS_H_
#define DOTTERELSHIFT_GATEWAY_CRASH_SUSPECTS_H_

#include <cstdint>        // for uint64_t
#include <list>           // for list
#include <map>            // for map
#include <string>         // for string
#include <string_view>    // for string_view
#include <unordered_map>  // for unordered_map
#include <utility>        // for exchange, pair
#include <vector>         // for vector

#include "dotterelshift/base/ids.h"                  // for EndpointId
#include "dotterelshift/base/time.h"                 // for Instant
#include "dotterelshift/gateway/request.h"           // for Prompt
#include "dotterelshift/origins/service_versions.h"  // for SoftwareKey
#include "dotterelshift/quarantine/evidence.h"       // for CrashedRuns
#include "dotterelshift/wire/commands_generated.h"   // for SuspectAnswerT

namespace dotterelshift::gateway {

// Identifies a prompt segment at one software version of a service, as sent by
// one team or by any; the same on every daemon.
using SuspectKey = uint64_t;

// One key of a segment of a request.
struct SegmentKey {
  SuspectKey key = 0;
  uint64_t team = 0;  // hash of the request's team; 0: the key is of one team
  std::string id;     // of the segment, for the log
};

// The keys of all segments that other requests may share: two for each, of the
// request's team and of any team.
std::vector<SegmentKey> SegmentKeysOf(const TeamId& team, const Prompt& prompt,
                                      SoftwareKey software);

enum class SuspectReportKind : uint8_t {
  kCrash,    // an endpoint crashed while it wrote the response
  kCleared,  // a complete response was received
  kTrial,    // asks to send one request with a suspected segment
};

// A report to control about a content or a segment. Control counts the reports
// of all entries.
struct SuspectReport {
  SuspectReportKind kind = SuspectReportKind::kCrash;
  uint64_t content_hash = 0;  // or the key of a segment
  EndpointId endpoint;        // that crashed
  uint64_t incarnation = 0;
  // No other request ran at the endpoint, as far as this entry knows.
  bool alone = false;
  bool shared = false;  // a segment
  uint64_t team = 0;    // see SegmentKey
};

// Whether a request may be sent now.
enum class SuspectVerdict : uint8_t {
  kFree,     // none of its segments is suspected
  kTrial,    // it is the one request that is tried with a suspected segment
  kWaits,    // a decision comes within milliseconds
  kBusy,     // another request is being tried
  kBlocked,  // a segment crashed too many endpoints
};
std::string_view NameOf(SuspectVerdict verdict);

// A change of what this entry believes of a segment, for the log.
struct SuspectChange {
  SuspectKey key = 0;
  std::string id;          // of the segment; empty: not known here
  std::string_view state;  // suspected, blocked, cleared
  size_t own = 0;          // crashed runs that this entry has seen
  size_t fleet = 0;        // that control has counted
  Duration blocked_for = 0s;
};

struct CrashSuspectsOptions {
  // Crashed runs of endpoints after which a segment is blocked without word
  // from control, and for how long.
  uint32_t block_after = 3;
  Duration own_block = 30s;
  // As control's: how long this entry may try a segment.
  Duration trial_lease = 1s;
  // After a refusal of control, and without an answer, it is asked again.
  Duration denied_for = 100ms;
  Duration answer_timeout = 1s;
  // How long a complete response shows that a segment does no harm. An engine's
  // behaviour may change without a new version.
  Duration acquittal_memory = 600s;
  size_t max_acquitted = 16384;
  size_t max_suspects = 4096;
  // A cleared segment that control still lists is reported again after this.
  Duration clear_interval = 1s;
};

// Which prompt segments crash the endpoints that respond to them.
//
// Load pattern: requests of which no two are alike share one segment that
// crashes each endpoint which begins to respond. They arrive at every entry,
// among sound requests that share all else with them. Each entry sees only some
// of the crashes, and each crash breaks sound requests too.
//
// A complete response acquits all segments of its request, so that suspicion
// falls on the few that never complete. From its first crash on a segment that
// is not acquitted runs once at a time in the whole fleet, by a lease of
// control; after a few crashed runs it is blocked, and later tried again by a
// single request. Without control, an entry decides by what it has seen.
class CrashSuspects {
 public:
  explicit CrashSuspects(const CrashSuspectsOptions& options = {})
      : m_options(options) {}

  // Nothing is suspected here.
  bool IsIdle() const { return m_suspects.empty(); }

  // Whether the request may be sent. Asks control for a trial if need be.
  SuspectVerdict Judge(const std::vector<SegmentKey>& keys, RequestId request,
                       Instant now);
  // The same, without asking for a trial.
  bool IsFree(const std::vector<SegmentKey>& keys, Instant now) const;
  bool IsBlocked(const std::vector<SegmentKey>& keys, Instant now) const;
  // The request is no longer under way; a trial ends.
  void OnEnded(RequestId request);

  // The segments that no complete response has acquitted.
  std::vector<SegmentKey> NotAcquitted(std::vector<SegmentKey> keys,
                                       Instant now) const;
  // An attempt broke; its segments wait until it is known whether its endpoint
  // has ended. One OnDecided() follows.
  void OnBroken(const std::vector<SegmentKey>& keys);
  void OnDecided(const std::vector<SegmentKey>& keys);
  // An endpoint ended while it wrote a response.
  void OnCrash(const std::vector<SegmentKey>& keys, const EndpointId& endpoint,
               uint64_t incarnation, Instant now);
  void OnCompleteResponse(const std::vector<SegmentKey>& keys, Instant now);

  // Word of control about a segment; others are ignored.
  void OnAnswer(const wire::SuspectAnswerT& answer, Instant now);
  void SetConnected(bool connected) { m_connected = connected; }

  std::vector<SuspectReport> TakeReports() {
    return std::exchange(m_reports, {});
  }
  std::vector<SuspectChange> TakeChanges() {
    return std::exchange(m_changes, {});
  }
  size_t Suspected() const { return m_suspects.size(); }
  size_t Blocked(Instant now) const;

 private:
  struct Trial {
    RequestId request = 0;  // that is tried; 0: none
    Instant asked_at{};     // the epoch: control was not asked
    Instant granted_until{};
    Instant denied_until{};
  };
  struct Suspect {
    std::string id;
    quarantine::CrashedRuns own;
    size_t fleet = 0;
    bool fleet_suspects = false;
    int undecided = 0;  // broken attempts
    Instant blocked_until{};
    Instant cleared_at{};  // when this entry last reported it as cleared
    Instant changed_at{};
    Trial trial;
    bool IsSuspected() const {
      return undecided > 0 || fleet_suspects || quarantine::IsSuspect(own);
    }
  };

  bool IsAcquitted(SuspectKey key, Instant now) const;
  void Acquit(SuspectKey key, Instant now);
  const Suspect* Find(const SegmentKey& key, Instant now) const;
  Suspect& Ensure(const SegmentKey& key, Instant now);
  SuspectVerdict JudgeTrial(SuspectKey key, Suspect& suspect, RequestId request,
                            Instant now);
  void Clear(SuspectKey key, Instant now);
  void RecordChange(SuspectKey key, const Suspect& suspect,
                    std::string_view state, Instant now);

  const CrashSuspectsOptions m_options;
  bool m_connected = false;
  std::map<SuspectKey, Suspect> m_suspects;
  // Acquitted keys with the time of the last complete response, the latest
  // first.
  std::list<std::pair<SuspectKey, Instant>> m_acquitted;
  std::unordered_map<SuspectKey,
                     std::list<std::pair<SuspectKey, Instant>>::iterator>
      m_acquitted_index;
  std::vector<SuspectReport> m_reports;
  std::vector<SuspectChange> m_changes;
};

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_GATEWAY_CRASH_SUSPECTS_H_
