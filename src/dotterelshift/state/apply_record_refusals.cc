#include "dotterelshift/state/apply.h"  // for Apply

namespace dotterelshift::state {

void Apply(Context& context, const wire::RecordRefusalsT& command,
           wire::CommandAnswerT& answer) {
  // Only known error numbers and existing teams add rows, which bounds the
  // table.
  const bool known =
      RowOf(static_cast<ErrorKind>(command.error)).kind ==
          static_cast<ErrorKind>(command.error) &&
      context.tables.configuration.FindTeam(command.team) != nullptr;
  if (known) {
    TeamDay& day = context.tables.DayOf(command.team, context.stamp);
    day.requests += command.count;
    TeamDay::Refusals& refusals = day.refusals[command.error];
    (command.budget_remained ? refusals.with_budget_left
                             : refusals.without_budget_left) += command.count;
  }
  Answer(answer, wire::DoneAnswerT());
}

}  // namespace dotterelshift::state
