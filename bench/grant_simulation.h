#ifndef DOTTERELSHIFT_BENCH_GRANT_SIMULATION_H_
#define DOTTERELSHIFT_BENCH_GRANT_SIMULATION_H_

#include <algorithm>  // for max
#include <cmath>      // for log
#include <iostream>   // for cout
#include <memory>     // for make_unique
#include <queue>      // for priority_queue
#include <random>     // for mt19937_64
#include <string>     // for to_string
#include <utility>    // for move
#include <vector>     // for vector

#include "dotterelshift/budget/recall_core.h"   // for RecallCore
#include "dotterelshift/state/state.h"          // for State
#include "dotterelshift/state/state_testing.h"  // for SettlementOf
#include "grant_simulation_types.h"             // for Deployment

namespace dotterelshift::bench {

using budget::GrantAdjustment;
using budget::ReserveResult;

inline constexpr Duration kOneWayLatency = 1500us;  // between data centres
inline constexpr Duration kCommitLatency = 3ms;  // one round trip to a quorum
inline constexpr Duration kMinute = 60s;
inline constexpr Duration kRun = 20 * kMinute;
inline constexpr Duration kPartitionStart = 5 * kMinute;
inline constexpr Duration kPartitionDuration = 6 * kMinute;
inline constexpr Duration kTopUpTime = 8 * kMinute;  // during the partition
inline constexpr Duration kRestartDelay = 5s;
inline constexpr Duration kRetryInterval = 100ms;
inline constexpr size_t kTeams = 10;

// Discrete-event simulation of one deployment under one variant, with a
// simulated clock.
class Simulation {
 public:
  Simulation(const Deployment& deployment, const Variant& variant)
      : m_deployment(deployment), m_variant(variant), m_random(7) {}

  Figures Run() {
    SetUp();
    const Instant end = m_start + kRun;
    while (!m_events.empty() && m_events.top().at <= end) {
      const Event event = m_events.top();
      m_events.pop();
      m_now = event.at;
      event.run();
    }
    Close();
    return std::move(m_figures);
  }

 private:
  static BudgetId BudgetOf(size_t team) { return "b" + std::to_string(team); }
  double Uniform() { return static_cast<double>(m_random() >> 11) * 0x1.0p-53; }
  void At(Instant when, std::function<void()> run) {
    m_events.push({when, ++m_event_number, std::move(run)});
  }
  void After(Duration delay, std::function<void()> run) {
    At(m_now + delay, std::move(run));
  }
  double RateOf(size_t team) const {
    return team < m_deployment.large_teams ? m_deployment.large_rate
                                           : m_deployment.small_rate;
  }

  // ---- schedule of the run

  void SetUp() {
    m_state = state::MakeState();
    m_operator = state::TestSender(m_state.get(), "control", 1);
    m_consumed.assign(kTeams, 0);
    m_reserved.assign(kTeams, 0);
    for (size_t team = 0; team < kTeams; ++team) SetUpTeam(team);
    for (size_t i = 0; i < m_deployment.entries; ++i) {
      m_entries.push_back(std::make_unique<Entry>());
      m_entries[i]->run.host = "entry" + std::to_string(i);
      Start(*m_entries[i]);
      At(m_start, [this, i] { Arrive(i); });
      At(m_start, [this, i] { SendHeartbeat(i); });
      At(m_start, [this, i] { RetryPeriodically(i); });
    }
    At(m_start + kPartitionStart, [this] { SetPartitioned(true); });
    At(m_start + kPartitionStart + kPartitionDuration,
       [this] { SetPartitioned(false); });
    At(m_start + kTopUpTime, [this] { TopUpAll(); });
    const size_t last = m_deployment.entries - 1;
    // Kill an entry that is cut off during the partition, and later one that
    // can reach the leader.
    At(m_start + kPartitionStart + 3 * kMinute, [this, last] { Kill(last); });
    At(m_start + 14 * kMinute, [this] { Kill(0); });
  }

  // The first purchase is 1.1 times the mean demand until the top-up, so that
  // about nine tenths of it are consumed by then and budgets run short during
  // the partition.
  void SetUpTeam(size_t team) {
    std::vector<wire::ChangeT> changes;
    changes.push_back(state::TeamChange("t" + std::to_string(team),
                                        m_variant.grant_mode,
                                        m_variant.partition_seconds));
    changes.push_back(
        state::BudgetChange(BudgetOf(team), "t" + std::to_string(team)));
    state::Accept(m_operator, *m_state, "make" + std::to_string(team),
                  std::move(changes), Stamp());
    TopUp(team, 1.1 * DemandUntil(team, kTopUpTime));
  }

  double DemandUntil(size_t team, Duration time) const {
    const double mean = 0.25 * static_cast<double>(m_deployment.min_worst_case +
                                                   m_deployment.max_worst_case);
    return RateOf(team) * mean * std::chrono::duration<double>(time).count();
  }

  void TopUp(size_t team, double tokens) {
    std::vector<wire::ChangeT> changes;
    const std::string id = "top" + std::to_string(++m_top_ups);
    changes.push_back(
        state::TopUpChange(id, BudgetOf(team), static_cast<Tokens>(tokens)));
    state::Accept(m_operator, *m_state, id, std::move(changes), Stamp());
  }

  // The second purchase is 0.8 times the mean demand until the end of the run,
  // so that budgets run out shortly before the end.
  void TopUpAll() {
    for (size_t team = 0; team < kTeams; ++team)
      TopUp(team, 0.8 * DemandUntil(team, kRun - kTopUpTime));
  }

  void Start(Entry& entry) {
    entry.up = true;
    entry.run.incarnation += 1;
    entry.sequence = 0;
    entry.outbox.clear();
    entry.waiting.clear();
    entry.running.clear();
    entry.budgets.clear();
    entry.pending_grant_requests.assign(kTeams, 0);
    entry.ledger = budget::MakeLedger();
    for (size_t team = 0; team < kTeams; ++team) {
      entry.budgets.push_back(entry.ledger->Open(
          BudgetOf(team), {m_deployment.policy, m_variant.grant_mode,
                           std::chrono::seconds(m_variant.partition_seconds)}));
    }
    entry.ledger->SetConnected(entry.connected, m_now);
    Send(entry, wire::RegisterHostT(), [](const auto&) {});
  }

  // Half of what each running attempt would have spent counts as consumed, but
  // it is never settled.
  void Kill(size_t index) {
    Entry& entry = *m_entries[index];
    entry.up = false;
    for (const auto& [id, request] : entry.running) {
      m_consumed[request.team] += request.spent / 2;
      m_reserved[request.team] -= request.worst_case;
    }
    entry.running.clear();
    entry.waiting.clear();
    After(kRestartDelay, [this, index] { Start(*m_entries[index]); });
  }

  void SetPartitioned(bool cut) {
    for (size_t i = m_deployment.entries - m_deployment.cut;
         i < m_deployment.entries; ++i) {
      Entry& entry = *m_entries[i];
      entry.connected = !cut;
      if (!entry.up) continue;
      entry.ledger->SetConnected(!cut, m_now);
      if (cut) continue;
      for (const auto& [sequence, pending] : entry.outbox)
        Transmit(entry, sequence);
      SendGrantAdjustments(entry);
    }
  }

  // ---- requests

  void Arrive(size_t index) {
    double total = 0;
    for (size_t team = 0; team < kTeams; ++team) total += RateOf(team);
    const double rate = total / static_cast<double>(m_deployment.entries);
    const double gap = -std::log(1 - Uniform()) / rate;
    After(std::chrono::duration_cast<Duration>(
              std::chrono::duration<double>(gap)),
          [this, index] { Arrive(index); });
    double pick = Uniform() * total;
    Request request;
    while (request.team + 1 < kTeams && pick >= RateOf(request.team))
      pick -= RateOf(request.team++);
    const Tokens range =
        m_deployment.max_worst_case - m_deployment.min_worst_case;
    request.worst_case =
        m_deployment.min_worst_case +
        static_cast<Tokens>(Uniform() * static_cast<double>(range));
    request.spent = static_cast<Tokens>(
        Uniform() * static_cast<double>(request.worst_case));
    request.runs = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(1 + 4 * Uniform()));
    request.arrived = m_now;
    request.key = "~" + std::to_string(++m_requests);
    Entry& entry = *m_entries[index];
    if (entry.up) TryStart(entry, request);
  }

  void TryStart(Entry& entry, const Request& request) {
    const budget::BudgetHandle handle = entry.budgets[request.team];
    const ReserveResult result =
        entry.ledger->Reserve(handle, request.worst_case, m_now);
    const bool late = m_now - request.arrived >= m_deployment.timeout;
    if (result == ReserveResult::kExhausted ||
        (result == ReserveResult::kWait && late)) {
      Refuse(entry, request);
    } else if (result == ReserveResult::kWait) {
      entry.waiting.push_back(request);
    } else {
      Begin(entry, request, result == ReserveResult::kReservedPreauthorized);
    }
    SendGrantAdjustments(entry);
  }

  void Begin(Entry& entry, const Request& request, bool standing) {
    m_reserved[request.team] += request.worst_case;
    const AttemptId attempt = ++m_attempts;
    entry.running[attempt] = request;
    if (standing) return Dispatch(entry, attempt, true);
    ++m_figures.commits_before_dispatch;
    wire::OpenAttemptT opening = state::OpeningOf(
        BudgetOf(request.team), request.key, attempt, request.worst_case);
    Send(entry, std::move(opening),
         [this, &entry, attempt](const wire::CommandAnswerT& answer) {
           OnOpened(entry, attempt, answer.error == 0);
         });
  }

  void OnOpened(Entry& entry, AttemptId attempt, bool opened) {
    if (opened) return Dispatch(entry, attempt, false);
    const Request request = entry.running.at(attempt);
    entry.running.erase(attempt);
    m_reserved[request.team] -= request.worst_case;
    entry.ledger->OnOpeningRefused(entry.budgets[request.team],
                                   request.worst_case, m_now);
    entry.waiting.push_back(request);
    SendGrantAdjustments(entry);
  }

  void Dispatch(Entry& entry, AttemptId attempt, bool standing) {
    const Request& request = entry.running.at(attempt);
    m_figures.waits.push_back(m_now - request.arrived);
    const Incarnation incarnation = entry.run.incarnation;
    After(request.runs, [this, &entry, attempt, standing, incarnation] {
      if (entry.up && entry.run.incarnation == incarnation)
        Finish(entry, attempt, standing);
    });
  }

  void Finish(Entry& entry, AttemptId attempt, bool standing) {
    const Request request = entry.running.at(attempt);
    entry.running.erase(attempt);
    ++m_figures.served;
    m_consumed[request.team] += request.spent;
    m_reserved[request.team] -= request.worst_case;
    const budget::BudgetHandle handle = entry.budgets[request.team];
    if (standing) {
      entry.ledger->SettlePreauthorized(handle, request.worst_case,
                                        request.spent, m_now);
    } else {
      entry.ledger->Settle(handle, request.worst_case, request.spent, m_now);
    }
    Send(entry,
         state::SettlementOf(BudgetOf(request.team), request.key, attempt,
                             request.worst_case, request.spent, !standing),
         [](const auto&) {});
    Retry(entry);
    SendGrantAdjustments(entry);
  }

  // A refusal is false when the tokens that were neither consumed nor reserved
  // anywhere would have covered the worst case.
  void Refuse(const Entry& entry, const Request& request) {
    ++m_figures.refused;
    const Tokens purchased =
        m_state->FindAccount(BudgetOf(request.team))->purchased;
    const Tokens left =
        purchased - m_consumed[request.team] - m_reserved[request.team];
    if (left < request.worst_case) return;
    ++m_figures.false_refusals;
    if (!entry.connected) {
      ++m_figures.false_while_partitioned;
    } else if (ReachableTokens(request.team) >= request.worst_case) {
      ++m_figures.avoidable;
    }
  }

  // Tokens that the leader could grant immediately or recall from connected
  // entries.
  Tokens ReachableTokens(size_t team) const {
    Tokens tokens = m_state->FindAccount(BudgetOf(team))->Free();
    for (const auto& entry : m_entries) {
      if (!entry->up || !entry->connected) continue;
      tokens += entry->ledger->Held(entry->budgets[team]) -
                entry->ledger->Reserved(entry->budgets[team]);
    }
    return tokens;
  }

  void Retry(Entry& entry) {
    std::vector<Request> waiting;
    waiting.swap(entry.waiting);
    for (const Request& request : waiting) TryStart(entry, request);
  }

  void RetryPeriodically(size_t index) {
    Entry& entry = *m_entries[index];
    if (entry.up) {
      Retry(entry);
      SendGrantAdjustments(entry);
    }
    After(kRetryInterval, [this, index] { RetryPeriodically(index); });
  }

  // ---- messages between entries and control

  WallMs Stamp() const { return 1 + ToMs(m_now.time_since_epoch()); }

  template <typename Body>
  uint64_t Send(Entry& entry, Body body, OnAnswer on_answer) {
    Pending pending;
    pending.command.id = std::make_unique<wire::CommandIdT>();
    pending.command.id->host = entry.run.host;
    pending.command.id->incarnation = entry.run.incarnation;
    pending.command.id->sequence = ++entry.sequence;
    pending.command.body.Set(std::move(body));
    pending.on_answer = std::move(on_answer);
    entry.outbox[entry.sequence] = std::move(pending);
    Transmit(entry, entry.sequence);
    return entry.sequence;
  }

  // A message is lost if the entry is cut off when the message is sent or when
  // it arrives.
  void Transmit(Entry& entry, uint64_t sequence) {
    if (!entry.connected) return;
    const Incarnation incarnation = entry.run.incarnation;
    auto command =
        std::make_shared<wire::CommandT>(entry.outbox.at(sequence).command);
    After(
        kOneWayLatency + kCommitLatency, [this, &entry, command, incarnation] {
          if (!entry.connected) return;
          wire::CommandBatchT batch;
          batch.stamp_ms = Stamp();
          batch.commands.push_back(std::make_unique<wire::CommandT>(*command));
          auto answer = std::make_shared<wire::CommandAnswerT>(
              std::move(m_state->Apply(batch).front()));
          RecallFor(*command, *answer);
          After(kOneWayLatency, [this, &entry, answer, incarnation] {
            const bool delivered = entry.connected && entry.up &&
                                   entry.run.incarnation == incarnation;
            if (delivered) Receive(entry, *answer);
          });
        });
  }

  void Receive(Entry& entry, const wire::CommandAnswerT& answer) {
    const auto found = entry.outbox.find(answer.id->sequence);
    if (found == entry.outbox.end()) return;
    const OnAnswer on_answer = std::move(found->second.on_answer);
    entry.outbox.erase(found);
    on_answer(answer);
  }

  void SendGrantAdjustments(Entry& entry) {
    for (const GrantAdjustment& adjustment :
         entry.ledger->TakeAdjustments(m_now)) {
      const size_t team = adjustment.budget;
      if (adjustment.kind == GrantAdjustment::Kind::kReturn) {
        wire::ReturnGrantT body;
        body.budget = BudgetOf(team);
        body.tokens = adjustment.wanted;
        body.standing = adjustment.standing;
        Send(entry, std::move(body), [](const auto&) {});
      } else if (!entry.outbox.contains(entry.pending_grant_requests[team])) {
        SubmitGrantRequest(entry, team, adjustment);
      }
    }
  }

  void SubmitGrantRequest(Entry& entry, size_t team,
                          const GrantAdjustment& adjustment) {
    entry.pending_grant_requests[team] = Send(
        entry,
        state::GrantRequestOf(BudgetOf(team), adjustment.wanted,
                              adjustment.demand_per_second, adjustment.minimum),
        [this, &entry, team](const wire::CommandAnswerT& answer) {
          const auto* grant = answer.body.AsGrantAnswer();
          entry.ledger->OnGrant(entry.budgets[team],
                                grant ? *grant : wire::GrantAnswerT(), m_now);
          Retry(entry);
          SendGrantAdjustments(entry);
        });
  }

  void RecallFor(const wire::CommandT& command,
                 const wire::CommandAnswerT& answer) {
    const auto* grant_request = command.body.AsRequestGrant();
    const auto* grant = answer.body.AsGrantAnswer();
    if (!m_variant.recall || grant_request == nullptr || grant == nullptr)
      return;
    if (grant->tokens > 0 || grant->elsewhere == 0) return;
    const HostRun requester{command.id->host, command.id->incarnation};
    for (const budget::RecallMessage& message : m_recalls.OnShortage(
             requester, *grant_request,
             m_state->HoldingsOf(grant_request->budget), m_now))
      for (const auto& entry : m_entries)
        if (entry->run.host == message.host) Recall(*entry, message.recall);
  }

  void Recall(Entry& entry, const wire::RecallT& recall) {
    if (!entry.connected) return;
    After(kOneWayLatency, [this, &entry, recall] {
      if (!entry.connected || !entry.up) return;
      entry.ledger->OnRecall(recall.budget, recall.tokens, m_now);
      SendGrantAdjustments(entry);
    });
  }

  void SendHeartbeat(size_t index) {
    Entry& entry = *m_entries[index];
    if (entry.up && entry.connected) {
      wire::EntryBeatT heartbeat;
      for (size_t team = 0; team < kTeams; ++team) {
        auto held = std::make_unique<wire::BudgetHoldingT>();
        held->budget = BudgetOf(team);
        held->tokens = entry.ledger->Held(entry.budgets[team]) -
                       entry.ledger->Reserved(entry.budgets[team]);
        heartbeat.held.push_back(std::move(held));
      }
      m_recalls.OnHeartbeat(entry.run.host, heartbeat, m_now);
    }
    After(1s, [this, index] { SendHeartbeat(index); });
  }

  void Close() {
    for (size_t team = 0; team < kTeams; ++team) {
      const state::BudgetAccount& account =
          *m_state->FindAccount(BudgetOf(team));
      m_figures.overspend +=
          std::max<Tokens>(0, m_consumed[team] - account.purchased);
      m_figures.stranded += account.lost;
      m_figures.purchased += account.purchased;
      m_figures.consumed += m_consumed[team];
    }
    for (const std::string& line : m_state->Disagreements())
      std::cout << "disagreement: " << line << "\n";
  }

  const Deployment& m_deployment;
  const Variant& m_variant;
  std::mt19937_64 m_random;
  const Instant m_start{Duration{1000s}};
  Instant m_now = m_start;
  std::priority_queue<Event> m_events;
  uint64_t m_event_number = 0;
  std::unique_ptr<state::State> m_state;
  state::TestSender m_operator{nullptr, "", 0};
  budget::RecallCore m_recalls;
  std::vector<std::unique_ptr<Entry>> m_entries;
  std::vector<Tokens> m_consumed;  // actual consumption, by team
  std::vector<Tokens> m_reserved;
  uint64_t m_requests = 0;
  uint64_t m_top_ups = 0;
  AttemptId m_attempts = 0;
  Figures m_figures;
};

}  // namespace dotterelshift::bench

#endif  // DOTTERELSHIFT_BENCH_GRANT_SIMULATION_H_
