#include "dotterelshift/app/origin_answers.h"

#include <string>   // for to_string
#include <utility>  // for move

#include "dotterelshift/telemetry/log.h"  // for LogDecision

namespace dotterelshift::app {

OriginAnswers::OriginAnswers(const loop::Loop& loop,
                             const origins::StreamOrigins& origins)
    : m_loop(loop), m_responder(origins, loop.Now()) {}

void OriginAnswers::OnQuestion(const peers::PeerInfo& from,
                               const wire::OriginQuestionT& question) {
  m_received += question.streams.size();
  m_responder.OnQuestion(from.run.host, question.streams, m_loop.Now());
}

void OriginAnswers::OnLearned(origins::StreamKey stream) {
  m_responder.OnLearned(stream, m_loop.Now());
}

void OriginAnswers::Send(peers::Hub& hub) {
  const Instant now = m_loop.Now();
  m_responder.OnTimer(now);
  for (auto& [host, answer] : m_responder.TakeAnswers(now)) {
    telemetry::LogDecision("origins_answered", "",
                           {{"to", host},
                            {"known", std::to_string(answer.known.size())},
                            {"unclear", std::to_string(answer.unclear.size())},
                            {"missing", std::to_string(answer.missing.size())},
                            {"starting", answer.starting ? "yes" : "no"}});
    wire::OriginAnswerT frame;
    frame.origins = std::move(answer.known);
    frame.unclear = std::move(answer.unclear);
    frame.missing = std::move(answer.missing);
    frame.starting = answer.starting;
    hub.Send(host, peers::MakeFrame(std::move(frame)));
  }
}

}  // namespace dotterelshift::app
