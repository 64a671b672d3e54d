#include "scenarios/records.h"

#include <array>   // for array
#include <cstdio>  // for snprintf

namespace dotterelshift::scenarios {
namespace {

constexpr size_t kMaxTraceLines = 150;

std::string Label(const RequestRecord& record) {
  return record.group + "#" + std::to_string(record.id);
}

}  // namespace

void Records::Trace(Instant now, const std::string& text) {
  std::array<char, 32> time{};
  std::snprintf(time.data(), time.size(), "%10.4fs ",
                std::chrono::duration<double>(now.time_since_epoch()).count());
  m_trace.push_back(time.data() + text);
  if (m_trace.size() > kMaxTraceLines) m_trace.pop_front();
}

std::string Records::TraceText() const {
  std::string text;
  for (const std::string& line : m_trace) text += line + "\n";
  return text;
}

void Records::Break(Instant now, const std::string& text) {
  Trace(now, "BROKEN: " + text);
  m_violations.push_back(text);
}

RequestRecord& Records::Add(RequestRecord record) {
  const RequestId id = m_requests.size() + 1;
  record.id = id;
  return m_requests[id] = std::move(record);
}

std::vector<const RequestRecord*> Records::Group(
    const std::string& group) const {
  std::vector<const RequestRecord*> found;
  for (const auto& [id, record] : m_requests)
    if (record.group == group) found.push_back(&record);
  return found;
}

void Records::OnRun(RequestId id, const EndpointId& endpoint, Instant now) {
  RequestRecord& record = Of(id);
  ++record.runs;
  Trace(now, Label(record) + " runs on " + endpoint);
  const int runs = ++m_runs_of_key[{record.team, record.key}];
  if (!record.idempotent && runs > 1)
    Break(now, Label(record) + " is not idempotent and ran again");
  if (record.outcome == Outcome::kFailed && RowOf(record.error).ran == Ran::kNo)
    Break(now, Label(record) + " ran after it was refused as not run");
}

void Records::OnConsumed(RequestId id, Tokens tokens) {
  m_consumed[Of(id).budget] += tokens;
}

void Records::OnChunk(RequestId id, RequestId from, AttemptId attempt,
                      Tokens tokens, Instant now) {
  RequestRecord& record = Of(id);
  if (from != id)
    Break(now, Label(record) + " got a piece of #" + std::to_string(from));
  if (record.outcome != Outcome::kOpen)
    Break(now, Label(record) + " got a piece after its end");
  if (record.delivered_attempt != 0 && record.delivered_attempt != attempt)
    Break(now, Label(record) + " got pieces of two attempts");
  record.delivered_attempt = attempt;
  record.received += tokens;
}

void Records::OnAnswered(RequestId id, Instant now) {
  RequestRecord& record = Of(id);
  Trace(now, Label(record) + " is answered by " + record.entry);
  if (record.outcome != Outcome::kOpen)
    Break(now, Label(record) + " has two ends");
  if (!record.service && record.received != record.output) {
    Break(now, Label(record) + " got " + std::to_string(record.received) +
                   " tokens of " + std::to_string(record.output) +
                   " as a whole answer");
  }
  record.outcome = Outcome::kAnswered;
  m_answered.insert({record.team, record.key});
}

void Records::OnFailed(RequestId id, ErrorKind error, Instant now) {
  RequestRecord& record = Of(id);
  Trace(now, Label(record) + " is refused by " + record.entry + ": " +
                 std::string(RowOf(error).name));
  if (record.outcome != Outcome::kOpen)
    Break(now, Label(record) + " has two ends");
  if (RowOf(error).ran == Ran::kNo && record.runs > 0)
    Break(now, Label(record) + " was refused as not run, but ran");
  record.outcome = Outcome::kFailed;
  record.error = error;
  const bool for_tokens = error == ErrorKind::kBudgetExhausted ||
                          error == ErrorKind::kBudgetUnavailable;
  record.false_refusal =
      for_tokens && tokens_left(record.budget) >= record.prompt + record.limit;
}

void Records::OnEntryLost(const std::string& entry) {
  for (auto& [id, record] : m_requests)
    if (record.entry == entry && record.outcome == Outcome::kOpen)
      record.outcome = Outcome::kLost;
}

void Records::OnApplied(uint64_t index, const std::string& payload,
                        const wire::CommandBatchT& batch,
                        const std::vector<wire::CommandAnswerT>& answers,
                        Instant now) {
  const auto [known, first] = m_log.emplace(index, payload);
  if (!first) {
    if (known->second != payload)
      Break(now, "two histories at index " + std::to_string(index));
    return;
  }
  for (size_t i = 0; i < answers.size(); ++i) {
    const wire::SettleAnswerT* answer = answers[i].body.AsSettleAnswer();
    const wire::SettleT* settle = batch.commands[i]->body.AsSettle();
    if (!answer || !settle || !answer->first_bill) continue;
    // A settlement that is resent, directly or from a spool, gets its first
    // answer again, so the bill of an attempt is counted once.
    const std::string attempt = settle->holder + "." +
                                std::to_string(settle->holder_incarnation) +
                                "." + std::to_string(settle->attempt);
    if (!m_billed_attempts.insert(attempt).second) continue;
    const Key key{settle->team, settle->request_key};
    if (++m_bills[key] > 1)
      Break(now, "two bills for key " + key.second + " of " + key.first);
  }
}

Tokens Records::Consumed(const BudgetId& budget) const {
  const auto found = m_consumed.find(budget);
  return found == m_consumed.end() ? 0 : found->second;
}

void Records::Count(int* answered, int* refused, int* false_refusals) const {
  for (const auto& [id, record] : m_requests) {
    *answered += record.outcome == Outcome::kAnswered ? 1 : 0;
    *refused += record.outcome == Outcome::kFailed ? 1 : 0;
    *false_refusals += record.false_refusal ? 1 : 0;
  }
}

void Records::CheckRequests(Instant now) {
  for (const auto& [id, record] : m_requests) {
    if (record.outcome == Outcome::kFailed && record.runs > 0 &&
        RowOf(record.error).ran == Ran::kNo)
      Break(now, Label(record) + " was refused as not run, but ran");
  }
}

void Records::CheckBills(Instant now) {
  for (const Key& key : m_answered) {
    if (m_bills[key] != 1) {
      Break(now, "key " + key.second + " of " + key.first +
                     " is answered and has " + std::to_string(m_bills[key]) +
                     " bills");
    }
  }
}

}  // namespace dotterelshift::scenarios
