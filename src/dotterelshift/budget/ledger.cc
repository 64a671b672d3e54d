#include "dotterelshift/budget/ledger.h"

#include <algorithm>      // for max, min
#include <cmath>          // for exp
#include <string>         // for string
#include <unordered_map>  // for unordered_map
#include <utility>        // for move

#include "dotterelshift/budget/grant_way.h"  // for WithWay

namespace dotterelshift::budget {
namespace {

constexpr Instant kNever = Instant::max();

// Time constant of the demand average.
constexpr Duration kDemandWindow = 10s;

// The target holding covers at least the demand of this time.
constexpr Duration kConnectedCover = 10s;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

bool GoesUnwitnessed(wire::GrantWay way, bool connected) {
  return WithWay(way, [connected](auto policy) {
    return decltype(policy)::GoesUnwitnessed(connected);
  });
}

// Measures demand in tokens per second as an exponentially decaying average.
class DemandMeter {
 public:
  void Add(Tokens tokens, Instant now) {
    Decay(now);
    m_rate += static_cast<double>(tokens) / Seconds(kDemandWindow);
  }
  double Rate(Instant now) const {
    if (m_rate == 0 || now <= m_since) return m_rate;
    return m_rate * std::exp(-Seconds(now - m_since) / Seconds(kDemandWindow));
  }

 private:
  // The exponential is expensive; updating once per hundredth of the window is
  // accurate enough.
  void Decay(Instant now) {
    if (m_rate != 0 && now - m_since < kDemandWindow / 100) return;
    m_rate = Rate(now);
    m_since = now;
  }
  double m_rate = 0;
  Instant m_since;
};

// The holding of one budget.
struct Position {
  BudgetId id;
  HoldingPolicy policy;
  Tokens held = 0;
  Tokens reserved = 0;
  Tokens standing = 0;           // pre-authorized and not reserved
  Tokens standing_reserved = 0;  // part of `reserved` that is pre-authorized
  DemandMeter demand;
  Instant last_draw;
  Tokens missing = 0;   // largest worst case that could not be reserved
  Tokens recalled = 0;  // amount that the leader wants returned
  bool asking = false;  // a request is not answered yet
  Instant ask_again = kNever;
  Tokens asked_wanted = 0;
  Tokens asked_minimum = 0;
  bool touched = false;      // to be examined by the next TakeWishes()
  Instant refused_until;     // control is not asked again before this time
  bool refused_all = false;  // nothing was free or held by other entries

  Tokens Idle() const { return held - reserved; }
};

class LedgerCore : public Ledger {
 public:
  explicit LedgerCore(const LedgerOptions& options) : m_options(options) {}

  BudgetHandle Open(const BudgetId& budget,
                    const HoldingPolicy& policy) override {
    const auto next = static_cast<BudgetHandle>(m_positions.size());
    const auto [place, fresh] = m_handles.try_emplace(budget, next);
    if (fresh) m_positions.emplace_back().id = budget;
    m_positions[place->second].policy = policy;
    return place->second;
  }

  void Prepare(BudgetHandle budget, Instant now) override {
    m_positions[budget].last_draw = now;
    Touch(budget);
  }

  const BudgetId& IdOf(BudgetHandle budget) const override {
    return m_positions[budget].id;
  }

  ReserveResult Reserve(BudgetHandle budget, Tokens worst_case,
                        Instant now) override {
    Position& position = m_positions[budget];
    position.last_draw = now;
    Touch(budget);
    if (position.Idle() < worst_case) return Lacks(position, worst_case, now);
    const bool standing =
        position.standing >= worst_case && MayGoUnwitnessed(position);
    if (!standing && !m_connected) return Lacks(position, worst_case, now);
    position.reserved += worst_case;
    if (!standing) return ReserveResult::kReserved;
    position.standing -= worst_case;
    position.standing_reserved += worst_case;
    return ReserveResult::kReservedStanding;
  }

  void Settle(BudgetHandle budget, Tokens reserved, Tokens spent,
              Instant now) override {
    Position& position = m_positions[budget];
    position.reserved -= reserved;
    position.held -= spent;
    position.demand.Add(spent, now);
    position.last_draw = now;
    Touch(budget);
  }

  void SettleStanding(BudgetHandle budget, Tokens reserved, Tokens spent,
                      Instant now) override {
    Settle(budget, reserved, spent, now);
    Position& position = m_positions[budget];
    position.standing += reserved - spent;
    position.standing_reserved -= reserved;
  }

  bool MoveToStanding(BudgetHandle budget, Tokens reserved, Instant) override {
    Position& position = m_positions[budget];
    const bool may = position.standing >= reserved &&
                     GoesUnwitnessed(position.policy.way, false);
    if (!may) return false;
    position.standing -= reserved;
    position.standing_reserved += reserved;
    return true;
  }

  void OnOpeningRefused(BudgetHandle budget, Tokens reserved,
                        Instant) override {
    Position& position = m_positions[budget];
    position.reserved -= reserved;
    // Returning all idle tokens brings control's account and this ledger into
    // agreement, whatever control counted.
    position.recalled = position.Idle();
    position.missing = std::max(position.missing, reserved);
    Touch(budget);
  }

  void OnGrant(BudgetHandle budget, const wire::GrantAnswerT& answer,
               Instant now) override {
    Position& position = m_positions[budget];
    position.asking = false;
    position.ask_again = kNever;
    position.held += answer.tokens;
    position.standing += answer.standing;
    position.refused_all = answer.tokens == 0 && answer.elsewhere == 0;
    position.refused_until =
        answer.tokens > 0 ? now : now + m_options.refusal_memory;
    if (answer.tokens > 0) position.missing = 0;
    Touch(budget);
  }

  void OnRecall(const BudgetId& budget, Tokens tokens, Instant) override {
    const auto found = m_handles.find(budget);
    if (found == m_handles.end()) return;
    m_positions[found->second].recalled = std::max<Tokens>(0, tokens);
    Touch(found->second);
  }

  // Divides this entry's idle tokens between both entries by demand.
  Tokens Lend(BudgetHandle budget, Tokens wanted, Tokens minimum,
              Tokens demand_of_other, Instant now) override {
    Position& position = m_positions[budget];
    const Tokens idle = std::min(position.Idle(), position.standing);
    if (idle <= 0) return 0;
    const double own = 1 + position.demand.Rate(now);
    const double other = 1 + static_cast<double>(demand_of_other);
    const auto share =
        static_cast<Tokens>(static_cast<double>(idle) * other / (own + other));
    const Tokens lent =
        std::min(idle, std::max(std::min(wanted, share), minimum));
    position.held -= lent;
    position.standing -= lent;
    Touch(budget);
    return lent;
  }

  void Borrow(BudgetHandle budget, Tokens tokens, Instant) override {
    Position& position = m_positions[budget];
    position.held += tokens;
    position.standing += tokens;
    if (position.missing <= position.Idle()) position.missing = 0;
    Touch(budget);
  }

  void SetConnected(bool connected, Instant now) override {
    if (connected == m_connected) return;
    m_connected = connected;
    m_cut_off_since = now;
    m_scan_at = now;
    // The sender of a pending request sends it again, with the same id.
    for (Position& position : m_positions)
      if (position.asking) position.ask_again = now;
  }

  std::vector<GrantWish> TakeWishes(Instant now) override {
    std::vector<GrantWish> wishes;
    if (!m_connected) return wishes;
    const std::vector<BudgetHandle> touched = std::move(m_touched);
    m_touched.clear();
    for (const BudgetHandle budget : touched) {
      m_positions[budget].touched = false;
      Tend(budget, now, &wishes);
    }
    if (now < m_scan_at) return wishes;
    m_scan_at = kNever;
    for (BudgetHandle budget = 0; budget < m_positions.size(); ++budget)
      Tend(budget, now, &wishes);
    return wishes;
  }

  std::vector<GrantWish> ReturnAll(Instant now) override {
    std::vector<GrantWish> wishes;
    for (BudgetHandle budget = 0; budget < m_positions.size(); ++budget)
      Return(budget, m_positions[budget].Idle(), now, &wishes);
    return wishes;
  }

  Tokens Held(BudgetHandle budget) const override {
    return m_positions[budget].held;
  }
  Tokens Reserved(BudgetHandle budget) const override {
    return m_positions[budget].reserved;
  }
  Tokens Standing(BudgetHandle budget) const override {
    return m_positions[budget].standing;
  }
  Tokens DemandPerSecond(BudgetHandle budget, Instant now) const override {
    return static_cast<Tokens>(m_positions[budget].demand.Rate(now));
  }
  std::vector<BudgetHandle> All() const override {
    std::vector<BudgetHandle> all(m_positions.size());
    for (BudgetHandle budget = 0; budget < all.size(); ++budget)
      all[budget] = budget;
    return all;
  }

  std::optional<Instant> NextDue() const override {
    if (!m_connected) return std::nullopt;
    if (!m_touched.empty()) return Instant();
    if (m_scan_at == kNever) return std::nullopt;
    return m_scan_at;
  }

 private:
  bool MayGoUnwitnessed(const Position& position) const {
    return GoesUnwitnessed(position.policy.way, m_connected);
  }

  // Marks a budget for the next TakeWishes().
  void Touch(BudgetHandle budget) {
    Position& position = m_positions[budget];
    if (position.touched) return;
    position.touched = true;
    m_touched.push_back(budget);
  }

  // Adds the requests and returns that are due for one budget, and schedules
  // its next examination.
  void Tend(BudgetHandle budget, Instant now, std::vector<GrantWish>* wishes) {
    ReturnIdle(budget, now, wishes);
    AskIfShort(budget, now, wishes);
    m_scan_at = std::min(m_scan_at, DueOf(m_positions[budget]));
  }

  // Called when too few tokens are held: records the shortfall, so that tokens
  // are requested, and returns whether waiting can help.
  ReserveResult Lacks(Position& position, Tokens worst_case, Instant now) {
    position.missing = std::max(position.missing, worst_case);
    const bool may_free_up = position.reserved > 0 || HealsSoon(position, now);
    if (!m_connected)
      return may_free_up ? ReserveResult::kWait : ReserveResult::kExhausted;
    const bool nothing = position.refused_all && now < position.refused_until;
    return nothing && !may_free_up ? ReserveResult::kExhausted
                                   : ReserveResult::kWait;
  }

  // Teams with RefusalsFirst wait through a short disconnection instead of
  // being refused.
  bool HealsSoon(const Position& position, Instant now) const {
    return !m_connected &&
           position.policy.policy == wire::TeamPolicy::RefusalsFirst &&
           now - m_cut_off_since < m_options.cut_off_patience;
  }

  // The target holding.
  Tokens Target(const Position& position, Instant now) const {
    const Duration cover = std::max(position.policy.partition, kConnectedCover);
    const auto demand =
        static_cast<Tokens>(position.demand.Rate(now) * Seconds(cover));
    return std::max({m_options.least_grant, position.policy.least, demand,
                     position.missing});
  }

  void AskIfShort(BudgetHandle budget, Instant now,
                  std::vector<GrantWish>* wishes) {
    Position& position = m_positions[budget];
    const bool drawn = position.missing > 0 || position.last_draw != Instant();
    if (!drawn) return;
    const bool due =
        position.asking ? now >= position.ask_again : IsShort(position, now);
    if (!due) return;
    if (!position.asking) {
      position.asked_wanted =
          std::max(position.missing, Target(position, now) - position.Idle());
      position.asked_minimum =
          std::max<Tokens>(0, position.missing - position.Idle());
    }
    position.asking = true;
    position.ask_again = now + m_options.ask_again;
    wishes->push_back({budget, GrantWish::Kind::kAsk, position.asked_wanted,
                       position.asked_minimum, 0,
                       static_cast<Tokens>(position.demand.Rate(now))});
  }

  bool IsShort(const Position& position, Instant now) const {
    if (now < position.refused_until) return false;
    if (position.missing > position.Idle()) return true;
    const bool idle = now - position.last_draw >= m_options.idle_return;
    const auto enough = static_cast<Tokens>(
        static_cast<double>(Target(position, now)) * m_options.ask_below);
    return !idle && position.Idle() < enough;
  }

  // The tokens above the target when the holding exceeds it by return_above.
  Tokens Surplus(const Position& position, Instant now) const {
    if (m_options.return_above == 0) return 0;
    const Tokens target = Target(position, now);
    const auto most = static_cast<Tokens>(static_cast<double>(target) *
                                          m_options.return_above);
    return position.Idle() > most ? position.Idle() - target : 0;
  }

  void ReturnIdle(BudgetHandle budget, Instant now,
                  std::vector<GrantWish>* wishes) {
    Position& position = m_positions[budget];
    const bool idle = now - position.last_draw >= m_options.idle_return;
    const Tokens wanted =
        idle ? position.Idle()
             : std::max(position.recalled, Surplus(position, now));
    position.recalled = 0;
    Return(budget, std::min(wanted, position.Idle()), now, wishes);
  }

  // The remaining idle tokens must cover the pre-authorized amount, so that it
  // shrinks when necessary.
  void Return(BudgetHandle budget, Tokens tokens, Instant now,
              std::vector<GrantWish>* wishes) {
    Position& position = m_positions[budget];
    if (tokens <= 0) return;
    position.held -= tokens;
    const Tokens shrink =
        std::max<Tokens>(0, position.standing - position.Idle());
    position.standing -= shrink;
    wishes->push_back({budget, GrantWish::Kind::kReturn, tokens, 0, shrink,
                       static_cast<Tokens>(position.demand.Rate(now))});
  }

  Instant DueOf(const Position& position) const {
    if (position.recalled > 0) return Instant();
    if (position.asking) return position.ask_again;
    if (position.missing > position.Idle()) return position.refused_until;
    if (position.Idle() > 0) return position.last_draw + m_options.idle_return;
    return kNever;
  }

  LedgerOptions m_options;
  bool m_connected = true;
  Instant m_cut_off_since;
  std::vector<Position> m_positions;
  std::vector<BudgetHandle> m_touched;
  Instant m_scan_at = kNever;  // when the next budget is due by time
  std::unordered_map<BudgetId, BudgetHandle> m_handles;
};

}  // namespace

std::unique_ptr<Ledger> MakeLedger(const LedgerOptions& options) {
  return std::make_unique<LedgerCore>(options);
}

}  // namespace dotterelshift::budget
