#include "dotterelshift/gateway/routes.h"

#include <algorithm>  // for sort
#include <cctype>     // for tolower
#include <utility>    // for move

namespace dotterelshift::gateway {
namespace {

// Normalizes a host name for comparison: lower case, without a port.
std::string PlainHost(std::string_view host) {
  std::string plain(host.substr(0, host.find(':')));
  for (char& c : plain)
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return plain;
}

}  // namespace

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
