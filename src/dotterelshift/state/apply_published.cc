#include <optional>  // for optional
#include <utility>   // for move

#include "dotterelshift/state/apply.h"            // for Apply
#include "dotterelshift/state/grants.h"           // for GrantOf
#include "dotterelshift/state/packed_document.h"  // for UnpackDocument

namespace dotterelshift::state {
namespace {

// Under published totals, the budget of a team has the name of the team.
Account& AccountOf(Tables& tables, const TeamId& team) {
  Account& account = tables.accounts.At(tables.accounts.FindOrAdd(team).first);
  account.team = tables.teams.FindOrAdd(team).first;
  return account;
}

// Number of deltas kept for entries that are some versions behind.
constexpr size_t kMaxDeltas = 32;

// Larger deltas are not kept: sending the full document takes no longer.
constexpr size_t kMaxDeltaBytes = 32 << 10;

// The document that a command publishes. Throws Error(kVersionMoved) if it is a
// delta from a version other than the current one, and Error(kBadFrame) if it
// cannot be decoded.
std::string DocumentOf(const Published& published,
                       const wire::PublishRoutesT& command) {
  if (command.packed.empty())
    return {command.document.begin(), command.document.end()};
  if (command.base == 0) return UnpackDocument(command.packed, {});
  if (command.base != published.version)
    throw Error(ErrorKind::kVersionMoved,
                "version in force: " + std::to_string(published.version));
  return UnpackDocument(command.packed, published.document);
}

void AppendDelta(Published& published, const wire::PublishRoutesT& command) {
  const bool is_kept =
      command.base > 0 && command.packed.size() <= kMaxDeltaBytes;
  if (!is_kept) return published.steps.clear();
  wire::RoutesStepT step;
  step.base = command.base;
  step.version = command.version;
  step.packed = command.packed;
  published.steps.push_back(std::move(step));
  if (published.steps.size() > kMaxDeltas) published.steps.pop_front();
}

void ApplyTotals(Tables& tables, const wire::PublishRoutesT& command) {
  tables.published.totals.clear();
  for (const auto& total : command.totals) {
    if (total == nullptr || !IsValidAmount(total->tokens)) continue;
    tables.published.totals[total->team] = total->tokens;
    AccountOf(tables, total->team).amounts.purchased = total->tokens;
  }
}

}  // namespace

// The highest version wins. A command that does not raise the version is
// answered with the current one, so that a resend gets the same answer as the
// first time.
void Apply(Context& context, const wire::PublishRoutesT& command,
           wire::CommandAnswerT& answer) {
  Published& published = context.tables.published;
  if (command.version > published.version) {
    try {
      published.document = DocumentOf(published, command);
    } catch (const Error& error) {
      return Refuse(answer, error.Kind(), error.what());
    }
    AppendDelta(published, command);
    published.version = command.version;
    ApplyTotals(context.tables, command);
  }
  wire::RoutesAnswerT body;
  body.version = published.version;
  Answer(answer, body);
}

// Moves the tokens that a holder has spent out of its grant. Entries transfer
// tokens to each other and spend them before control is notified, so the grant
// of the receiver may be below zero until the sender's MoveGrant arrives. The
// sum over all grants is exact.
void Apply(Context& context, const wire::ReportSpendT& command,
           wire::CommandAnswerT& answer) {
  Tables& tables = context.tables;
  Account* account = tables.accounts.Find(command.budget);
  if (account == nullptr)
    return Refuse(answer, ErrorKind::kNoBudget, command.budget);
  if (!IsValidAmount(command.spent))
    return Refuse(answer, ErrorKind::kBadFrame, "amount out of range");
  BudgetAccount& amounts = account->amounts;
  Grant& grant = GrantOf(*account, context.run);
  grant.tokens -= command.spent;
  grant.standing -= command.spent;
  amounts.granted -= command.spent;
  amounts.settled += command.spent;
  amounts.billed += command.spent;
  TeamDay& day = tables.DayOf(tables.teams.At(account->team).id, context.stamp);
  day.spent += command.spent;
  day.billed += command.spent;
  day.requests += command.requests;
  day.answered += command.answered;
  DropIfEmpty(*account, context.run);
  Answer(answer, wire::DoneAnswerT());
}

// Tokens transferred to a dead incarnation are lost. A receiver that has not
// registered may already spend its tokens. Its grant is then below zero, and
// the tokens still counted for the sender compensate for that.
void Apply(Context& context, const wire::MoveGrantT& command,
           wire::CommandAnswerT& answer) {
  Tables& tables = context.tables;
  Account* account = tables.accounts.Find(command.budget);
  if (account == nullptr)
    return Refuse(answer, ErrorKind::kNoBudget, command.budget);
  const std::optional<IncarnationIndex> receiver =
      tables.FindIncarnation({command.to_host, command.to_incarnation});
  if (!receiver)
    return Refuse(answer, ErrorKind::kBadField, "receiver not known");
  if (!IsValidAmount(command.tokens))
    return Refuse(answer, ErrorKind::kBadFrame, "amount out of range");
  Grant& from = GrantOf(*account, context.run);
  from.tokens -= command.tokens;
  from.standing -= command.tokens;
  Grant& to = GrantOf(*account, *receiver);
  to.dead = tables.runs[*receiver].dead;
  to.tokens += command.tokens;
  to.standing += command.tokens;
  if (to.dead) {
    account->amounts.granted -= command.tokens;
    account->amounts.lost += command.tokens;
  }
  DropIfEmpty(*account, context.run);
  DropIfEmpty(*account, *receiver);
  Answer(answer, wire::DoneAnswerT());
}

// Each item is applied independently. If one is refused because its budget or
// receiver is not known, its tokens stay with the sender.
void Apply(Context& context, const wire::ReportHoldingsT& command,
           wire::CommandAnswerT& answer) {
  wire::CommandAnswerT item_answer;
  for (const auto& spend : command.spends)
    if (spend != nullptr) Apply(context, *spend, item_answer);
  for (const auto& move : command.moves)
    if (move != nullptr) Apply(context, *move, item_answer);
  Answer(answer, wire::DoneAnswerT());
}

}  // namespace dotterelshift::state
