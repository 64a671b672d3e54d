#include "dotterelshift/routing/target.h"

#include <algorithm>  // for find

namespace dotterelshift::routing {
namespace {

template <typename Values>
bool Contains(const Values& values, std::string_view value) {
  return std::find(values.begin(), values.end(), value) != values.end();
}

}  // namespace

std::string_view BaseModel(std::string_view target) {
  return target.substr(0, target.rfind(':'));
}

bool Serves(const wire::EndpointRecordT& record, const std::string& target,
            bool service) {
  if (service) return Contains(record.services, target);
  const std::string_view base = BaseModel(target);
  for (const auto& state : record.models) {
    if (state->model == target) return true;
    if (base.size() == target.size() || state->model != base) continue;
    if (Contains(state->adapters, target.substr(base.size() + 1))) return true;
  }
  return false;
}

state::Reach ReachOf(const state::Configuration& configuration,
                     const TeamId& team, const std::string& target,
                     bool service) {
  if (service) return configuration.ReachOfService(team, target);
  const state::Reach reach = configuration.ReachOfModel(team, target);
  const std::string_view base = BaseModel(target);
  if (reach != state::Reach::kUnknown || base.size() == target.size())
    return reach;
  return configuration.ReachOfModel(team, std::string(base));
}

bool MayUse(const state::Configuration& configuration, const TeamId& team,
            const EndpointId& endpoint, const std::string& target) {
  if (configuration.MayUse(team, endpoint, target)) return true;
  const std::string_view base = BaseModel(target);
  return base.size() != target.size() &&
         configuration.MayUse(team, endpoint, std::string(base));
}

}  // namespace dotterelshift::routing
