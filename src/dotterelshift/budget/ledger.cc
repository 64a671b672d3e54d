#include "dotterelshift/budget/ledger.h"

#include <algorithm>      // for max, min
#include <cmath>          // for exp
#include <string>         // for string
#include <unordered_map>  // for unordered_map
#include <utility>        // for move

#include "dotterelshift/budget/grant_way.h"  // for WithGrantMode

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

bool DispatchesWithoutOpening(wire::GrantWay way, bool connected) {
  return WithGrantMode(way, [connected](auto policy) {
    return decltype(policy)::DispatchesWithoutOpening(connected);
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
  Instant last_use;
  Tokens shortfall = 0;  // largest worst case that could not be reserved
  Tokens recalled = 0;   // amount that the leader wants returned
  bool request_pending = false;  // a request is not answered yet
  Instant retry_request_after = kNever;
  Tokens pending_wanted = 0;
  Tokens pending_minimum = 0;
  bool dirty = false;       // to be examined by the next TakeAdjustments()
  Instant refusal_expires;  // control is not asked again before this time
  bool nothing_available = false;  // nothing was free or held by other entries

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
    m_positions[budget].last_use = now;
    MarkDirty(budget);
  }

  const BudgetId& IdOf(BudgetHandle budget) const override {
    return m_positions[budget].id;
  }

  ReserveResult Reserve(BudgetHandle budget, Tokens worst_case,
                        Instant now) override {
    Position& position = m_positions[budget];
    position.last_use = now;
    MarkDirty(budget);
    if (position.Idle() < worst_case)
      return OnShortfall(position, worst_case, now);
    const bool standing =
        position.standing >= worst_case && MayDispatchWithoutOpening(position);
    if (!standing && !m_connected)
      return OnShortfall(position, worst_case, now);
    position.reserved += worst_case;
    if (!standing) return ReserveResult::kReserved;
    position.standing -= worst_case;
    position.standing_reserved += worst_case;
    return ReserveResult::kReservedPreauthorized;
  }

  void Settle(BudgetHandle budget, Tokens reserved, Tokens spent,
              Instant now) override {
    Position& position = m_positions[budget];
    position.reserved -= reserved;
    position.held -= spent;
    position.demand.Add(spent, now);
    position.last_use = now;
    MarkDirty(budget);
  }

  void SettlePreauthorized(BudgetHandle budget, Tokens reserved, Tokens spent,
                           Instant now) override {
    Settle(budget, reserved, spent, now);
    Position& position = m_positions[budget];
    position.standing += reserved - spent;
    position.standing_reserved -= reserved;
  }

  bool MoveToPreauthorized(BudgetHandle budget, Tokens reserved,
                           Instant) override {
    Position& position = m_positions[budget];
    const bool may = position.standing >= reserved &&
                     DispatchesWithoutOpening(position.policy.way, false);
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
    // agreement, even though they counted different amounts.
    position.recalled = position.Idle();
    position.shortfall = std::max(position.shortfall, reserved);
    MarkDirty(budget);
  }

  void OnGrant(BudgetHandle budget, const wire::GrantAnswerT& answer,
               Instant now) override {
    Position& position = m_positions[budget];
    position.request_pending = false;
    position.retry_request_after = kNever;
    position.held += answer.tokens;
    position.standing += answer.standing;
    position.nothing_available = answer.tokens == 0 && answer.elsewhere == 0;
    position.refusal_expires =
        answer.tokens > 0 ? now : now + m_options.refusal_ttl;
    if (answer.tokens > 0) position.shortfall = 0;
    MarkDirty(budget);
  }

  void OnRecall(const BudgetId& budget, Tokens tokens, Instant) override {
    const auto found = m_handles.find(budget);
    if (found == m_handles.end()) return;
    m_positions[found->second].recalled = std::max<Tokens>(0, tokens);
    MarkDirty(found->second);
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
    MarkDirty(budget);
    return lent;
  }

  void Borrow(BudgetHandle budget, Tokens tokens, Instant) override {
    Position& position = m_positions[budget];
    position.held += tokens;
    position.standing += tokens;
    if (position.shortfall <= position.Idle()) position.shortfall = 0;
    MarkDirty(budget);
  }

  void SetConnected(bool connected, Instant now) override {
    if (connected == m_connected) return;
    m_connected = connected;
    m_cut_off_since = now;
    m_next_scan = now;
    // The sender of a pending request sends it again, with the same id.
    for (Position& position : m_positions)
      if (position.request_pending) position.retry_request_after = now;
  }

  std::vector<GrantAdjustment> TakeAdjustments(Instant now) override {
    std::vector<GrantAdjustment> adjustments;
    if (!m_connected) return adjustments;
    const std::vector<BudgetHandle> dirty = std::move(m_dirty);
    m_dirty.clear();
    for (const BudgetHandle budget : dirty) {
      m_positions[budget].dirty = false;
      Rebalance(budget, now, &adjustments);
    }
    if (now < m_next_scan) return adjustments;
    m_next_scan = kNever;
    for (BudgetHandle budget = 0; budget < m_positions.size(); ++budget)
      Rebalance(budget, now, &adjustments);
    return adjustments;
  }

  std::vector<GrantAdjustment> ReturnAll(Instant now) override {
    std::vector<GrantAdjustment> adjustments;
    for (BudgetHandle budget = 0; budget < m_positions.size(); ++budget)
      Return(budget, m_positions[budget].Idle(), now, &adjustments);
    return adjustments;
  }

  Tokens Held(BudgetHandle budget) const override {
    return m_positions[budget].held;
  }
  Tokens Reserved(BudgetHandle budget) const override {
    return m_positions[budget].reserved;
  }
  Tokens Preauthorized(BudgetHandle budget) const override {
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
    if (!m_dirty.empty()) return Instant();
    if (m_next_scan == kNever) return std::nullopt;
    return m_next_scan;
  }

 private:
  bool MayDispatchWithoutOpening(const Position& position) const {
    return DispatchesWithoutOpening(position.policy.way, m_connected);
  }

  // Marks a budget for the next TakeAdjustments().
  void MarkDirty(BudgetHandle budget) {
    Position& position = m_positions[budget];
    if (position.dirty) return;
    position.dirty = true;
    m_dirty.push_back(budget);
  }

  // Adds the requests and returns that are due for one budget, and schedules
  // its next examination.
  void Rebalance(BudgetHandle budget, Instant now,
                 std::vector<GrantAdjustment>* adjustments) {
    ReturnIdle(budget, now, adjustments);
    RequestIfShort(budget, now, adjustments);
    m_next_scan = std::min(m_next_scan, DueOf(m_positions[budget]));
  }

  // Called when too few tokens are held: records the shortfall, so that tokens
  // are requested, and returns whether waiting can help.
  ReserveResult OnShortfall(Position& position, Tokens worst_case,
                            Instant now) {
    position.shortfall = std::max(position.shortfall, worst_case);
    const bool may_free_up =
        position.reserved > 0 || WithinDisconnectGrace(position, now);
    if (!m_connected)
      return may_free_up ? ReserveResult::kWait : ReserveResult::kExhausted;
    const bool nothing =
        position.nothing_available && now < position.refusal_expires;
    return nothing && !may_free_up ? ReserveResult::kExhausted
                                   : ReserveResult::kWait;
  }

  // Whether requests of the team wait, instead of being refused, because the
  // disconnection is still short. Only teams with RefusalsFirst do.
  bool WithinDisconnectGrace(const Position& position, Instant now) const {
    return !m_connected &&
           position.policy.policy == wire::TeamPolicy::RefusalsFirst &&
           now - m_cut_off_since < m_options.disconnect_grace;
  }

  // The target holding.
  Tokens Target(const Position& position, Instant now) const {
    const Duration cover = std::max(position.policy.partition, kConnectedCover);
    const auto demand =
        static_cast<Tokens>(position.demand.Rate(now) * Seconds(cover));
    return std::max({m_options.min_grant, position.policy.min_holding, demand,
                     position.shortfall});
  }

  void RequestIfShort(BudgetHandle budget, Instant now,
                      std::vector<GrantAdjustment>* adjustments) {
    Position& position = m_positions[budget];
    const bool drawn = position.shortfall > 0 || position.last_use != Instant();
    if (!drawn) return;
    const bool due = position.request_pending
                         ? now >= position.retry_request_after
                         : IsShort(position, now);
    if (!due) return;
    if (!position.request_pending) {
      position.pending_wanted =
          std::max(position.shortfall, Target(position, now) - position.Idle());
      position.pending_minimum =
          std::max<Tokens>(0, position.shortfall - position.Idle());
    }
    position.request_pending = true;
    position.retry_request_after = now + m_options.retry_request_after;
    adjustments->push_back({budget, GrantAdjustment::Kind::kRequestGrant,
                            position.pending_wanted, position.pending_minimum,
                            0, static_cast<Tokens>(position.demand.Rate(now))});
  }

  bool IsShort(const Position& position, Instant now) const {
    if (now < position.refusal_expires) return false;
    if (position.shortfall > position.Idle()) return true;
    const bool idle = now - position.last_use >= m_options.idle_return_after;
    const auto enough =
        static_cast<Tokens>(static_cast<double>(Target(position, now)) *
                            m_options.request_below_fraction);
    return !idle && position.Idle() < enough;
  }

  // The tokens above the target when the holding exceeds it by
  // return_above_factor.
  Tokens Surplus(const Position& position, Instant now) const {
    if (m_options.return_above_factor == 0) return 0;
    const Tokens target = Target(position, now);
    const auto most = static_cast<Tokens>(static_cast<double>(target) *
                                          m_options.return_above_factor);
    return position.Idle() > most ? position.Idle() - target : 0;
  }

  void ReturnIdle(BudgetHandle budget, Instant now,
                  std::vector<GrantAdjustment>* adjustments) {
    Position& position = m_positions[budget];
    const bool idle = now - position.last_use >= m_options.idle_return_after;
    const Tokens wanted =
        idle ? position.Idle()
             : std::max(position.recalled, Surplus(position, now));
    position.recalled = 0;
    Return(budget, std::min(wanted, position.Idle()), now, adjustments);
  }

  // The remaining idle tokens must cover the pre-authorized amount, so that it
  // shrinks when necessary.
  void Return(BudgetHandle budget, Tokens tokens, Instant now,
              std::vector<GrantAdjustment>* adjustments) {
    Position& position = m_positions[budget];
    if (tokens <= 0) return;
    position.held -= tokens;
    const Tokens shrink =
        std::max<Tokens>(0, position.standing - position.Idle());
    position.standing -= shrink;
    adjustments->push_back({budget, GrantAdjustment::Kind::kReturn, tokens, 0,
                            shrink,
                            static_cast<Tokens>(position.demand.Rate(now))});
  }

  Instant DueOf(const Position& position) const {
    if (position.recalled > 0) return Instant();
    if (position.request_pending) return position.retry_request_after;
    if (position.shortfall > position.Idle()) return position.refusal_expires;
    if (position.Idle() > 0)
      return position.last_use + m_options.idle_return_after;
    return kNever;
  }

  LedgerOptions m_options;
  bool m_connected = true;
  Instant m_cut_off_since;
  std::vector<Position> m_positions;
  std::vector<BudgetHandle> m_dirty;
  Instant m_next_scan = kNever;  // when the next budget is due by time
  std::unordered_map<BudgetId, BudgetHandle> m_handles;
};

}  // namespace

std::unique_ptr<Ledger> MakeLedger(const LedgerOptions& options) {
  return std::make_unique<LedgerCore>(options);
}

}  // namespace dotterelshift::budget
