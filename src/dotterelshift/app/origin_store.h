#ifndef DOTTERELSHIFT_SRC_APP_ORIGIN_STORE_H_
#define DOTTERELSHIFT_SRC_APP_ORIGIN_STORE_H_

#include "dotterelshift/app/origin_answers.h"      // for OriginAnswers
#include "dotterelshift/loop/loop.h"               // for Loop, Timer
#include "dotterelshift/origins/stream_origins.h"  // for StreamOrigins
#include "dotterelshift/peers/hub.h"               // for Hub
#include "dotterelshift/telemetry/metrics.h"       // for Metrics
#include "dotterelshift/wire/frames_generated.h"   // for FrameT

namespace dotterelshift::app {

// Control's copies of the origins of streams, in memory: taken from entries and
// given to those that ask, as one that has started again does.
class OriginStore {
 public:
  explicit OriginStore(loop::Loop& loop);

  // `hub` must outlive this object.
  void Connect(peers::Hub* hub) { m_hub = hub; }
  // Returns false if the frame holds neither origins nor a question.
  bool OnFrame(const peers::PeerInfo& peer, const wire::FrameT& frame);
  void OnDown(const HostId& host) { m_answers.OnDown(host); }
  void SetMetrics(telemetry::Metrics& metrics) const;

 private:
  void SendAnswers();

  loop::Loop& m_loop;
  origins::StreamOrigins m_origins;
  OriginAnswers m_answers;
  loop::Timer m_timer;
  peers::Hub* m_hub = nullptr;
};

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_SRC_APP_ORIGIN_STORE_H_
