#include <algorithm>  // for find_if, lower_bound
#include <iterator>   // for begin, end, size

#include "dotterelshift/state/apply.h"     // for Apply
#include "dotterelshift/state/grants.h"    // for FindGrant
#include "dotterelshift/state/requests.h"  // for FindAttempt

namespace dotterelshift::state {
namespace {

// The incarnation that spent the tokens: the sender, unless it settles the
// spool of another incarnation.
std::optional<IncarnationIndex> Spender(const Context& context,
                                        const wire::SettleT& settle) {
  if (settle.holder.empty()) return context.run;
  return context.tables.FindIncarnation(
      {settle.holder, settle.holder_incarnation});
}

// Ends the committed opening of the attempt. Returns false if it had none.
bool CloseOpening(Grant& grant, uint64_t attempt) {
  const auto found = std::find_if(
      grant.openings.begin(), grant.openings.end(),
      [attempt](const Opening& o) { return o.attempt == attempt; });
  if (found == grant.openings.end()) return false;
  grant.openings.erase(found);
  return true;
}

// What the settlement adds to the spend. The openings of a retired incarnation
// were counted as spent in full before.
Tokens UncountedSpend(const Tables& tables, IncarnationIndex spender,
                      const wire::SettleT& settle) {
  const bool written_off = tables.runs[spender].retired && settle.witnessed;
  return written_off ? 0 : settle.spent;
}

// Charges the spend to the holder's grant, then to the free tokens of the
// account, and counts the rest as overdrawn, which only a faulty holder or a
// mistaken retirement causes.
void Charge(Context& context, Account& account, IncarnationIndex spender,
            const wire::SettleT& settle) {
  BudgetAccount& amounts = account.amounts;
  Tokens rest = UncountedSpend(context.tables, spender, settle);
  Grant* grant = FindGrant(account, spender);
  if (grant != nullptr) {
    CloseOpening(*grant, settle.attempt);
    const Tokens charged = std::min(rest, grant->tokens);
    grant->tokens -= charged;
    (grant->dead ? amounts.lost : amounts.granted) -= charged;
    amounts.settled += charged;
    rest -= charged;
    if (!settle.witnessed)
      grant->standing = std::max<Tokens>(0, grant->standing - settle.spent);
    if (grant->dead) ReleaseUncovered(account, *grant, context.recover);
  }
  const Tokens from_free = std::min(rest, amounts.Free());
  amounts.settled += from_free;
  if (rest > from_free)
    context.tables.overdrawn[account.id] += rest - from_free;
  DropIfEmpty(account, spender);
}

void AddToHistogram(std::vector<uint64_t>& counts, int64_t value) {
  constexpr size_t kBuckets = std::size(kTimeBucketsMs);
  counts.resize(kBuckets + 1);
  const auto* bound = std::lower_bound(std::begin(kTimeBucketsMs),
                                       std::end(kTimeBucketsMs), value);
  ++counts[bound - std::begin(kTimeBucketsMs)];
}

void Report(Context& context, const Account& account,
            const wire::SettleT& settle, Tokens spent, bool first_bill) {
  // A settlement may arrive late, from a spool. It counts on the day on which
  // the attempt finished, but never on a day in the future.
  const bool dated =
      settle.finished_ms > 0 && settle.finished_ms <= context.stamp;
  TeamDay& day =
      context.tables.DayOf(context.tables.teams.At(account.team).id,
                           dated ? settle.finished_ms : context.stamp);
  day.spent += spent;
  if (first_bill) day.billed += settle.billed;
  // Requests that were refused without being run are counted by RecordRefusals
  // instead.
  if (!settle.last_attempt || settle.outcome == wire::Outcome::Refused) return;
  ++day.requests;
  if (!first_bill) return;
  ++day.answered;
  const std::string& label =
      settle.request_class.empty() ? "default" : settle.request_class;
  AddToHistogram(day.first_token_ms[label], settle.first_token_ms);
  AddToHistogram(day.total_ms[label], settle.total_ms);
}

// Ends the claim of a request. A request that was not run releases its claim,
// so that a resend may run.
void EndClaim(Tables& tables, const RequestDigest& digest,
              IncarnationIndex spender, const wire::SettleT& settle) {
  ClaimEntry* claim = FindClaim(tables, digest);
  if (claim == nullptr || !settle.last_attempt || claim->run != spender) return;
  // A duplicate settlement of an earlier claim does not concern this one.
  if (settle.claim != 0 && settle.claim != claim->attempt) return;
  if (settle.unknown) {
    claim->progress = ClaimProgress::kUnknown;
    return;
  }
  if (settle.outcome == wire::Outcome::Refused)
    return EraseClaim(tables, digest);
  claim->progress = ClaimProgress::kRan;
}

bool HasValidAmounts(const wire::SettleT& settle) {
  return IsValidAmount(settle.spent) && IsValidAmount(settle.billed) &&
         IsValidAmount(settle.reserved) && settle.billed <= settle.spent;
}

}  // namespace

void Apply(Context& context, const wire::SettleT& settle,
           wire::CommandAnswerT& answer) {
  Tables& tables = context.tables;
  Account* account = tables.accounts.Find(settle.budget);
  if (account == nullptr)
    return Refuse(answer, ErrorKind::kNoBudget, settle.budget);
  if (!HasValidAmounts(settle))
    return Refuse(answer, ErrorKind::kBadFrame, "amount out of range");
  const std::optional<IncarnationIndex> spender = Spender(context, settle);
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
  Report(context, *account, settle, UncountedSpend(tables, *spender, settle),
         body.first_bill);
  AddAttempt(tables, digest, settle.request_key,
             {settle.attempt, *spender, body.first_bill});
  Answer(answer, body);
}

}  // namespace dotterelshift::state
