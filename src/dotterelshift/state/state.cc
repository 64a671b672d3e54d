#include "dotterelshift/state/state.h"

#include <algorithm>  // for max
#include <utility>    // for move

#include "dotterelshift/state/answers.h"             // for FindKeptAnswer
#include "dotterelshift/state/apply.h"               // for Apply
#include "dotterelshift/state/consistency_checks.h"  // for FindDisagreements
#include "dotterelshift/state/grants.h"              // for RecoverDeadGrant
#include "dotterelshift/state/snapshot.h"            // for WriteSnapshot
#include "dotterelshift/state/state_core.h"          // for MakeStateWith
#include "dotterelshift/state/suspects.h"            // for SuspectAnswerOf

namespace dotterelshift::state {
namespace {

void ApplyBody(Context& context, const wire::CommandBodyUnion& body,
               wire::CommandAnswerT& answer) {
  using wire::CommandBody;
  switch (body.type) {
    case CommandBody::RegisterHost:
      return Apply(context, *body.AsRegisterHost(), answer);
    case CommandBody::RequestGrant:
      return Apply(context, *body.AsRequestGrant(), answer);
    case CommandBody::ReturnGrant:
      return Apply(context, *body.AsReturnGrant(), answer);
    case CommandBody::OpenAttempt:
      return Apply(context, *body.AsOpenAttempt(), answer);
    case CommandBody::Settle:
      return Apply(context, *body.AsSettle(), answer);
    case CommandBody::Claim:
      return Apply(context, *body.AsClaim(), answer);
    case CommandBody::RecordRefusals:
      return Apply(context, *body.AsRecordRefusals(), answer);
    case CommandBody::ReportSuspect:
      return Apply(context, *body.AsReportSuspect(), answer);
    case CommandBody::ClearSuspect:
      return Apply(context, *body.AsClearSuspect(), answer);
    case CommandBody::StorePlan:
      return Apply(context, *body.AsStorePlan(), answer);
    case CommandBody::ConfirmPlan:
      return Apply(context, *body.AsConfirmPlan(), answer);
    case CommandBody::RecordOrder:
      return Apply(context, *body.AsRecordOrder(), answer);
    case CommandBody::AgeOut:
      return Apply(context, *body.AsAgeOut(), answer);
    case CommandBody::PublishRoutes:
      return Apply(context, *body.AsPublishRoutes(), answer);
    case CommandBody::ReportSpend:
      return Apply(context, *body.AsReportSpend(), answer);
    case CommandBody::MoveGrant:
      return Apply(context, *body.AsMoveGrant(), answer);
    case CommandBody::TrySuspect:
      return Apply(context, *body.AsTrySuspect(), answer);
    case CommandBody::ReportHoldings:
      return Apply(context, *body.AsReportHoldings(), answer);
    case CommandBody::NONE:
      break;
  }
  Refuse(answer, ErrorKind::kUnknownCommand, "command of an unknown type");
}

class StateCore : public State {
 public:
  StateCore(const StateOptions& options, RecoverGrant recover)
      : m_recover(recover) {
    m_tables.options = options;
  }

  std::vector<wire::CommandAnswerT> Apply(
      const wire::CommandBatchT& batch) override {
    m_tables.last_stamp = std::max(m_tables.last_stamp, batch.stamp_ms);
    std::vector<wire::CommandAnswerT> answers;
    answers.reserve(batch.commands.size());
    for (const auto& command : batch.commands)
      answers.push_back(ApplyOne(*command));
    return answers;
  }

  std::string Snapshot() const override { return WriteSnapshot(m_tables); }

  void Restore(std::string_view snapshot) override {
    m_tables = ReadSnapshot(snapshot, m_tables.options);
  }

  const Configuration& GetConfiguration() const override {
    return m_tables.configuration;
  }

  std::vector<wire::ChangeT> ChangesSince(uint64_t version) const override {
    std::vector<wire::ChangeT> changes;
    const uint64_t newest = m_tables.configuration.Version();
    for (uint64_t next = version + 1; next <= newest; ++next) {
      const auto id = m_tables.plan_by_version.find(next);
      if (id == m_tables.plan_by_version.end()) return {};
      const StoredPlan& stored = m_tables.plans.at(id->second);
      if (!stored.has_body) return {};
      for (const auto& change : stored.plan.changes) changes.push_back(*change);
    }
    return changes;
  }

  const BudgetAccount* FindAccount(const BudgetId& budget) const override {
    const Account* account = m_tables.accounts.Find(budget);
    return account == nullptr ? nullptr : &account->amounts;
  }

  std::vector<Holding> HoldingsOf(const BudgetId& budget) const override {
    std::vector<Holding> holdings;
    const Account* account = m_tables.accounts.Find(budget);
    if (account == nullptr) return holdings;
    for (const Grant& grant : account->Grants()) {
      holdings.push_back({m_tables.runs[grant.run].id, grant.tokens,
                          grant.OpenedTokens(), grant.standing, grant.dead,
                          grant.demand_per_second});
    }
    return holdings;
  }

  const wire::PlanT* FindPlan(const std::string& plan) const override {
    const auto found = m_tables.plans.find(plan);
    return found == m_tables.plans.end() ? nullptr : &found->second.plan;
  }

  bool KnowsTopUp(const std::string& top_up) const override {
    return m_tables.top_ups.contains(top_up);
  }

  std::vector<wire::OrderT> Orders() const override { return m_tables.orders; }

  std::vector<wire::SuspectAnswerT> Quarantined(WallMs now) const override {
    std::vector<wire::SuspectAnswerT> entries;
    for (const auto& [hash, suspect] : m_tables.suspects) {
      const wire::SuspectAnswerT entry = SuspectAnswerOf(hash, suspect, now);
      if (entry.blocked_ms > 0 || entry.suspected) entries.push_back(entry);
    }
    return entries;
  }

  std::vector<HostEntry> Hosts() const override {
    std::vector<HostEntry> entries;
    for (const auto& [id, host] : m_tables.hosts)
      entries.push_back({m_tables.runs[host.run].id, host.registered});
    return entries;
  }

  std::vector<TeamDay> Report(const TeamId& team, int64_t first_day,
                              int64_t last_day) const override {
    std::vector<TeamDay> lines;
    for (const auto& [key, day] : m_tables.days) {
      const bool wanted = (team.empty() || key.first == team) &&
                          first_day <= key.second && key.second <= last_day;
      if (wanted) lines.push_back(day);
    }
    return lines;
  }

  std::vector<std::string> Disagreements() const override {
    return FindDisagreements(m_tables);
  }

  PublishedRoutes GetPublished() const override {
    return {m_tables.published.version, m_tables.published.document};
  }

  std::vector<wire::RoutesStepT> RouteDeltasSince(
      uint64_t version) const override {
    const auto& steps = m_tables.published.steps;
    const auto first =
        std::ranges::find(steps, version, &wire::RoutesStepT::base);
    return {first, steps.end()};
  }

  BudgetAccount PublishedSums() const override {
    BudgetAccount sums;
    for (const BudgetId& budget : PublishedBudgets()) {
      const BudgetAccount& amounts = m_tables.accounts.Find(budget)->amounts;
      sums.purchased += amounts.purchased;
      sums.settled += amounts.settled;
      sums.billed += amounts.billed;
      sums.granted += amounts.granted;
      sums.lost += amounts.lost;
    }
    return sums;
  }

  std::vector<BudgetId> PublishedBudgets() const override {
    std::vector<BudgetId> budgets;
    for (const auto& [team, total] : m_tables.published.totals)
      budgets.push_back(team);
    return budgets;
  }

  WallMs LastStamp() const override { return m_tables.last_stamp; }

 private:
  void RefuseStale(const wire::CommandIdT& id, wire::CommandAnswerT& answer) {
    Refuse(answer, ErrorKind::kStaleIncarnation,
           "a newer run of this host is known, or it was retired");
    const auto known = m_tables.hosts.find(id.host);
    if (known == m_tables.hosts.end()) return;
    answer.newest_incarnation = m_tables.runs[known->second.run].id.incarnation;
  }

  wire::CommandAnswerT ApplyOne(const wire::CommandT& command) {
    ++m_tables.commands_applied;
    wire::CommandAnswerT answer;
    if (command.id == nullptr) {
      Refuse(answer, ErrorKind::kBadFrame, "command without an id");
      return answer;
    }
    answer.id = std::make_unique<wire::CommandIdT>(*command.id);
    if (AdmitIncarnation(*command.id))
      ApplyOnce(command, answer);
    else
      ApplyFromDeadIncarnation(command, answer);
    return answer;
  }

  // Whether the command is from the newest incarnation of its host. The first
  // command of a newer incarnation records it and marks the one before as dead.
  bool AdmitIncarnation(const wire::CommandIdT& id) {
    const HostRun run{id.host, id.incarnation};
    const auto known = m_tables.hosts.find(id.host);
    if (known != m_tables.hosts.end()) {
      const HostIncarnation& newest = m_tables.runs[known->second.run];
      if (run.incarnation < newest.id.incarnation) return false;
      if (run.incarnation == newest.id.incarnation) return !newest.dead;
      if (!newest.dead)
        MarkIncarnationDead(m_tables, known->second.run, m_recover);
    }
    const auto number = static_cast<IncarnationIndex>(m_tables.runs.size());
    m_tables.runs.push_back({run, false, false, m_tables.last_stamp});
    m_tables.incarnation_indexes[run] = number;
    Host fresh;
    fresh.run = number;
    m_tables.hosts[id.host] = std::move(fresh);
    return true;
  }

  void ApplyOnce(const wire::CommandT& command, wire::CommandAnswerT& answer) {
    Host& host = m_tables.hosts[command.id->host];
    const Resend resend = FindKeptAnswer(host, command, answer);
    if (resend == Resend::kTooOld)
      Refuse(answer, ErrorKind::kResendTooOld, "its answer is no longer kept");
    if (resend != Resend::kNew) return;
    m_tables.runs[host.run].last_command = m_tables.last_stamp;
    Context context{m_tables, *command.id, host.run, m_tables.last_stamp,
                    m_recover};
    ApplyBody(context, command.body, answer);
    DropAnswersBelow(
        host, std::min(command.id->answered_below, command.id->sequence));
    KeepAnswer(host, answer, m_tables.options.max_kept_answers);
  }

  // From a dead incarnation only settlements are applied, which a replica kept
  // for it. Duplicates are recognised by their attempts.
  void ApplyFromDeadIncarnation(const wire::CommandT& command,
                                wire::CommandAnswerT& answer) {
    const std::optional<IncarnationIndex> run =
        m_tables.FindIncarnation({command.id->host, command.id->incarnation});
    if (!run || command.body.type != wire::CommandBody::Settle)
      return RefuseStale(*command.id, answer);
    Context context{m_tables, *command.id, *run, m_tables.last_stamp,
                    m_recover};
    ApplyBody(context, command.body, answer);
  }

  Tables m_tables;
  RecoverGrant m_recover;
};

}  // namespace

std::unique_ptr<State> MakeStateWith(const StateOptions& options,
                                     RecoverGrant recover) {
  return std::make_unique<StateCore>(options, recover);
}

std::unique_ptr<State> MakeState(const StateOptions& options) {
  return MakeStateWith(options, &RecoverDeadGrant<SafetyRules>);
}

}  // namespace dotterelshift::state
