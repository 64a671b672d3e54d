#include <algorithm>  // for find

#include "dotterelshift/state/apply.h"           // for Apply
#include "dotterelshift/state/grants.h"          // for MarkIncarnationDead
#include "dotterelshift/state/plan_conflicts.h"  // for FindPlanRejection
#include "dotterelshift/state/plan_orders.h"     // for AddOrders

namespace dotterelshift::state {
namespace {

// Checks the budgets and top-ups of a plan before anything is changed: a plan
// is applied completely or not at all.
class PlanCheck {
 public:
  explicit PlanCheck(const Tables& tables) : m_tables(tables) {}

  // Returns an empty string if the change is valid, else what is wrong with it.
  std::string Check(const wire::ChangeBodyUnion& body) {
    if (body.type == wire::ChangeBody::UpsertBudget)
      return CheckBudgetOwner(*body.AsUpsertBudget()->budget);
    if (body.type != wire::ChangeBody::TopUp) return "";
    const wire::TopUpT& top_up = *body.AsTopUp();
    if (m_tables.top_ups.contains(top_up.id)) return "";
    if (top_up.id.empty()) return "a top-up has no id";
    if (!m_ids.insert(top_up.id).second)
      return "top-up " + top_up.id + " stands twice";
    return CheckTopUp(top_up);
  }

 private:
  // A budget cannot change its team: its past spend belongs to the reports of
  // the first one.
  std::string CheckBudgetOwner(const wire::BudgetT& budget) {
    m_new_budgets.insert(budget.id);
    if (budget.id.empty()) return "a budget has no id";
    const Account* account = m_tables.accounts.Find(budget.id);
    if (account == nullptr) return "";
    const TeamId& team = m_tables.teams.At(account->team).id;
    if (team == budget.team) return "";
    return "budget " + budget.id + " is, or was, of team " + team;
  }

  std::string CheckTopUp(const wire::TopUpT& top_up) {
    const Account* account = m_tables.accounts.Find(top_up.budget);
    const bool known =
        m_tables.configuration.FindBudget(top_up.budget) != nullptr ||
        m_new_budgets.contains(top_up.budget);
    if (!known) return "no budget " + top_up.budget;
    if (top_up.tokens <= 0 || top_up.tokens > kMaxTokens)
      return "top-up " + top_up.id + " is out of range";
    Tokens& sum = m_sums[top_up.budget];
    if (sum == 0 && account != nullptr) sum = account->amounts.purchased;
    sum += top_up.tokens;
    if (sum > kMaxTokens) return "budget " + top_up.budget + " would overflow";
    return "";
  }

  const Tables& m_tables;
  std::set<std::string> m_new_budgets;
  std::set<std::string> m_ids;
  std::map<BudgetId, Tokens> m_sums;
};

std::string FindPlanError(const Tables& tables, const wire::PlanT& plan) {
  PlanCheck check(tables);
  for (const auto& change : plan.changes) {
    std::string problem = check.Check(change->body);
    if (!problem.empty()) return problem;
  }
  return "";
}

// Retires an incarnation. If it is not known to be dead, it is marked as dead:
// its commands are refused from now on, and its grants are lost as far as it
// may have spent them. The remainder is freed only if it was dead already.
void Retire(Context& context, const wire::RetireHolderT& body) {
  Tables& tables = context.tables;
  const std::optional<IncarnationIndex> run =
      tables.FindIncarnation({body.host, body.incarnation});
  if (!run) return;
  if (tables.runs[*run].dead)
    RetireIncarnation(tables, *run, context.stamp);
  else
    MarkIncarnationDead(tables, *run, context.recover);
}

void MakeAccount(Tables& tables, const wire::BudgetT& budget) {
  const auto [slot, fresh] = tables.accounts.FindOrAdd(budget.id);
  if (fresh)
    tables.accounts.At(slot).team = tables.teams.FindOrAdd(budget.team).first;
}

void ExecuteChange(Context& context, const wire::ChangeBodyUnion& body) {
  Tables& tables = context.tables;
  if (body.type == wire::ChangeBody::UpsertBudget)
    MakeAccount(tables, *body.AsUpsertBudget()->budget);
  if (body.type == wire::ChangeBody::RetireHolder)
    Retire(context, *body.AsRetireHolder());
  if (body.type != wire::ChangeBody::TopUp) return;
  const wire::TopUpT& top_up = *body.AsTopUp();
  if (!tables.top_ups.insert(top_up.id).second) return;
  tables.accounts.Find(top_up.budget)->amounts.purchased += top_up.tokens;
}

// Keeps the bodies of the newest confirmed plans, up to
// StateOptions::max_kept_changes changes, and drops the older ones.
void DropOldPlanBodies(Tables& tables) {
  size_t kept = 0;
  for (auto entry = tables.plan_by_version.rbegin();
       entry != tables.plan_by_version.rend(); ++entry) {
    StoredPlan& stored = tables.plans.at(entry->second);
    const bool newest = entry == tables.plan_by_version.rbegin();
    kept += stored.plan.changes.size();
    if (newest || kept <= tables.options.max_kept_changes) continue;
    if (!stored.has_body) return;
    stored.has_body = false;
    stored.plan.changes.clear();
    stored.plan.changes.shrink_to_fit();
    stored.plan.effects.clear();
    stored.plan.warnings.clear();
  }
}

void Confirm(Context& context, StoredPlan& stored) {
  Tables& tables = context.tables;
  AddOrders(context, stored.plan);
  std::vector<wire::ChangeT> changes;
  changes.reserve(stored.plan.changes.size());
  for (const auto& change : stored.plan.changes) changes.push_back(*change);
  stored.version = tables.configuration.Version() + 1;
  stored.confirmed = context.stamp;
  tables.configuration.Apply(changes, stored.version);
  for (const wire::ChangeT& change : changes)
    ExecuteChange(context, change.body);
  tables.plan_by_version[stored.version] = stored.plan.id;
  DropOldPlanBodies(tables);
}

}  // namespace

void Apply(Context& context, const wire::ConfirmPlanT& command,
           wire::CommandAnswerT& answer) {
  Tables& tables = context.tables;
  const auto found = tables.plans.find(command.plan);
  if (found == tables.plans.end())
    return Refuse(answer, ErrorKind::kPlanUnknown, command.plan);
  StoredPlan& stored = found->second;
  if (stored.version == 0) {
    const std::optional<PlanRejection> rejection =
        FindPlanRejection(tables, stored.plan);
    if (rejection) return Refuse(answer, rejection->kind, rejection->detail);
    std::string problem = FindPlanError(tables, stored.plan);
    if (!problem.empty())
      return Refuse(answer, ErrorKind::kBadIntent, std::move(problem));
    if (!command.author.empty()) stored.plan.author = command.author;
    Confirm(context, stored);
  }
  wire::PlanAnswerT body;
  body.plan = command.plan;
  body.version = stored.version;
  Answer(answer, std::move(body));
}

}  // namespace dotterelshift::state
