#ifndef DOTTERELSHIFT_STATE_ANSWERS_H_
#define DOTTERELSHIFT_STATE_ANSWERS_H_

#include "dotterelshift/state/tables.h"             // for Host
#include "dotterelshift/wire/commands_generated.h"  // for CommandAnswerT

// Answers kept for resent commands, per host incarnation and by sequence.
namespace dotterelshift::state {

enum class Resend { kNew, kAnswered, kTooOld };

// Whether the command was applied before; if so, `answer` is set to its first
// answer.
Resend FindKeptAnswer(const Host& host, const wire::CommandT& command,
                      wire::CommandAnswerT& answer);

// Drops the answers to sequences below `below`, which the sender has received.
void DropAnswersBelow(Host& host, uint64_t below);

// Stores an answer and drops the oldest ones beyond `limit`.
void KeepAnswer(Host& host, const wire::CommandAnswerT& answer, size_t limit);

}  // namespace dotterelshift::state

#endif  // DOTTERELSHIFT_STATE_ANSWERS_H_
