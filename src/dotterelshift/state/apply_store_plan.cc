#include "dotterelshift/state/apply.h"  // for Apply

namespace dotterelshift::state {
namespace {

// Limit of unconfirmed plans; beyond it the oldest one is dropped.
constexpr size_t kMaxUnconfirmedPlans = 200;

void DropOldestUnconfirmed(Tables& tables) {
  size_t waiting = 0;
  auto oldest = tables.plans.end();
  for (auto plan = tables.plans.begin(); plan != tables.plans.end(); ++plan) {
    if (plan->second.version != 0) continue;
    ++waiting;
    const bool older = oldest == tables.plans.end() ||
                       plan->second.stored < oldest->second.stored;
    if (older) oldest = plan;
  }
  if (waiting > kMaxUnconfirmedPlans) tables.plans.erase(oldest);
}

}  // namespace

// A plan that is already stored is left unchanged, so that a resend has no
// effect.
void Apply(Context& context, const wire::StorePlanT& command,
           wire::CommandAnswerT& answer) {
  Tables& tables = context.tables;
  if (command.plan == nullptr || command.plan->id.empty())
    return Refuse(answer, ErrorKind::kBadFrame, "no plan");
  StoredPlan fresh;
  fresh.plan = *command.plan;
  fresh.stored = context.stamp;
  const auto position =
      tables.plans.try_emplace(command.plan->id, std::move(fresh)).first;
  wire::PlanAnswerT body;
  body.plan = command.plan->id;
  body.version = position->second.version;
  DropOldestUnconfirmed(tables);
  Answer(answer, std::move(body));
}

}  // namespace dotterelshift::state
