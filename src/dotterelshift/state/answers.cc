#include "dotterelshift/state/answers.h"

#include <algorithm>  // for lower_bound, max

namespace dotterelshift::state {
namespace {

template <typename Answers>
auto PositionOf(Answers& answers, uint64_t sequence) {
  return std::lower_bound(answers.begin(), answers.end(), sequence,
                          [](const KeptAnswer& kept, uint64_t wanted) {
                            return kept.sequence < wanted;
                          });
}

// Most answers carry at most one small number and fit in a KeptAnswer; the
// others are also stored in full.
bool IsShort(const wire::CommandAnswerT& answer) {
  const bool small = answer.body.type == wire::AnswerBody::DoneAnswer ||
                     answer.body.type == wire::AnswerBody::SettleAnswer;
  return small && answer.error == 0;
}

void DropOldest(Host& host) {
  const uint64_t dropped = host.answers.front().sequence;
  host.floor = dropped + 1;
  host.long_answers.erase(dropped);
  host.answers.pop_front();
}

}  // namespace

Resend FindKeptAnswer(const Host& host, const wire::CommandT& command,
                      wire::CommandAnswerT& answer) {
  const uint64_t sequence = command.id->sequence;
  if (sequence < host.floor) return Resend::kTooOld;
  const auto kept = PositionOf(host.answers, sequence);
  if (kept == host.answers.end() || kept->sequence != sequence)
    return Resend::kNew;
  const auto whole = host.long_answers.find(sequence);
  if (whole != host.long_answers.end()) {
    answer = whole->second;
    return Resend::kAnswered;
  }
  if (static_cast<wire::AnswerBody>(kept->type) ==
      wire::AnswerBody::SettleAnswer) {
    wire::SettleAnswerT body;
    body.first_bill = kept->value != 0;
    Answer(answer, body);
  } else {
    Answer(answer, wire::DoneAnswerT());
  }
  return Resend::kAnswered;
}

void KeepAnswer(Host& host, const wire::CommandAnswerT& answer, size_t limit) {
  KeptAnswer kept;
  kept.sequence = answer.id->sequence;
  kept.error = answer.error;
  kept.type = static_cast<uint8_t>(answer.body.type);
  if (answer.body.type == wire::AnswerBody::SettleAnswer)
    kept.value = answer.body.AsSettleAnswer()->first_bill ? 1 : 0;
  if (!IsShort(answer)) host.long_answers[kept.sequence] = answer;
  host.answers.insert(PositionOf(host.answers, kept.sequence), kept);
  while (host.answers.size() > limit) DropOldest(host);
}

void DropAnswersBelow(Host& host, uint64_t below) {
  while (!host.answers.empty() && host.answers.front().sequence < below)
    DropOldest(host);
  host.floor = std::max(host.floor, below);
}

}  // namespace dotterelshift::state
