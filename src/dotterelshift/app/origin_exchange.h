#ifndef DOTTERELSHIFT_SRC_APP_ORIGIN_EXCHANGE_H_
#define DOTTERELSHIFT_SRC_APP_ORIGIN_EXCHANGE_H_

#include <cstdint>     // for uint64_t
#include <functional>  // for function
#include <map>         // for map
#include <set>         // for set
#include <string>      // for string
#include <utility>     // for move
#include <vector>      // for vector

#include "dotterelshift/app/origin_answers.h"       // for OriginAnswers
#include "dotterelshift/loop/loop.h"                // for Loop, Timer
#include "dotterelshift/origins/askable_entries.h"  // for AskedEntries
#include "dotterelshift/origins/origin_copies.h"    // for OriginCopies
#include "dotterelshift/origins/origin_lookup.h"    // for OriginLookup
#include "dotterelshift/origins/stream_origins.h"   // for StreamOrigins
#include "dotterelshift/peers/hub.h"                // for Hub
#include "dotterelshift/telemetry/metrics.h"        // for Metrics

namespace dotterelshift::app {

// Exchanges origins of streams with control and with entries of other data
// centres: sends control copies, asks both when a caller resumes a stream that
// is not known here, and answers entries. Connections to entries are made for
// the first question and ended when none was asked for a while.
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
  // Addresses of control's hosts, to be called again and again.
  void SetControl(const std::vector<std::string>& addresses);
  void OnUp(const peers::PeerInfo& peer);
  void OnDown(const peers::PeerInfo& peer);
  void OnDialEnded(const peers::DialReport& report);
  // Returns false if the frame is neither a question nor an answer.
  bool OnFrame(const peers::PeerInfo& peer, const wire::FrameT& frame);
  // Sends what is due. Returns the lookups that have ended. To be called in
  // each event loop iteration; a timer causes one when something is due.
  std::vector<origins::EndedLookup> Exchange();
  void SetMetrics(telemetry::Metrics& metrics) const;

 private:
  struct Totals {
    uint64_t asked = 0;   // questions, one for each stream and daemon
    uint64_t copied = 0;  // origins sent to control
    std::map<origins::LookupOutcome, uint64_t> ended;
  };

  void OnAnswer(const peers::PeerInfo& peer, const wire::OriginAnswerT& answer);
  void TakeLearned(Instant now);
  void Dial(Instant now);
  void HangUpIdle(Instant now);
  // Tells the lookup, after a change of those that can be asked.
  void TellConnected();
  void TakeControlHosts();
  void SendCopies();
  void SendQuestions(Instant now);

  loop::Loop& m_loop;
  origins::StreamOrigins& m_origins;
  origins::OriginLookup m_lookup;
  origins::OriginCopies m_copies;
  OriginAnswers m_answers;
  loop::Timer m_timer;
  peers::Hub* m_hub = nullptr;
  std::function<bool(const std::string& address)> m_may_hang_up;
  origins::AskedEntries m_asked;
  // Addresses that were dialled to ask, and when one was last asked.
  std::map<std::string, Instant> m_dialled;
  std::map<HostId, std::string> m_addresses;  // of connected daemons
  std::set<std::string> m_control;            // addresses of control's hosts
  Totals m_totals;
};

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_SRC_APP_ORIGIN_EXCHANGE_H_
