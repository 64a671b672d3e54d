#include "dotterelshift/directory/neighbours.h"

#include <algorithm>  // for find
#include <cstddef>    // for size_t

namespace dotterelshift::directory {
namespace {

bool Holds(const std::vector<size_t>& places, size_t place) {
  return std::find(places.begin(), places.end(), place) != places.end();
}

}  // namespace

std::vector<HostId> NeighboursOf(const std::set<HostId>& roster,
                                 const HostId& self, size_t fan_out) {
  const std::vector<HostId> hosts(roster.begin(), roster.end());
  const size_t count = hosts.size();
  const auto here = std::find(hosts.begin(), hosts.end(), self);
  if (here == hosts.end() || count < 2) return {};
  if (fan_out >= count - 1) {
    std::vector<HostId> others = hosts;
    std::erase(others, self);
    return others;
  }
  const auto own = static_cast<size_t>(here - hosts.begin());

  std::vector<size_t> places;
  for (size_t r = 1; r <= fan_out; ++r) {
    // -(fan_out * own + r) modulo count.
    const size_t place = count - 1 - (fan_out * own + r - 1) % count;
    if (place != own && !Holds(places, place)) places.push_back(place);
  }
  // The graph may yield the host itself or duplicates; the next hosts in order
  // take their place.
  for (size_t step = 1; step < count && places.size() < fan_out; ++step) {
    const size_t place = (own + step) % count;
    if (!Holds(places, place)) places.push_back(place);
  }
  std::vector<HostId> neighbours;
  neighbours.reserve(places.size());
  for (const size_t place : places) neighbours.push_back(hosts[place]);
  return neighbours;
}

}  // namespace dotterelshift::directory
