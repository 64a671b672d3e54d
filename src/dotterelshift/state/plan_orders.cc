#include "dotterelshift/state/plan_orders.h"

#include <algorithm>  // for find

namespace dotterelshift::state {
namespace {

bool Contains(const std::vector<std::string>& list, const std::string& name) {
  return std::find(list.begin(), list.end(), name) != list.end();
}

wire::OrderT MakeOrder(const EndpointId& endpoint, wire::OrderKind kind,
                       const wire::ModelPlacementT& placement,
                       const std::string& argument = "") {
  wire::OrderT order;
  order.endpoint = endpoint;
  order.kind = kind;
  order.model = placement.model;
  order.version = placement.version;
  order.argument = argument;
  return order;
}

// Appends what an endpoint of the new placement still has to load or change.
void AppendEndpointOrders(const EndpointId& endpoint,
                          const wire::ModelPlacementT* before,
                          const wire::ModelPlacementT& after,
                          std::vector<wire::OrderT>* orders) {
  const bool had = before != nullptr && Contains(before->endpoints, endpoint);
  const bool load = !had || before->version != after.version;
  if (load)
    orders->push_back(MakeOrder(endpoint, wire::OrderKind::LoadModel, after));
  for (const std::string& adapter : after.adapters) {
    if (load || !Contains(before->adapters, adapter))
      orders->push_back(
          MakeOrder(endpoint, wire::OrderKind::LoadAdapter, after, adapter));
  }
  const bool role = !after.role.empty() && (!had || before->role != after.role);
  if (role)
    orders->push_back(
        MakeOrder(endpoint, wire::OrderKind::ChangeRole, after, after.role));
}

void Supersede(std::vector<wire::OrderT>& orders, const wire::OrderT& fresh) {
  for (wire::OrderT& order : orders) {
    const bool same = order.endpoint == fresh.endpoint &&
                      order.model == fresh.model &&
                      order.state == wire::OrderState::Planned;
    if (!same) continue;
    order.state = wire::OrderState::Lost;
    order.detail = "superseded before it was sent";
  }
}

}  // namespace

std::vector<wire::OrderT> OrdersBetween(const wire::ModelPlacementT* before,
                                        const wire::ModelPlacementT* after) {
  std::vector<wire::OrderT> orders;
  if (after != nullptr)
    for (const EndpointId& endpoint : after->endpoints)
      AppendEndpointOrders(endpoint, before, *after, &orders);
  if (before == nullptr) return orders;
  for (const EndpointId& endpoint : before->endpoints) {
    const bool stays = after != nullptr && Contains(after->endpoints, endpoint);
    if (!stays)
      orders.push_back(
          MakeOrder(endpoint, wire::OrderKind::UnloadModel, *before));
  }
  return orders;
}

void AddOrders(Context& context, const wire::PlanT& plan) {
  Tables& tables = context.tables;
  std::vector<wire::OrderT> fresh;
  for (const auto& change : plan.changes) {
    const wire::ModelPlacementT* after = nullptr;
    std::string model;
    if (change->body.type == wire::ChangeBody::UpsertPlacement) {
      after = change->body.AsUpsertPlacement()->placement.get();
      model = after->model;
    } else if (change->body.type == wire::ChangeBody::RemovePlacement) {
      model = change->body.AsRemovePlacement()->model;
    } else {
      continue;
    }
    for (wire::OrderT& order :
         OrdersBetween(tables.configuration.FindPlacement(model), after))
      fresh.push_back(std::move(order));
  }
  for (const wire::OrderT& order : fresh) Supersede(tables.orders, order);
  for (size_t i = 0; i < fresh.size(); ++i) {
    fresh[i].id = plan.id + "/" + std::to_string(i + 1);
    // The number of commands applied up to the confirmation, which only
    // increases.
    fresh[i].fencing = tables.commands_applied;
    tables.orders.push_back(std::move(fresh[i]));
  }
}

}  // namespace dotterelshift::state
