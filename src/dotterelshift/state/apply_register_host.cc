#include "dotterelshift/state/apply.h"  // for Apply

namespace dotterelshift::state {

// Older incarnations of the host were marked as dead when the first command of
// this one was applied.
void Apply(Context& context, const wire::RegisterHostT& command,
           wire::CommandAnswerT& answer) {
  Tables& tables = context.tables;
  tables.hosts[context.id.host].registered = command;
  wire::HostAnswerT body;
  body.version = tables.configuration.Version();
  Answer(answer, body);
}

}  // namespace dotterelshift::state
