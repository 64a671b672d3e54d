#include "dotterelshift/gateway/route_targets.h"

#include <xxhash.h>  // for XXH3_64bits

#include <string>  // for string

namespace dotterelshift::gateway {
namespace {

uint64_t FingerprintOf(const Route& route) {
  std::string text = route.host + '\0' + route.path_prefix;
  for (const WeightedService& share : route.services)
    if (share.weight > 0) text += '\0' + share.service;
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace

void RouteTargets::Update(const RouteTable& routes, Instant now) {
  // A sum, as the order of the routes does not matter.
  uint64_t fingerprint = 0;
  for (const Route& route : routes.Get().routes)
    fingerprint += FingerprintOf(route);
  if (m_since && fingerprint == m_fingerprint) return;
  m_fingerprint = fingerprint;
  m_since = now;
}

}  // namespace dotterelshift::gateway
