#include "dotterelshift/state/snapshot.h"

#include <algorithm>  // for sort
#include <memory>     // for make_unique
#include <utility>    // for move

#include "dotterelshift/base/error.h"               // for Error
#include "dotterelshift/wire/snapshot_generated.h"  // for StateSnapshotT

namespace dotterelshift::state {
namespace {

constexpr uint32_t kFormat = 1;

template <typename Map>
std::vector<typename Map::key_type> SortedKeys(const Map& map) {
  std::vector<typename Map::key_type> keys;
  keys.reserve(map.size());
  for (const auto& entry : map) keys.push_back(entry.first);
  std::sort(keys.begin(), keys.end());
  return keys;
}

// ---- accounts

std::unique_ptr<wire::AccountRecordT> WriteAccount(const Tables& tables,
                                                   const Account& account) {
  auto record = std::make_unique<wire::AccountRecordT>();
  record->budget = account.id;
  record->team = tables.teams.At(account.team).id;
  record->purchased = account.amounts.purchased;
  record->settled = account.amounts.settled;
  record->billed = account.amounts.billed;
  record->granted = account.amounts.granted;
  record->lost = account.amounts.lost;
  const auto overdrawn = tables.overdrawn.find(account.id);
  if (overdrawn != tables.overdrawn.end())
    record->overdrawn = overdrawn->second;
  for (const Grant& grant : account.Grants()) {
    auto holding = std::make_unique<wire::HoldingRecordT>();
    holding->run = grant.run;
    holding->dead = grant.dead;
    holding->tokens = grant.tokens;
    holding->standing = grant.standing;
    holding->demand_per_second = grant.demand_per_second;
    for (const Opening& opening : grant.openings)
      holding->openings.emplace_back(opening.attempt, opening.reserved);
    record->holdings.push_back(std::move(holding));
  }
  return record;
}

void ReadAccount(Tables& tables, const wire::AccountRecordT& record) {
  if (record.budget.empty())
    throw Error(ErrorKind::kStorageDamaged, "snapshot: account without an id");
  Account& account =
      tables.accounts.At(tables.accounts.FindOrAdd(record.budget).first);
  account.team = tables.teams.FindOrAdd(record.team).first;
  account.amounts = {record.purchased, record.settled, record.billed,
                     record.granted, record.lost};
  if (record.overdrawn > 0) tables.overdrawn[record.budget] = record.overdrawn;
  for (const auto& holding : record.holdings) {
    if (holding->run >= tables.runs.size())
      throw Error(ErrorKind::kStorageDamaged,
                  "snapshot: holding of an unknown incarnation");
    Grant grant{holding->run,
                holding->dead,
                holding->tokens,
                holding->standing,
                holding->demand_per_second,
                {}};
    for (const wire::OpeningRecord& opening : holding->openings)
      grant.openings.push_back({opening.attempt(), opening.reserved()});
    account.MutableGrants().push_back(std::move(grant));
  }
}

// ---- incarnations and hosts

void WriteRuns(const Tables& tables, wire::StateSnapshotT* snapshot) {
  for (const HostIncarnation& run : tables.runs) {
    auto record = std::make_unique<wire::RunRecordT>();
    record->host = run.id.host;
    record->incarnation = run.id.incarnation;
    record->dead = run.dead;
    record->retired = run.retired;
    record->heard_ms = run.last_command;
    snapshot->runs.push_back(std::move(record));
  }
  for (const auto& [id, host] : tables.hosts) {
    auto record = std::make_unique<wire::HostRecordT>();
    record->host = id;
    record->run = host.run;
    record->registered = std::make_unique<wire::RegisterHostT>(host.registered);
    record->floor = host.floor;
    for (const KeptAnswer& kept : host.answers)
      record->answers.emplace_back(kept.sequence, kept.error, kept.type,
                                   kept.value);
    for (const auto& [sequence, answer] : host.long_answers)
      record->long_answers.push_back(
          std::make_unique<wire::CommandAnswerT>(answer));
    snapshot->hosts.push_back(std::move(record));
  }
}

Host ReadHost(const wire::HostRecordT& record) {
  Host host;
  host.run = record.run;
  if (record.registered != nullptr) host.registered = *record.registered;
  host.floor = record.floor;
  for (const wire::KeptAnswerRecord& kept : record.answers)
    host.answers.push_back(
        {kept.sequence(), kept.error(), kept.type(), kept.value()});
  for (const auto& answer : record.long_answers)
    if (answer->id != nullptr)
      host.long_answers[answer->id->sequence] = *answer;
  return host;
}

void ReadRuns(const wire::StateSnapshotT& snapshot, Tables& tables) {
  for (const auto& record : snapshot.runs) {
    const HostRun run{record->host, record->incarnation};
    tables.incarnation_indexes[run] =
        static_cast<IncarnationIndex>(tables.runs.size());
    tables.runs.push_back(
        {run, record->dead, record->retired, record->heard_ms});
  }
  for (const auto& record : snapshot.hosts) {
    if (record->run >= tables.runs.size())
      throw Error(ErrorKind::kStorageDamaged,
                  "snapshot: host with an unknown incarnation");
    tables.hosts[record->host] = ReadHost(*record);
  }
}

// ---- requests

wire::AttemptRecord RecordOf(const RequestDigest& digest,
                             const SettledAttempt& attempt) {
  return {digest.low, digest.high, attempt.attempt, attempt.run,
          attempt.billed};
}

std::unique_ptr<wire::RequestPeriodT> WritePeriod(const RequestPeriod& period) {
  auto record = std::make_unique<wire::RequestPeriodT>();
  record->start_ms = period.start;
  record->aged = period.aged;
  record->expired = period.caller_keys;
  record->attempts.reserve(period.settled.size());
  for (const RequestDigest& digest : SortedKeys(period.settled)) {
    record->attempts.push_back(RecordOf(digest, period.settled.at(digest)));
    const auto again = period.settled_again.find(digest);
    if (again == period.settled_again.end()) continue;
    for (const SettledAttempt& attempt : again->second)
      record->attempts.push_back(RecordOf(digest, attempt));
  }
  for (const RequestDigest& digest : SortedKeys(period.claims)) {
    const ClaimEntry& claim = period.claims.at(digest);
    record->claims.emplace_back(digest.low, digest.high, claim.body_hash,
                                claim.attempt, claim.run,
                                static_cast<uint8_t>(claim.progress));
  }
  return record;
}

RequestPeriod ReadPeriod(const wire::RequestPeriodT& record) {
  RequestPeriod period;
  period.start = record.start_ms;
  period.aged = record.aged;
  period.caller_keys = record.expired;
  period.settled.reserve(record.attempts.size());
  for (const wire::AttemptRecord& attempt : record.attempts) {
    const RequestDigest digest{attempt.key_low(), attempt.key_high()};
    const SettledAttempt settled{attempt.attempt(), attempt.run(),
                                 attempt.billed()};
    if (!period.settled.emplace(digest, settled).second)
      period.settled_again[digest].push_back(settled);
  }
  for (const wire::ClaimRecord& claim : record.claims) {
    period.claims[{claim.key_low(), claim.key_high()}] = {
        claim.body_hash(), claim.attempt(), claim.run(),
        static_cast<ClaimProgress>(claim.progress())};
  }
  return period;
}

// ---- suspects, plans, days

std::unique_ptr<wire::SuspectRecordT> WriteSuspect(uint64_t hash,
                                                   const Suspect& suspect) {
  auto record = std::make_unique<wire::SuspectRecordT>();
  record->content_hash = hash;
  for (const auto& [run, team] : suspect.runs) {
    record->endpoints.push_back(run);
    if (suspect.shared) record->teams.push_back(team);
  }
  record->alone = suspect.alone;
  record->shared = suspect.shared;
  record->blocks = suspect.blocks;
  record->trial_run = suspect.trial_run;
  record->trial_until_ms = suspect.trial_until;
  record->last_ms = suspect.last;
  record->quarantined_until_ms = suspect.quarantined_until;
  return record;
}

std::unique_ptr<wire::PlanRecordT> WritePlan(const StoredPlan& stored) {
  auto record = std::make_unique<wire::PlanRecordT>();
  record->plan = std::make_unique<wire::PlanT>(stored.plan);
  record->stored_ms = stored.stored;
  record->confirmed_ms = stored.confirmed;
  record->version = stored.version;
  record->has_body = stored.has_body;
  return record;
}

void ReadPlans(const wire::StateSnapshotT& snapshot, Tables& tables) {
  for (const auto& record : snapshot.plans) {
    if (record->plan == nullptr)
      throw Error(ErrorKind::kStorageDamaged,
                  "snapshot: plan record without a plan");
    const std::string& id = record->plan->id;
    if (record->version != 0) tables.plan_by_version[record->version] = id;
    tables.plans[id] = {*record->plan, record->stored_ms, record->confirmed_ms,
                        record->version, record->has_body};
  }
}

using Histograms = std::map<std::string, std::vector<uint64_t>>;
using HistogramRecords = std::vector<std::unique_ptr<wire::HistogramRecordT>>;

HistogramRecords WriteHistograms(const Histograms& histograms) {
  HistogramRecords records;
  for (const auto& [label, counts] : histograms) {
    records.push_back(std::make_unique<wire::HistogramRecordT>());
    records.back()->request_class = label;
    records.back()->counts = counts;
  }
  return records;
}

Histograms ReadHistograms(const HistogramRecords& records) {
  Histograms histograms;
  for (const auto& record : records)
    histograms[record->request_class] = record->counts;
  return histograms;
}

std::unique_ptr<wire::DayRecordT> WriteDay(const TeamDay& day) {
  auto record = std::make_unique<wire::DayRecordT>();
  record->team = day.team;
  record->day = day.day;
  record->requests = day.requests;
  record->answered = day.answered;
  record->spent = day.spent;
  record->billed = day.billed;
  for (const auto& [error, refusals] : day.refusals) {
    auto refusal = std::make_unique<wire::RefusalRecordT>();
    refusal->error = error;
    refusal->with_budget_left = refusals.with_budget_left;
    refusal->without_budget_left = refusals.without_budget_left;
    record->refusals.push_back(std::move(refusal));
  }
  record->first_token_ms = WriteHistograms(day.first_token_ms);
  record->total_ms = WriteHistograms(day.total_ms);
  return record;
}

TeamDay ReadDay(const wire::DayRecordT& record) {
  TeamDay day;
  day.team = record.team;
  day.day = record.day;
  day.requests = record.requests;
  day.answered = record.answered;
  day.spent = record.spent;
  day.billed = record.billed;
  for (const auto& refusal : record.refusals)
    day.refusals[refusal->error] = {refusal->with_budget_left,
                                    refusal->without_budget_left};
  day.first_token_ms = ReadHistograms(record.first_token_ms);
  day.total_ms = ReadHistograms(record.total_ms);
  return day;
}

// ---- complete snapshot

void WriteRest(const Tables& tables, wire::StateSnapshotT* snapshot) {
  for (const auto& [hash, suspect] : tables.suspects)
    snapshot->suspects.push_back(WriteSuspect(hash, suspect));
  for (const auto& [id, stored] : tables.plans)
    snapshot->plans.push_back(WritePlan(stored));
  snapshot->top_ups.assign(tables.top_ups.begin(), tables.top_ups.end());
  for (const wire::OrderT& order : tables.orders)
    snapshot->orders.push_back(std::make_unique<wire::OrderT>(order));
  for (const auto& [key, day] : tables.days)
    snapshot->days.push_back(WriteDay(day));
}

void ReadRest(const wire::StateSnapshotT& snapshot, Tables& tables) {
  for (const auto& record : snapshot.suspects) {
    Suspect& suspect = tables.suspects[record->content_hash];
    for (size_t i = 0; i < record->endpoints.size(); ++i) {
      const uint64_t team = i < record->teams.size() ? record->teams[i] : 0;
      suspect.runs.emplace(record->endpoints[i], team);
    }
    suspect.alone = record->alone;
    suspect.shared = record->shared;
    suspect.blocks = record->blocks;
    suspect.trial_run = record->trial_run;
    suspect.trial_until = record->trial_until_ms;
    suspect.last = record->last_ms;
    suspect.quarantined_until = record->quarantined_until_ms;
  }
  ReadPlans(snapshot, tables);
  tables.top_ups.insert(snapshot.top_ups.begin(), snapshot.top_ups.end());
  for (const auto& order : snapshot.orders) tables.orders.push_back(*order);
  for (const auto& record : snapshot.days)
    tables.days[{record->team, record->day}] = ReadDay(*record);
}

void ReadConfiguration(const wire::StateSnapshotT& snapshot, Tables& tables) {
  std::vector<wire::ChangeT> changes;
  changes.reserve(snapshot.configuration.size());
  for (const auto& change : snapshot.configuration) changes.push_back(*change);
  tables.configuration.Apply(changes, snapshot.version);
}

std::unique_ptr<wire::PublishedRecordT> WritePublished(
    const Published& published) {
  auto record = std::make_unique<wire::PublishedRecordT>();
  record->version = published.version;
  record->document.assign(published.document.begin(), published.document.end());
  for (const auto& [team, tokens] : published.totals) {
    auto total = std::make_unique<wire::TeamTotalT>();
    total->team = team;
    total->tokens = tokens;
    record->totals.push_back(std::move(total));
  }
  return record;
}

Published ReadPublished(const wire::PublishedRecordT& record) {
  Published published;
  published.version = record.version;
  published.document.assign(record.document.begin(), record.document.end());
  for (const auto& total : record.totals)
    published.totals[total->team] = total->tokens;
  return published;
}

}  // namespace

std::string WriteSnapshot(const Tables& tables) {
  wire::StateSnapshotT snapshot;
  snapshot.format = kFormat;
  snapshot.last_stamp_ms = tables.last_stamp;
  snapshot.commands_applied = tables.commands_applied;
  snapshot.version = tables.configuration.Version();
  for (wire::ChangeT& change : tables.configuration.AsChanges())
    snapshot.configuration.push_back(
        std::make_unique<wire::ChangeT>(std::move(change)));
  std::vector<BudgetId> budgets;
  for (const auto& [budget, account] : tables.accounts)
    budgets.push_back(budget);
  std::sort(budgets.begin(), budgets.end());
  for (const BudgetId& budget : budgets)
    snapshot.accounts.push_back(
        WriteAccount(tables, *tables.accounts.Find(budget)));
  WriteRuns(tables, &snapshot);
  for (const RequestPeriod& period : tables.requests)
    snapshot.requests.push_back(WritePeriod(period));
  WriteRest(tables, &snapshot);
  snapshot.published = WritePublished(tables.published);

  flatbuffers::FlatBufferBuilder builder;
  wire::FinishStateSnapshotBuffer(
      builder, wire::StateSnapshot::Pack(builder, &snapshot));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

Tables ReadSnapshot(std::string_view bytes, const StateOptions& options) {
  flatbuffers::Verifier::Options limits;
  limits.max_tables = 100'000'000;
  flatbuffers::Verifier verifier(reinterpret_cast<const uint8_t*>(bytes.data()),
                                 bytes.size(), limits);
  if (!wire::VerifyStateSnapshotBuffer(verifier))
    throw Error(ErrorKind::kStorageDamaged, "snapshot: truncated or damaged");
  wire::StateSnapshotT snapshot;
  wire::GetStateSnapshot(bytes.data())->UnPackTo(&snapshot);
  if (snapshot.format != kFormat)
    throw Error(ErrorKind::kStorageDamaged, "snapshot: unknown format");

  Tables tables;
  tables.options = options;
  tables.last_stamp = snapshot.last_stamp_ms;
  tables.commands_applied = snapshot.commands_applied;
  ReadConfiguration(snapshot, tables);
  ReadRuns(snapshot, tables);
  for (const auto& record : snapshot.accounts) ReadAccount(tables, *record);
  for (const auto& period : snapshot.requests)
    tables.requests.push_back(ReadPeriod(*period));
  ReadRest(snapshot, tables);
  if (snapshot.published != nullptr)
    tables.published = ReadPublished(*snapshot.published);
  return tables;
}

}  // namespace dotterelshift::state
