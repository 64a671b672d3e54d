#include "scenarios/expectations.h"

#include <array>  // for array

namespace dotterelshift::scenarios {
namespace {

// The outcome of a request, as named in scripts.
std::string NameOf(const RequestRecord& record) {
  constexpr std::array<std::string_view, 4> kNames = {"open", "answered", "",
                                                      "lost"};
  if (record.outcome == Outcome::kFailed)
    return std::string(RowOf(record.error).name);
  return std::string(kNames.at(static_cast<size_t>(record.outcome)));
}

}  // namespace

void Expectations::Break(const std::string& text) {
  m_world.GetRecords().Break(m_world.GetNetwork().Now(), text);
}

void Expectations::Check(const YAML::Node& what) {
  const StepMap map(m_source, what,
                    {"requests", "outcome", "budget", "amount", "answer",
                     "error", "leader", "ready", "bills", "drained", "versions",
                     "is", "at_least", "at_most", "same_as", "runs"});
  if (map.Has("requests")) return CheckRequests(map);
  if (map.Has("budget")) return CheckBudget(map);
  if (map.Has("answer")) return CheckAnswer(map);
  if (map.Has("leader"))
    return Compare(map, "leaders", m_world.Leader() ? 1 : 0);
  if (map.Has("ready")) return CheckReady(map);
  if (map.Has("bills"))
    return m_world.GetRecords().CheckBills(m_world.GetNetwork().Now());
  if (map.Has("drained"))
    return Compare(map, "drained",
                   m_world.FindEntry(map.Word("drained"))->Drained());
  if (map.Has("versions")) return CheckVersions();
  m_source.Refuse(what, "nothing is expected", "an expectation");
}

// Compares a value with the fields `is`, `at_least` and `at_most`; without any
// of them, with 1.
void Expectations::Compare(const StepMap& map, const std::string& what,
                           int64_t value) {
  const bool bounded = map.Has("at_least") || map.Has("at_most");
  bool good = bounded || value == map.Number("is", 1);
  good = good && value >= map.Number("at_least", value);
  good = good && value <= map.Number("at_most", value);
  if (!good) Break(what + ": " + std::to_string(value) + " is not as expected");
}

void Expectations::CheckRequests(const StepMap& map) {
  const std::string group = map.Word("requests");
  const auto records = m_world.GetRecords().Group(group);
  if (map.Has("runs")) {
    int64_t runs = 0;
    for (const RequestRecord* record : records) runs += record->runs;
    return Compare(map, group + " runs", runs);
  }
  const std::string outcome = map.Word("outcome", "answered");
  int64_t count = 0;
  for (const RequestRecord* record : records)
    count += NameOf(*record) == outcome ? 1 : 0;
  if (map.Word("is") == "all")
    return CompareAll(group + " " + outcome, count, records.size());
  Compare(map, group + " " + outcome, count);
}
void Expectations::CompareAll(const std::string& what, size_t count,
                              size_t all) {
  if (count == all && all > 0) return;
  Break(what + ": " + std::to_string(count) + " of " + std::to_string(all));
}
void Expectations::CheckBudget(const StepMap& map) {
  const std::string id = map.Word("budget");
  const std::string amount = map.Word("amount");
  const ControlHost* leader = m_world.Leader();
  const state::BudgetAccount* account =
      leader ? leader->GetState().FindAccount(id) : nullptr;
  if (!account) return Break("no account " + id);
  if (amount == "consumed")
    return Compare(map, id, m_world.GetRecords().Consumed(id));
  if (amount == "bought") return Compare(map, id, account->purchased);
  if (amount == "spent") return Compare(map, id, account->settled);
  if (amount == "billed") return Compare(map, id, account->billed);
  if (amount == "granted") return Compare(map, id, account->granted);
  if (amount == "stranded") return Compare(map, id, account->lost);
  if (amount == "free") return Compare(map, id, account->Free());
  m_source.Refuse(map.At("amount"), "unknown amount", "an amount");
}

void Expectations::CheckAnswer(const StepMap& map) {
  const OperatorAnswer& answer = m_world.AnswerOf(map.Word("answer"));
  const std::string expected = map.Word("error", "none");
  const std::string got = !answer.answered ? "no answer"
                          : answer.error == ErrorKind::kNone
                              ? "none"
                              : std::string(RowOf(answer.error).name);
  if (got != expected)
    Break(map.Word("answer") + " got " + got + ": " + answer.detail);
  if (!map.Has("same_as")) return;
  if (answer.version != m_world.AnswerOf(map.Word("same_as")).version)
    Break("the answers differ");
}

void Expectations::CheckReady(const StepMap& map) {
  int64_t ready = 0;
  for (const std::string& name : m_world.EntryNames())
    ready += m_world.FindEntry(name)->Ready() ? 1 : 0;
  Compare(map, "ready entries", ready);
}

// Checks that every ready entry has the leader's configuration version.
void Expectations::CheckVersions() {
  const ControlHost* leader = m_world.Leader();
  if (!leader) return Break("no leader");
  const uint64_t version = leader->GetState().GetConfiguration().Version();
  for (const std::string& name : m_world.EntryNames()) {
    const EntryHost* entry = m_world.FindEntry(name);
    if (entry->Ready() && entry->Version() != version)
      Break(name + " has an old version");
  }
}

}  // namespace dotterelshift::scenarios
