#include "dotterelshift/gateway/routes.h"

#include <algorithm>  // for sort
#include <cctype>     // for tolower
#include <set>        // for set
#include <utility>    // for move, pair

namespace dotterelshift::gateway {
namespace {

// Normalizes a host name for comparison: lower case, without a port.
std::string PlainHost(std::string_view host) {
  // An IPv6 address is in brackets and has colons of its own.
  const size_t address_end = host.starts_with('[') ? host.find(']') : 0;
  std::string plain(host.substr(0, host.find(':', address_end)));
  for (char& c : plain)
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return plain;
}

std::optional<std::string> FindSharedPlace(const std::vector<Route>& routes) {
  std::set<std::pair<std::string, std::string_view>> places;
  for (const Route& route : routes) {
    const auto [place, added] =
        places.emplace(PlainHost(route.host), route.path_prefix);
    if (!added) {
      return "two routes have the host " + place->first + " and path prefix " +
             route.path_prefix;
    }
  }
  return std::nullopt;
}

std::optional<std::string> FindSharedKey(const std::vector<TeamAccess>& teams) {
  std::unordered_map<std::string_view, const TeamAccess*> owners;
  for (const TeamAccess& team : teams) {
    for (const std::string& key : team.keys) {
      if (owners.emplace(key, &team).first->second != &team)
        return "team " + team.team + " has a key of another one";
    }
  }
  return std::nullopt;
}

}  // namespace

std::optional<std::string> FindConflict(const Routes& routes) {
  if (auto place = FindSharedPlace(routes.routes)) return place;
  return FindSharedKey(routes.teams);
}

RouteTable::RouteTable(Routes routes) : m_routes(std::move(routes)) {
  for (const Route& route : m_routes.routes)
    m_by_host[PlainHost(route.host)].push_back(&route);
  for (auto& [host, list] : m_by_host) {
    std::sort(list.begin(), list.end(), [](const Route* a, const Route* b) {
      return a->path_prefix.size() > b->path_prefix.size();
    });
  }
  for (const TeamAccess& team : m_routes.teams)
    for (const std::string& key : team.keys) m_by_key[key] = &team;
  for (const Service& service : m_routes.services)
    m_services[service.name] = &service;
}

const Route* RouteTable::FindRoute(std::string_view host,
                                   std::string_view path) const {
  const auto found = m_by_host.find(PlainHost(host));
  if (found == m_by_host.end()) return nullptr;
  for (const Route* route : found->second)
    if (path.starts_with(route->path_prefix)) return route;
  return nullptr;
}

const TeamAccess* RouteTable::FindTeam(const std::string& key) const {
  const auto found = m_by_key.find(key);
  return found == m_by_key.end() ? nullptr : found->second;
}

const Service* RouteTable::FindService(const ServiceName& name) const {
  const auto found = m_services.find(name);
  return found == m_services.end() ? nullptr : found->second;
}

}  // namespace dotterelshift::gateway
