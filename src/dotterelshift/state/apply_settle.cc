#include <algorithm>  // for find_if, lower_bound
#include <iterator>   // for begin, end, size

#include "dotterelshift/state/apply.h"     // for Apply
#include "dotterelshift/state/grants.h"    // for FindGrant
#include "dotterelshift/state/requests.h"  // for FindAttempt

namespace dotterelshift::state {
namespace {

// The run that spent: the sender, unless a spool is settled for another.
std::optional<RunNumber> Spender(const Context& context,
                                 const wire::SettleT& settle) {
  if (settle.holder.empty()) return context.run;
  return context.tables.FindRun({settle.holder, settle.holder_incarnation});
}

// True when the attempt had a committed opening; it ends here.
bool EndOpening(Grant& grant, uint64_t attempt) {
  const auto found = std::find_if(
      grant.openings.begin(), grant.openings.end(),
      [attempt](const Opening& o) { return o.attempt == attempt; });
  if (found == grant.openings.end()) return false;
  grant.openings.erase(found);
  return true;
}

// What the settlement adds to the spend: the openings of a retired run were
// written off in full before.
Tokens Uncounted(const Tables& tables, RunNumber spender,
                 const wire::SettleT& settle) {
  const bool written_off = tables.runs[spender].retired && settle.witnessed;
  return written_off ? 0 : settle.spent;
}

// Takes what was spent out of the holder's grant; of it, what the grant does
// not cover comes out of the free part, and of that, what is not there shows
// as overdrawn: only a faulty holder, or a retirement in error, gets so far.
void Charge(Context& context, Account& account, RunNumber spender,
            const wire::SettleT& settle) {
  BudgetAccount& amounts = account.amounts;
  Tokens rest = Uncounted(context.tables, spender, settle);
  Grant* grant = FindGrant(account, spender);
  if (grant != nullptr) {
    EndOpening(*grant, settle.attempt);
    const Tokens taken = std::min(rest, grant->tokens);
    grant->tokens -= taken;
    (grant->dead ? amounts.lost : amounts.granted) -= taken;
    amounts.settled += taken;
    rest -= taken;
    if (!settle.witnessed)
      grant->standing = std::max<Tokens>(0, grant->standing - settle.spent);
    if (grant->dead) FreeUncovered(account, *grant, context.recover);
  }
  const Tokens from_free = std::min(rest, amounts.Free());
  amounts.settled += from_free;
  if (rest > from_free)
    context.tables.overdrawn[account.id] += rest - from_free;
  DropIfEmpty(account, spender);
}

void Count(std::vector<uint64_t>& counts, int64_t value) {
  constexpr size_t kBuckets = std::size(kTimeBucketsMs);
  counts.resize(kBuckets + 1);
  const auto* bound = std::lower_bound(std::begin(kTimeBucketsMs),
                                       std::end(kTimeBucketsMs), value);
  ++counts[bound - std::begin(kTimeBucketsMs)];
}

void Report(Context& context, const Account& account,
            const wire::SettleT& settle, Tokens spent, bool first_bill) {
  // A settlement may come late out of a spool: it counts on the day it
  // finished, but never on one that is still to come.
  const bool dated =
      settle.finished_ms > 0 && settle.finished_ms <= context.stamp;
  TeamDay& day =
      context.tables.DayOf(context.tables.teams.At(account.team).id,
                           dated ? settle.finished_ms : context.stamp);
  day.spent += spent;
  if (first_bill) day.billed += settle.billed;
  // What was refused without being run is counted by RecordRefusals.
  if (!settle.last_attempt || settle.outcome == wire::Outcome::Refused) return;
  ++day.requests;
  if (!first_bill) return;
  ++day.answered;
  const std::string& label =
      settle.request_class.empty() ? "default" : settle.request_class;
  Count(day.first_token_ms[label], settle.first_token_ms);
  Count(day.total_ms[label], settle.total_ms);
}

// Work that was not run gives its claim up, so that a resend may run.
void EndClaim(Tables& tables, const RequestDigest& digest, RunNumber spender,
              const wire::SettleT& settle) {
  ClaimEntry* claim = FindClaim(tables, digest);
  if (claim == nullptr || !settle.last_attempt || claim->run != spender) return;
  if (settle.unknown) {
    claim->progress = ClaimProgress::kUnknown;
    return;
  }
  if (settle.outcome == wire::Outcome::Refused)
    return EraseClaim(tables, digest);
  claim->progress = ClaimProgress::kRan;
}

bool IsSane(const wire::SettleT& settle) {
  return IsAmount(settle.spent) && IsAmount(settle.billed) &&
         IsAmount(settle.reserved) && settle.billed <= settle.spent;
}

}  // namespace

void Apply(Context& context, const wire::SettleT& settle,
           wire::CommandAnswerT& answer) {
  Tables& tables = context.tables;
  Account* account = tables.accounts.Find(settle.budget);
  if (account == nullptr)
    return Refuse(answer, ErrorKind::kNoBudget, settle.budget);
  if (!IsSane(settle))
    return Refuse(answer, ErrorKind::kBadFrame, "amount out of range");
  const std::optional<RunNumber> spender = Spender(context, settle);
  if (!spender)
    return Refuse(answer, ErrorKind::kStaleIncarnation, "holder not known");

  const RequestDigest digest = DigestOf(settle.team, settle.request_key);
  EndClaim(tables, digest, *spender, settle);
  wire::SettleAnswerT body;
  const SettledAttempt* earlier =
      FindAttempt(tables, digest, *spender, settle.attempt);
  if (earlier != nullptr) {
    body.first_bill = earlier->billed;
    return Answer(answer, body);
  }
  const bool expired =
      IsExpired(tables, digest) && FindClaim(tables, digest) == nullptr;
  const bool billable = settle.outcome == wire::Outcome::Answered && !expired;
  body.first_bill = billable && !IsBilled(tables, digest);
  Charge(context, *account, *spender, settle);
  if (body.first_bill) account->amounts.billed += settle.billed;
  Report(context, *account, settle, Uncounted(tables, *spender, settle),
         body.first_bill);
  AddAttempt(tables, digest, settle.request_key,
             {settle.attempt, *spender, body.first_bill});
  Answer(answer, body);
}

}  // namespace dotterelshift::state
