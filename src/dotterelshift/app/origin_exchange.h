#ifndef DOTTERELSHIFT_SRC_APP_ORIGIN_EXCHANGE_H_
#define DOTTERELSHIFT_SRC_APP_ORIGIN_EXCHANGE_H_

#include <cstdint>     // for uint64_t
#include <functional>  // for function
#include <map>         // for map
#include <string>      // for string
#include <utility>     // for move
#include <vector>      // for vector

#include "dotterelshift/loop/loop.h"                 // for Loop, Timer
#include "dotterelshift/origins/askable_entries.h"   // for AskedEntries
#include "dotterelshift/origins/origin_lookup.h"     // for OriginLookup
#include "dotterelshift/origins/origin_responder.h"  // for OriginResponder
#include "dotterelshift/origins/stream_origins.h"    // for StreamOrigins
#include "dotterelshift/peers/hub.h"                 // for Hub
#include "dotterelshift/telemetry/metrics.h"         // for Metrics

namespace dotterelshift::app {

// Exchanges origins of streams with entries of other data centres: asks them
// when a caller resumes a stream that is not known here, and answers them.
// Connections are made for the first question and ended when none was asked for
// a while.
class OriginExchange {
 public:
  // `origins` must outlive this object.
  OriginExchange(loop::Loop& loop, origins::StreamOrigins& origins);

  origins::OriginLookup& Lookup() { return m_lookup; }
  // `may_hang_up` says whether the connection to an address serves nothing
  // else.
  void Connect(peers::Hub* hub,
               std::function<bool(const std::string& address)> may_hang_up) {
    m_hub = hub;
    m_may_hang_up = std::move(may_hang_up);
  }

  // Entries that can be asked, as named by control; to be called again and
  // again.
  void SetEntries(const std::vector<origins::DistantEntry>& entries);
  void OnEntryUp(const peers::PeerInfo& entry);
  void OnEntryDown(const peers::PeerInfo& entry);
  void OnDialEnded(const peers::DialReport& report);
  // Returns false if the frame is neither a question nor an answer.
  bool OnFrame(const peers::PeerInfo& peer, const wire::FrameT& frame);
  // Sends what is due. Returns the lookups that have ended. To be called in
  // each event loop iteration; a timer causes one when something is due.
  std::vector<origins::EndedLookup> Exchange();
  void SetMetrics(telemetry::Metrics& metrics) const;

 private:
  struct Totals {
    uint64_t asked = 0;  // questions, one for each stream and entry
    uint64_t received = 0;
    std::map<origins::LookupOutcome, uint64_t> ended;
  };

  void OnQuestion(const peers::PeerInfo& peer,
                  const wire::OriginQuestionT& question);
  void OnAnswer(const peers::PeerInfo& peer, const wire::OriginAnswerT& answer);
  void TakeLearned(Instant now);
  void Dial(Instant now);
  void HangUpIdle(Instant now);
  void SendQuestions(Instant now);
  void SendAnswers(Instant now);

  loop::Loop& m_loop;
  origins::StreamOrigins& m_origins;
  origins::OriginLookup m_lookup;
  origins::OriginResponder m_responder;
  loop::Timer m_timer;
  peers::Hub* m_hub = nullptr;
  std::function<bool(const std::string& address)> m_may_hang_up;
  origins::AskedEntries m_asked;
  // Addresses that were dialled to ask, and when one was last asked.
  std::map<std::string, Instant> m_dialled;
  std::map<HostId, std::string> m_addresses;  // of connected entries
  Totals m_totals;
};

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_SRC_APP_ORIGIN_EXCHANGE_H_
