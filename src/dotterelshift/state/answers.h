#ifndef DOTTERELSHIFT_STATE_ANSWERS_H_
#define DOTTERELSHIFT_STATE_ANSWERS_H_

#include "dotterelshift/state/tables.h"             // for Host
#include "dotterelshift/wire/commands_generated.h"  // for CommandAnswerT

// The answers that are kept for resends, by host run and sequence.
namespace dotterelshift::state {

enum class Resend { kNew, kAnswered, kTooOld };

// Whether the command was carried out before; if so, `answer` is its first
// answer.
Resend LookUpAnswer(const Host& host, const wire::CommandT& command,
                    wire::CommandAnswerT& answer);

// Drops the answers that the sender has.
void ForgetAnswers(Host& host, uint64_t below);

// Keeps an answer, and drops the oldest beyond `limit`.
void KeepAnswer(Host& host, const wire::CommandAnswerT& answer, size_t limit);

}  // namespace dotterelshift::state

#endif  // DOTTERELSHIFT_STATE_ANSWERS_H_
