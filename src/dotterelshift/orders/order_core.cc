#include "dotterelshift/orders/order_core.h"

#include <algorithm>      // for any_of, find
#include <set>            // for set
#include <unordered_map>  // for unordered_map
#include <utility>        // for move

namespace dotterelshift::orders {
namespace {

bool IsOpen(const wire::OrderT& order) {
  return order.state == wire::OrderState::Planned ||
         order.state == wire::OrderState::Sent;
}

bool LoadsFromWeightStore(const wire::OrderT& order) {
  return order.kind == wire::OrderKind::LoadModel ||
         order.kind == wire::OrderKind::LoadAdapter;
}

const wire::ModelStateT* FindModelState(const wire::EndpointRecordT& record,
                                        const ModelName& model) {
  for (const auto& state : record.models)
    if (state->model == model) return state.get();
  return nullptr;
}

// Whether the endpoint's announcement shows the effect of the order.
bool IsObserved(const wire::OrderT& order,
                const wire::EndpointRecordT& record) {
  const wire::ModelStateT* model = FindModelState(record, order.model);
  switch (order.kind) {
    case wire::OrderKind::LoadModel:
      return model != nullptr && model->version == order.version;
    case wire::OrderKind::UnloadModel:
      return model == nullptr;
    case wire::OrderKind::LoadAdapter:
      return model != nullptr &&
             std::find(model->adapters.begin(), model->adapters.end(),
                       order.argument) != model->adapters.end();
    case wire::OrderKind::ChangeRole:
      break;
  }
  return record.role == order.argument;
}

// Volatile state of an open order, known only to this leader.
struct OpenOrder {
  int sends = 0;
  Instant sent_at;
  Instant not_before;        // earliest time of the next send
  uint64_t incarnation = 0;  // of the endpoint, at the time of sending
  std::optional<wire::OrderState> result;
  std::string detail;
};

class Core : public OrderCore {
 public:
  explicit Core(const OrderOptions& options) : m_options(options) {}

  void OnLeadership(bool leads, Instant now) override {
    m_leads = leads;
    m_open.clear();
    // By this time every order that the previous leader sent while it held its
    // lease has arrived or is lost.
    m_unfenced_not_before = now + m_options.lease + m_options.max_delivery_time;
  }

  void OnResult(const std::string& order, wire::OrderState state,
                const std::string& detail, Instant) override {
    const auto found = m_open.find(order);
    if (found == m_open.end()) return;
    OpenOrder& open = found->second;
    const bool final =
        state == wire::OrderState::Done || state == wire::OrderState::Refused;
    if (final) open.result = state;
    open.detail = detail;
  }

  std::vector<OrderAction> Decide(const state::State& state,
                                  const directory::Directory& directory,
                                  Instant lease_until, Instant now) override {
    std::vector<OrderAction> actions;
    m_next_due.reset();
    if (!m_leads) return actions;
    const std::vector<wire::OrderT> orders = state.Orders();
    EraseEndedOrders(orders);
    int loads = 0;
    for (const wire::OrderT& order : orders)
      if (order.state == wire::OrderState::Sent && LoadsFromWeightStore(order))
        ++loads;
    std::set<EndpointId> busy;
    for (const wire::OrderT& order : orders) {
      if (!IsOpen(order)) continue;
      // The orders of one endpoint are sent one after another, in plan order.
      if (!busy.insert(order.endpoint).second) continue;
      const directory::Endpoint* endpoint = directory.Find(order.endpoint);
      if (RecordOutcome(order, endpoint, now, &actions)) continue;
      if (endpoint == nullptr || !endpoint->usable) continue;
      if (!MaySend(order, *endpoint, lease_until, now)) continue;
      const bool takes_slot = order.state == wire::OrderState::Planned &&
                              LoadsFromWeightStore(order) && !WasSent(order.id);
      if (takes_slot && loads >= m_options.max_concurrent_loads) continue;
      if (takes_slot) ++loads;
      Send(order, *endpoint, now, &actions);
    }
    return actions;
  }

  std::optional<Instant> NextDue() const override { return m_next_due; }

 private:
  bool WasSent(const std::string& order) const {
    const auto found = m_open.find(order);
    return found != m_open.end() && found->second.sends > 0;
  }

  void EraseEndedOrders(const std::vector<wire::OrderT>& orders) {
    std::set<std::string> open;
    for (const wire::OrderT& order : orders)
      if (IsOpen(order)) open.insert(order.id);
    std::erase_if(
        m_open, [&](const auto& entry) { return !open.contains(entry.first); });
  }

  // Records the result of an order once it is known. Returns true when there is
  // nothing more to send.
  bool RecordOutcome(const wire::OrderT& order,
                     const directory::Endpoint* endpoint, Instant now,
                     std::vector<OrderAction>* actions) {
    const auto found = m_open.find(order.id);
    if (found == m_open.end()) return false;
    OpenOrder& open = found->second;
    // The answer was lost, but a later announcement of the endpoint shows the
    // effect.
    const bool observed = !open.result && endpoint != nullptr &&
                          endpoint->last_news > open.sent_at &&
                          IsObserved(order, endpoint->record);
    if (observed) open.result = wire::OrderState::Done;
    const bool sends_exhausted = !open.result &&
                                 open.sends >= m_options.max_sends &&
                                 now >= open.not_before;
    if (sends_exhausted) open.result = wire::OrderState::Lost;
    if (!open.result) return false;
    Record(order, *open.result, open.detail, actions);
    return true;
  }

  static void Record(const wire::OrderT& order, wire::OrderState state,
                     const std::string& detail,
                     std::vector<OrderAction>* actions) {
    OrderAction action;
    action.kind = OrderAction::Kind::kRecord;
    action.order = order;
    action.state = state;
    action.detail = detail;
    actions->push_back(std::move(action));
  }

  bool MaySend(const wire::OrderT& order, const directory::Endpoint& endpoint,
               Instant lease_until, Instant now) {
    const auto found = m_open.find(order.id);
    const bool restarted =
        found != m_open.end() &&
        found->second.incarnation != endpoint.record.incarnation;
    Instant earliest = Instant::min();
    if (found != m_open.end() && !restarted)
      earliest = found->second.not_before;
    if (!endpoint.record.checks_fencing) {
      earliest = std::max(earliest, m_unfenced_not_before);
      // Without fencing, an earlier send may still reach this address even
      // after the endpoint has restarted.
      if (found != m_open.end())
        earliest = std::max(earliest, found->second.not_before);
      if (now >= lease_until) return false;
    }
    if (now >= earliest) return true;
    ScheduleBy(earliest);
    return false;
  }

  void Send(const wire::OrderT& order, const directory::Endpoint& endpoint,
            Instant now, std::vector<OrderAction>* actions) {
    OpenOrder& open = m_open[order.id];
    ++open.sends;
    open.sent_at = now;
    open.incarnation = endpoint.record.incarnation;
    open.not_before =
        now + (endpoint.record.checks_fencing ? m_options.resend_interval
                                              : m_options.max_delivery_time);
    ScheduleBy(open.not_before);
    if (order.state == wire::OrderState::Planned)
      Record(order, wire::OrderState::Sent, "", actions);
    OrderAction action;
    action.kind = OrderAction::Kind::kSend;
    action.order = order;
    action.address = endpoint.record.address;
    actions->push_back(std::move(action));
  }

  void ScheduleBy(Instant when) {
    if (!m_next_due || when < *m_next_due) m_next_due = when;
  }

  OrderOptions m_options;
  bool m_leads = false;
  Instant m_unfenced_not_before;
  std::unordered_map<std::string, OpenOrder> m_open;
  std::optional<Instant> m_next_due;
};

}  // namespace

std::unique_ptr<OrderCore> MakeOrderCore(const OrderOptions& options) {
  return std::make_unique<Core>(options);
}

}  // namespace dotterelshift::orders
