#ifndef DOTTERELSHIFT_ORIGINS_ORIGIN_RESPONDER_H_
#define DOTTERELSHIFT_ORIGINS_ORIGIN_RESPONDER_H_

#include <cstddef>        // for size_t
#include <deque>          // for deque
#include <map>            // for map
#include <unordered_map>  // for unordered_multimap
#include <utility>        // for pair
#include <vector>         // for vector

#include "dotterelshift/base/ids.h"                // for HostId
#include "dotterelshift/base/time.h"               // for Duration, Instant
#include "dotterelshift/origins/stream_origins.h"  // for StreamOrigins

namespace dotterelshift::origins {

struct OriginResponderOptions {
  // How long a question about an unknown stream is held: a caller may be
  // quicker than the origin, which waits for the pacer of load updates. Less
  // than a lookup's timeout.
  Duration hold = 50ms;
  // After its start a daemon does not know yet what its group knows: an entry
  // what began in its data centre, control what entries have sent it before.
  Duration warm_up = 5s;
  // Bounds the memory; further questions are answered at once.
  size_t max_held = 20'000;
};

// What is answered to one entry, in one frame.
struct OriginAnswer {
  std::vector<wire::StreamOrigin> known;
  std::vector<StreamKey> unclear;  // two origins of the stream differ
  std::vector<StreamKey> missing;
  bool starting = false;  // what is missing may have begun here all the same

  bool IsEmpty() const {
    return known.empty() && unclear.empty() && missing.empty();
  }
};

// Answers questions of entries about origins of streams, at another entry or at
// control.
class OriginResponder {
 public:
  // `origins` must outlive this object.
  OriginResponder(const StreamOrigins& origins, Instant started,
                  const OriginResponderOptions& options = {})
      : m_origins(origins), m_options(options), m_started(started) {}

  void OnQuestion(const HostId& from, const std::vector<StreamKey>& streams,
                  Instant now);
  // The origin of a stream has become known here.
  void OnLearned(StreamKey stream, Instant now);
  void OnDown(const HostId& host);
  void OnTimer(Instant now);
  Instant NextTimer() const;

  std::map<HostId, OriginAnswer> TakeAnswers(Instant now);

 private:
  struct Held {
    Instant since{};
    HostId from;
  };

  bool AddIfKnown(const HostId& to, StreamKey stream, Instant now);

  const StreamOrigins& m_origins;
  const OriginResponderOptions m_options;
  const Instant m_started;
  std::unordered_multimap<StreamKey, Held> m_held;
  std::deque<std::pair<Instant, StreamKey>> m_by_age;  // of those held
  std::map<HostId, OriginAnswer> m_answers;
};

}  // namespace dotterelshift::origins

#endif  // DOTTERELSHIFT_ORIGINS_ORIGIN_RESPONDER_H_
