#ifndef DOTTERELSHIFT_STATE_APPLY_H_
#define DOTTERELSHIFT_STATE_APPLY_H_

#include "dotterelshift/state/tables.h"             // for Context
#include "dotterelshift/wire/commands_generated.h"  // for RegisterHostT

// One function per command type, defined in the files apply_*.cc.
namespace dotterelshift::state {

void Apply(Context& context, const wire::RegisterHostT& command,
           wire::CommandAnswerT& answer);
void Apply(Context& context, const wire::RequestGrantT& command,
           wire::CommandAnswerT& answer);
void Apply(Context& context, const wire::ReturnGrantT& command,
           wire::CommandAnswerT& answer);
void Apply(Context& context, const wire::OpenAttemptT& command,
           wire::CommandAnswerT& answer);
void Apply(Context& context, const wire::SettleT& command,
           wire::CommandAnswerT& answer);
void Apply(Context& context, const wire::ClaimT& command,
           wire::CommandAnswerT& answer);
void Apply(Context& context, const wire::RecordRefusalsT& command,
           wire::CommandAnswerT& answer);
void Apply(Context& context, const wire::ReportSuspectT& command,
           wire::CommandAnswerT& answer);
void Apply(Context& context, const wire::ClearSuspectT& command,
           wire::CommandAnswerT& answer);
void Apply(Context& context, const wire::TrySuspectT& command,
           wire::CommandAnswerT& answer);
void Apply(Context& context, const wire::StorePlanT& command,
           wire::CommandAnswerT& answer);
void Apply(Context& context, const wire::ConfirmPlanT& command,
           wire::CommandAnswerT& answer);
void Apply(Context& context, const wire::RecordOrderT& command,
           wire::CommandAnswerT& answer);
void Apply(Context& context, const wire::AgeOutT& command,
           wire::CommandAnswerT& answer);
void Apply(Context& context, const wire::PublishRoutesT& command,
           wire::CommandAnswerT& answer);
void Apply(Context& context, const wire::ReportSpendT& command,
           wire::CommandAnswerT& answer);
void Apply(Context& context, const wire::MoveGrantT& command,
           wire::CommandAnswerT& answer);
void Apply(Context& context, const wire::ReportHoldingsT& command,
           wire::CommandAnswerT& answer);

}  // namespace dotterelshift::state

#endif  // DOTTERELSHIFT_STATE_APPLY_H_
