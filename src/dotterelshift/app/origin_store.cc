#include "dotterelshift/app/origin_store.h"

namespace dotterelshift::app {

OriginStore::OriginStore(loop::Loop& loop)
    : m_loop(loop),
      m_answers(loop, m_origins),
      m_timer(loop, [this] { SendAnswers(); }) {}

bool OriginStore::OnFrame(const peers::PeerInfo& peer,
                          const wire::FrameT& frame) {
  if (const auto* notes = frame.body.AsLoadNotes()) {
    m_origins.OnUpdates(peer.run.host, notes->origins, m_loop.Now());
    for (const origins::StreamKey stream : m_origins.TakeLearned())
      m_answers.OnLearned(stream);
  } else if (const auto* question = frame.body.AsOriginQuestion()) {
    m_answers.OnQuestion(peer, *question);
  } else {
    return false;
  }
  SendAnswers();
  return true;
}

void OriginStore::SendAnswers() {
  m_answers.Send(*m_hub);
  const Instant next = m_answers.NextTimer();
  if (next != Instant::max()) m_timer.ArmAt(next);
}

void OriginStore::SetMetrics(telemetry::Metrics& metrics) const {
  metrics.SetGauge("dotterelshift_stream_origins",
                   "Origins of streams held for entries",
                   static_cast<double>(m_origins.Size()));
  metrics.SetCounter("dotterelshift_origin_questions_received_total",
                     "Origins of streams that entries asked for",
                     static_cast<double>(m_answers.Received()));
}

}  // namespace dotterelshift::app
