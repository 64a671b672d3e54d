#include "dotterelshift/state/apply.h"  // for Apply

namespace dotterelshift::state {

// The older runs of the host were buried when this run's first command came.
void Apply(Context& context, const wire::RegisterHostT& command,
           wire::CommandAnswerT& answer) {
  Tables& tables = context.tables;
  tables.hosts[context.id.host].registered = command;
  wire::HostAnswerT body;
  body.version = tables.configuration.Version();
  Answer(answer, body);
}

}  // namespace dotterelshift::state
