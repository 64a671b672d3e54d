#include "dotterelshift/gateway/named_limits.h"

#include <algorithm>  // for sort
#include <cstdio>     // for snprintf

namespace dotterelshift::gateway {
namespace {

// In a note: the endpoint names no such limit.
constexpr double kNoRequestLimit = -1;
constexpr uint32_t kNoRefusalLimit = UINT32_MAX;

constexpr Duration kForgetAfter = 60s;

}  // namespace

std::string TextOf(const EndpointLimits& limits) {
  std::string text;
  if (limits.requests_per_second) {
    char number[32];
    std::snprintf(number, sizeof number, "%g", *limits.requests_per_second);
    text = std::string(number) + " requests/s";
  }
  if (limits.refusals_per_second)
    text += (text.empty() ? "" : ", ") +
            std::to_string(*limits.refusals_per_second) + " refusals/s";
  return text.empty() ? "none" : text;
}

bool NamedLimits::OnResponse(EndpointKey endpoint, EndpointIdKey id,
                             const EndpointLimits& limits, Instant at) {
  const auto found = m_known.find(endpoint);
  if (found == m_known.end()) {
    if (!limits.Any()) return false;
    m_known[endpoint] = {id, limits, at};
    return true;
  }
  Known& known = found->second;
  if (known.id == 0) known.id = id;
  if (at < known.at) return false;
  known.at = at;
  if (known.limits == limits) return false;
  known.limits = limits;
  return true;
}

bool NamedLimits::OnNote(const wire::LimitNote& note, Instant now) {
  EndpointLimits limits;
  if (note.requests_per_second() >= 0)
    limits.requests_per_second = note.requests_per_second();
  if (note.refusals_per_second() != kNoRefusalLimit)
    limits.refusals_per_second = note.refusals_per_second();
  const Instant at = now - std::chrono::milliseconds(note.age_ms());
  // The end of a limit is remembered, so that older notes do not revive it.
  m_known.try_emplace(note.endpoint(), Known{note.endpoint_id(), {}, at});
  return OnResponse(note.endpoint(), note.endpoint_id(), limits, at);
}

bool NamedLimits::Inherit(EndpointKey endpoint, EndpointIdKey id) {
  if (m_known.contains(endpoint)) return false;
  auto last = m_known.end();
  for (auto known = m_known.begin(); known != m_known.end(); ++known) {
    if (known->second.id != id) continue;
    if (last == m_known.end() || known->second.at > last->second.at)
      last = known;
  }
  if (last == m_known.end() || !last->second.limits.Any()) return false;
  m_known[endpoint] = Known(last->second);
  return true;
}

EndpointLimits NamedLimits::Of(EndpointKey endpoint) const {
  const auto found = m_known.find(endpoint);
  return found == m_known.end() ? EndpointLimits() : found->second.limits;
}

EndpointIdKey NamedLimits::IdOf(EndpointKey endpoint) const {
  const auto found = m_known.find(endpoint);
  return found == m_known.end() ? 0 : found->second.id;
}

std::vector<EndpointKey> NamedLimits::Limited() const {
  std::vector<EndpointKey> endpoints;
  for (const auto& [endpoint, known] : m_known)
    if (known.limits.Any()) endpoints.push_back(endpoint);
  std::sort(endpoints.begin(), endpoints.end());
  return endpoints;
}

wire::LimitNote NamedLimits::NoteOf(EndpointKey endpoint, Instant now) const {
  const Known& known = m_known.at(endpoint);
  return {endpoint, known.id,
          known.limits.requests_per_second.value_or(kNoRequestLimit),
          known.limits.refusals_per_second.value_or(kNoRefusalLimit),
          static_cast<uint32_t>(ToMs(now - known.at))};
}

std::vector<wire::LimitNote> NamedLimits::Notes(Instant now) const {
  std::vector<wire::LimitNote> notes;
  for (const auto& [endpoint, known] : m_known)
    notes.push_back(NoteOf(endpoint, now));
  return notes;
}

void NamedLimits::Forget(const std::function<bool(EndpointKey)>& is_known,
                         Instant now) {
  std::erase_if(m_known, [&](const auto& entry) {
    return now - entry.second.at >= kForgetAfter && !is_known(entry.first);
  });
}

}  // namespace dotterelshift::gateway
