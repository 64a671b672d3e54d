#ifndef DOTTERELSHIFT_SRC_APP_ORIGIN_ANSWERS_H_
#define DOTTERELSHIFT_SRC_APP_ORIGIN_ANSWERS_H_

#include <cstdint>  // for uint64_t

#include "dotterelshift/loop/loop.h"                 // for Loop
#include "dotterelshift/origins/origin_responder.h"  // for OriginResponder
#include "dotterelshift/origins/stream_origins.h"    // for StreamOrigins
#include "dotterelshift/peers/hub.h"                 // for Hub
#include "dotterelshift/wire/frames_generated.h"     // for OriginQuestionT

namespace dotterelshift::app {

// Answers the questions of entries about origins of streams, at another entry
// or at control.
class OriginAnswers {
 public:
  // `origins` must outlive this object.
  OriginAnswers(const loop::Loop& loop, const origins::StreamOrigins& origins);

  void OnQuestion(const peers::PeerInfo& from,
                  const wire::OriginQuestionT& question);
  // The origin of a stream has become known here.
  void OnLearned(origins::StreamKey stream);
  void OnDown(const HostId& host) { m_responder.OnDown(host); }
  // Sends what is due.
  void Send(peers::Hub& hub);
  // When something is due next.
  Instant NextTimer() const { return m_responder.NextTimer(); }
  // Streams that were asked for.
  uint64_t Received() const { return m_received; }

 private:
  const loop::Loop& m_loop;
  origins::OriginResponder m_responder;
  uint64_t m_received = 0;
};

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_SRC_APP_ORIGIN_ANSWERS_H_
