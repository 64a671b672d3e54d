#ifndef DOTTERELSHIFT_ORIGINS_ORIGIN_LOOKUP_H_
#define DOTTERELSHIFT_ORIGINS_ORIGIN_LOOKUP_H_

#include <compare>        // for operator<=>
#include <cstddef>        // for size_t
#include <cstdint>        // for uint8_t
#include <deque>          // for deque
#include <map>            // for map
#include <optional>       // for optional
#include <string>         // for string
#include <string_view>    // for string_view
#include <unordered_map>  // for unordered_map
#include <utility>        // for exchange, pair
#include <vector>         // for vector

#include "dotterelshift/base/ids.h"                // for DataCentreId, HostId
#include "dotterelshift/base/time.h"               // for Duration, Instant
#include "dotterelshift/origins/stream_origins.h"  // for StreamKey

namespace dotterelshift::origins {

// An entry of another data centre that can be asked for origins.
struct DistantEntry {
  std::string address;  // of its hub, IP:port
  DataCentreId data_centre;

  bool operator==(const DistantEntry&) const = default;
};

struct OriginLookupOptions {
  // A lookup ends after this time without an answer, from its first question.
  Duration timeout = 100ms;
  // An entry that has not answered for this long is not waited for.
  Duration unresponsive_after = 500ms;
  // Entries asked in each data centre: one of them may be about to fail.
  size_t asked_per_data_centre = 2;
  // Control hosts asked. More than hold a copy of each origin, as others may
  // have been connected when it was sent.
  size_t asked_of_control = 3;
  // Bounds the memory; further streams are not looked up.
  size_t max_lookups = 20'000;
};

enum class LookupOutcome : uint8_t {
  kLearned,     // the origin has become known here
  kNowhere,     // every group has answered that it is not known
  kIncomplete,  // a group could not be asked or did not answer in time
};
std::string_view NameOf(LookupOutcome outcome);

struct EndedLookup {
  StreamKey stream = 0;
  LookupOutcome outcome = LookupOutcome::kIncomplete;
  Duration took = 0s;
  size_t groups = 0;    // asked, or tried to
  size_t answered = 0;  // of these
};

// Streams whose origin one entry is asked for, in one frame.
struct OriginQuestion {
  HostId to;
  std::vector<StreamKey> streams;
};

// Asks other daemons for the origin of streams that a caller resumes here: some
// control hosts, and in a large fleet some entries of each other data centre.
// Daemons of which any is likely to know the same streams are a group.
//
// Load pattern: in a large fleet an entry is told of the streams that begin in
// its own data centre, and one that has just started of none. When a host or a
// data centre fails, callers resume thousands of streams in the others at once;
// when all entries fail together, at entries that know nothing. Each group is
// asked only then, for all streams of one event loop iteration together. A
// daemon that does not answer delays nobody but the streams that nobody else
// knows.
class OriginLookup {
 public:
  explicit OriginLookup(const OriginLookupOptions& options = {})
      : m_options(options) {}

  // The entries that can be asked, as named by control. None: all entries are
  // connected with each other, and know what the others know.
  void SetEntries(const std::vector<DistantEntry>& entries);
  // Addresses of control's hosts.
  void SetControl(const std::vector<std::string>& addresses);

  // Connections to daemons. Others than those that can be asked are ignored.
  void OnUp(const std::string& address, const HostId& host, Instant now);
  void OnDown(const std::string& address, Instant now);
  // A connection request to the address was refused or not answered.
  void OnDialFailed(const std::string& address, Instant now);

  // Begins to look a stream up, or joins a lookup of it. Returns false if
  // nobody can be asked.
  bool Start(StreamKey stream, Instant now);
  // The origin of a stream has become known here.
  void OnLearned(StreamKey stream, Instant now);
  // Another daemon has answered, and does not know these streams, if any.
  // `starting`: it has not been up for long enough to know what its group
  // knows.
  void OnMissing(const std::string& address,
                 const std::vector<StreamKey>& streams, bool starting,
                 Instant now);
  void OnTimer(Instant now);
  Instant NextTimer() const;

  // Addresses that should be connected to.
  std::vector<std::string> TakeDials() { return std::exchange(m_dials, {}); }
  // Questions that are sent now.
  std::vector<OriginQuestion> TakeQuestions(Instant now);
  std::vector<EndedLookup> TakeEnded() { return std::exchange(m_ended, {}); }
  size_t Open() const { return m_lookups.size(); }

 private:
  struct Candidate {
    std::string address;
    HostId host;
    bool up = false;
    bool dialled = false;  // is being connected to
    // A question is due, or has not been answered since then.
    bool asked = false;
    std::optional<Instant> asked_since;
    // Has not answered or could not be connected to: it is asked, but not
    // waited for.
    bool unresponsive = false;
  };
  using Candidates = std::vector<Candidate>;

  // Control, or the entries of a data centre.
  struct Group {
    bool control = false;
    DataCentreId data_centre;

    auto operator<=>(const Group&) const = default;
  };

  // What one group was asked about one stream.
  struct Inquiry {
    std::vector<std::string> awaiting;  // addresses that have not answered
    std::vector<std::string> tried;     // addresses asked or dialled so far
    bool answered = false;              // by one that knows its group
  };
  struct Lookup {
    Instant begun{};
    Instant sent{};  // the first question; the epoch: not yet
    std::map<Group, Inquiry> inquiries;
  };

  Candidate* Find(const std::string& address);
  // Candidates in the order in which they are asked about the stream, those
  // that respond first.
  static std::vector<Candidate*> RankFor(StreamKey stream,
                                         Candidates& candidates);
  // Replaces the candidates of all groups that are control or are not.
  void SetCandidates(bool control, const std::vector<DistantEntry>& candidates);
  void Ask(StreamKey stream, const Group& group, Inquiry& inquiry);
  bool IsAwaited(const Group& group, const Inquiry& inquiry) const;
  void EndIfAnswered(StreamKey stream, Instant now);
  void End(StreamKey stream, LookupOutcome outcome, Instant now);
  void MarkUnresponsive(const Lookup& lookup, Instant now);

  const OriginLookupOptions m_options;
  std::map<Group, Candidates> m_groups;
  std::unordered_map<StreamKey, Lookup> m_lookups;
  std::vector<StreamKey> m_not_sent;  // lookups whose questions are due
  std::deque<std::pair<Instant, StreamKey>> m_by_begin;  // by first question
  std::vector<std::string> m_dials;
  std::map<HostId, std::vector<StreamKey>> m_questions;
  std::vector<EndedLookup> m_ended;
};

}  // namespace dotterelshift::origins

#endif  // DOTTERELSHIFT_ORIGINS_ORIGIN_LOOKUP_H_
