#include "dotterelshift/gateway/fleet_limits.h"

#include <algorithm>  // for any_of, max, min

namespace dotterelshift::gateway {
namespace {

// How long it is known which limits were named in this entry's own responses.
constexpr Duration kLearnedMemory = 30s;

// How often what is no longer needed is forgotten.
constexpr Duration kForgetInterval = 10s;

}  // namespace

FleetLimits::FleetLimits(FleetLimitsOptions options, const FleetLoad& load,
                         Instant started)
    : m_options(std::move(options)),
      m_load(load),
      m_lease({.self = m_options.self}, started),
      m_schedule(PermitScheduleOptions()) {}

bool FleetLimits::IsOfGroup(const HostId& host) const {
  if (m_whole_fleet) return true;
  const auto found = m_entries.find(host);
  return found != m_entries.end() && found->second == m_options.data_centre;
}

bool FleetLimits::IsOfGroup(EndpointKey endpoint) const {
  if (m_whole_fleet) return true;
  const origins::EndpointContact* contact = m_load.Find(endpoint);
  return contact != nullptr && contact->data_centre == m_options.data_centre;
}

void FleetLimits::OnEntryUp(const HostId& host, const DataCentreId& data_centre,
                            Instant now) {
  m_entries[host] = data_centre;
  UpdatePeers();
  std::vector<wire::LimitNote> notes = m_named.Notes(now);
  if (!notes.empty()) MessageTo(host).notes = std::move(notes);
}

void FleetLimits::OnEntryDown(const HostId& host) {
  m_entries.erase(host);
  m_messages.erase(host);
  UpdatePeers();
}

void FleetLimits::UpdatePeers() {
  std::vector<HostId> peers;
  for (const auto& [host, data_centre] : m_entries)
    if (IsOfGroup(host)) peers.push_back(host);
  m_lease.SetPeers(std::move(peers));
}

void FleetLimits::OnCount(const FleetCount& count, Instant now) {
  if (now >= m_next_forget) Forget(now);
  if (count.confirmed == m_counted) return;
  m_counted = count.confirmed;
  m_whole_fleet = count.entries <= m_options.max_connected_fleet;
  EntryGroup group;
  group.data_centre = m_whole_fleet ? DataCentreId() : m_options.data_centre;
  group.entries = m_whole_fleet ? count.entries : count.in_data_centre;
  group.counted_for = count.counted_for;
  if (group.entries > 0) m_lease.OnGroup(group, count.confirmed, now);
  UpdatePeers();
}

void FleetLimits::OnResponse(EndpointKey endpoint, const EndpointLimits& limits,
                             Instant now) {
  if (limits.Any()) m_learned[endpoint] = now;
  const origins::EndpointContact* contact = m_load.Find(endpoint);
  const EndpointIdKey id =
      contact == nullptr ? 0 : EndpointIdKeyOf(contact->id);
  if (!m_named.OnResponse(endpoint, id, limits, now)) return;
  m_learned[endpoint] = now;
  for (const auto& [host, data_centre] : m_entries)
    MessageTo(host).notes.push_back(m_named.NoteOf(endpoint, now));
  OnChanged(endpoint, "response", now);
}

void FleetLimits::OnArrival(EndpointKey endpoint, const EndpointId& id,
                            Instant now) {
  const EndpointIdKey id_key = EndpointIdKeyOf(id);
  m_incarnations[id_key] = endpoint;
  InheritFor(endpoint, id_key, now);
}

void FleetLimits::InheritFor(EndpointKey endpoint, EndpointIdKey id,
                             Instant now) {
  if (m_named.Inherit(endpoint, id)) OnChanged(endpoint, "restart", now);
}

// One endpoint whose id is not known here stands for itself.
EndpointIdKey FleetLimits::ScheduledAs(EndpointKey endpoint) const {
  const EndpointIdKey id = m_named.IdOf(endpoint);
  return id == 0 ? endpoint : id;
}

EndpointLimits FleetLimits::NewestLimits(EndpointKey endpoint) const {
  const auto newest = m_incarnations.find(m_named.IdOf(endpoint));
  return m_named.Of(newest == m_incarnations.end() ? endpoint : newest->second);
}

void FleetLimits::OnNotes(const std::vector<wire::LimitNote>& notes,
                          std::string_view source, Instant now) {
  for (const wire::LimitNote& note : notes) {
    if (!m_named.OnNote(note, now)) continue;
    OnChanged(note.endpoint(), source, now);
    // An incarnation that is no longer known here may have named it.
    const auto newest = m_incarnations.find(note.endpoint_id());
    if (newest != m_incarnations.end())
      InheritFor(newest->second, note.endpoint_id(), now);
  }
}

void FleetLimits::OnChanged(EndpointKey endpoint, std::string_view source,
                            Instant now) {
  const EndpointLimits limits = m_named.Of(endpoint);
  m_limited = m_named.Limited();
  m_closed.erase(endpoint);
  m_schedule.OnLimits(ScheduledAs(endpoint), NewestLimits(endpoint), now);
  const origins::EndpointContact* contact = m_load.Find(endpoint);
  Log("endpoint_limit",
      {{"endpoint", contact == nullptr ? "unknown" : contact->id},
       {"limit", TextOf(limits)},
       {"learned_from", std::string(source)},
       {"age_ms", std::to_string(m_named.NoteOf(endpoint, now).age_ms())},
       {"granter", m_lease.Holder(now)}});
  UpdateLease(now);
}

void FleetLimits::OnMessage(const HostId& from,
                            const wire::LimitExchangeT& message, Instant now) {
  OnNotes(message.notes, from, now);
  if (message.request != nullptr && IsOfGroup(from)) {
    auto vote = std::make_unique<wire::LeaseVoteT>(
        m_lease.OnRequest(from, *message.request, now));
    MessageTo(from).vote = std::move(vote);
  }
  if (message.vote != nullptr) m_lease.OnVote(from, *message.vote, now);
  UpdateLease(now);
  for (const wire::PermitOutcome& outcome : message.outcomes)
    OnPermitOutcome(from, outcome, now);
  for (const wire::PermitAsk& ask : message.asks) OnPermitAsk(from, ask, now);
  for (const wire::PermitAnswer& answer : message.answers)
    OnPermitAnswer(from, answer, now);
  SendDecisions(now);
}

void FleetLimits::Retire(Instant now) {
  Queue(m_lease.Retire(now));
  UpdateLease(now);
  SendDecisions(now);
}

bool FleetLimits::IsLimited(EndpointKey endpoint) const {
  return !m_limited.empty() && m_named.Of(endpoint).Any();
}

Instant FleetLimits::OpenFrom(EndpointKey endpoint, int priority,
                              Instant now) const {
  if (!IsOfGroup(endpoint) || m_lease.Holder(now).empty())
    return now + m_options.vacant_retry_after;
  const auto closed = m_closed.find(endpoint);
  const bool is_closed =
      closed != m_closed.end() && priority >= closed->second.priority;
  return is_closed ? closed->second.until : now;
}

PermitState FleetLimits::Ask(const PermitDemand& demand, Instant now) {
  if (!IsLimited(demand.endpoint)) return PermitState::kNotNeeded;
  const auto found = m_asked.find(demand.request);
  if (found != m_asked.end()) {
    const Asked& asked = found->second;
    if (asked.endpoint != demand.endpoint) {
      OnOutcome(demand.request, false, now);
    } else if (asked.denied) {
      m_asked.erase(found);
      return PermitState::kDenied;
    } else if (asked.granted_at) {
      if (now - *asked.granted_at <= m_options.permit_time)
        return PermitState::kGranted;
      OnOutcome(demand.request, false, now);
    } else if (now < asked.answer_by) {
      return PermitState::kAsked;
    } else {
      ++m_counts.unanswered;
      Close(demand.endpoint, m_options.answer_timeout, demand.priority, now);
      OnOutcome(demand.request, false, now);
      return PermitState::kDenied;
    }
  }
  const Instant open = OpenFrom(demand.endpoint, demand.priority, now);
  if (open > now + demand.max_wait || !AskGranter(demand, now))
    return PermitState::kDenied;
  const auto asked = m_asked.find(demand.request);
  if (asked->second.denied) {
    m_asked.erase(asked);
    return PermitState::kDenied;
  }
  return asked->second.granted_at ? PermitState::kGranted : PermitState::kAsked;
}

void FleetLimits::Use(RequestId request) {
  const auto node = m_asked.extract(request);
  if (node.empty()) return;
  const Asked& used = node.mapped();
  if (m_named.Of(used.endpoint).refusals_per_second) m_at_risk[request] = used;
}

bool FleetLimits::AskGranter(const PermitDemand& demand, Instant now) {
  const HostId granter = m_lease.Holder(now);
  if (!IsOfGroup(demand.endpoint) || granter.empty()) return false;
  const bool own = granter == m_options.self;
  if (own && !(m_granting && m_lease.IsHeld(now))) return false;
  ++m_counts.asked;
  Asked& asked = m_asked[demand.request];
  asked = {demand.endpoint,
           ++m_last_id,
           granter,
           now,
           now + demand.max_wait + m_options.answer_timeout,
           demand.priority,
           std::nullopt};
  const wire::PermitAsk ask(
      asked.id, demand.endpoint, static_cast<uint32_t>(ToMs(demand.max_wait)),
      static_cast<uint32_t>(ToMs(demand.time_left)), demand.priority);
  if (own) {
    OnPermitAsk(granter, ask, now);
    SendDecisions(now);
  } else {
    MessageTo(granter).asks.push_back(ask);
  }
  return true;
}

void FleetLimits::OnOutcome(RequestId request, bool refused, Instant now) {
  auto node = m_at_risk.extract(request);
  if (node.empty()) node = m_asked.extract(request);
  if (node.empty()) return;
  const Asked& asked = node.mapped();
  if (asked.denied) return;
  const wire::PermitOutcome outcome(asked.id, asked.endpoint, refused);
  if (asked.granter == m_options.self) {
    OnPermitOutcome(asked.granter, outcome, now);
    SendDecisions(now);
  } else if (m_entries.contains(asked.granter)) {
    MessageTo(asked.granter).outcomes.push_back(outcome);
  }
}

void FleetLimits::OnPermitOutcome(const HostId& from,
                                  const wire::PermitOutcome& outcome,
                                  Instant now) {
  if (m_granting)
    m_schedule.OnOutcome(from, outcome.id(), ScheduledAs(outcome.endpoint()),
                         outcome.refused(), now);
}

void FleetLimits::OnPermitAsk(const HostId& from, const wire::PermitAsk& ask,
                              Instant now) {
  if (!m_granting) {
    const wire::PermitAnswer denied(
        ask.id(), static_cast<uint32_t>(ToMs(m_options.permit_time)), false);
    MessageTo(from).answers.push_back(denied);
    return;
  }
  PermitRequest request;
  request.from = from;
  request.id = ask.id();
  request.endpoint = ScheduledAs(ask.endpoint());
  request.max_wait = std::chrono::milliseconds(ask.max_wait_ms());
  request.time_left = std::chrono::milliseconds(ask.time_left_ms());
  request.priority = ask.priority();
  m_schedule.OnRequest(request, NewestLimits(ask.endpoint()), now);
}

void FleetLimits::SendDecisions(Instant now) {
  for (const PermitDecision& decision : m_schedule.Take(now)) {
    const wire::PermitAnswer answer(decision.id,
                                    static_cast<uint32_t>(ToMs(decision.wait)),
                                    decision.granted);
    if (decision.to == m_options.self) {
      OnPermitAnswer(decision.to, answer, now);
      continue;
    }
    ++(decision.granted ? m_counts.granted_to_others
                        : m_counts.denied_to_others);
    if (m_entries.contains(decision.to))
      MessageTo(decision.to).answers.push_back(answer);
  }
}

void FleetLimits::OnPermitAnswer(const HostId& from,
                                 const wire::PermitAnswer& answer,
                                 Instant now) {
  const auto found = std::ranges::find_if(m_asked, [&](const auto& entry) {
    return entry.second.id == answer.id() && entry.second.granter == from;
  });
  if (found == m_asked.end()) return;
  Asked& asked = found->second;
  if (asked.granted_at || asked.denied) return;
  const Duration wait = std::chrono::milliseconds(answer.wait_ms());
  m_answered.push_back(found->first);
  // The permit was granted as long ago as its way took, at the most.
  const Duration travel = now - asked.at - wait;
  if (answer.granted() && travel <= m_options.permit_time) {
    ++m_counts.granted;
    asked.granted_at = now - std::max<Duration>(0s, travel);
    return;
  }
  ++m_counts.denied;
  if (!answer.granted()) Close(asked.endpoint, wait, asked.priority, now);
  asked.denied = true;
}

void FleetLimits::Close(EndpointKey endpoint, Duration time, int priority,
                        Instant now) {
  m_closed[endpoint] = {now + time, priority};
}

wire::LimitExchangeT& FleetLimits::MessageTo(const HostId& host) {
  return m_messages[host];
}

void FleetLimits::Queue(const GranterLease::Requests& requests) {
  for (const auto& [host, request] : requests)
    MessageTo(host).request = std::make_unique<wire::LeaseRequestT>(request);
}

void FleetLimits::UpdateLease(Instant now) {
  m_lease.SetNeeded(std::ranges::any_of(
      m_limited, [this](EndpointKey key) { return IsOfGroup(key); }));
  Queue(m_lease.OnTimer(now));
  const bool grants = m_lease.IsHeld(now);
  const bool begins =
      grants && (!m_granting || m_granting_since != m_lease.HeldSince());
  if (begins) m_schedule.Begin(now);
  if (m_granting && !grants) m_schedule.End();
  m_granting = grants;
  m_granting_since = m_lease.HeldSince();
  const HostId granter = m_lease.Holder(now);
  if (granter == m_granter && !begins) return;
  m_granter = granter;
  Log("permit_granter", {{"granter", granter.empty() ? "none" : granter},
                         {"data_centre", m_lease.DataCentre()},
                         {"entries", std::to_string(m_lease.Entries())},
                         {"votes", std::to_string(m_lease.Votes(now))},
                         {"own", grants ? "yes" : "no"}});
}

void FleetLimits::Forget(Instant now) {
  m_next_forget = now + kForgetInterval;
  const auto is_known = [this](EndpointKey endpoint) {
    return m_load.Find(endpoint) != nullptr;
  };
  m_named.Forget(is_known, now);
  m_limited = m_named.Limited();
  std::erase_if(m_closed, [this](const auto& closed) {
    return !m_named.Of(closed.first).Any();
  });
  std::erase_if(m_incarnations, [&](const auto& known) {
    return !is_known(known.second) && !m_named.Of(known.second).Any();
  });
  std::erase_if(m_learned, [&](const auto& learned) {
    return now - learned.second >= kLearnedMemory;
  });
}

void FleetLimits::OnTimer(Instant now) {
  UpdateLease(now);
  SendDecisions(now);
}

Instant FleetLimits::NextTimer(Instant now) const {
  return std::min(m_lease.NextTimer(now),
                  m_granting ? m_schedule.NextTimer() : Instant::max());
}

std::vector<std::pair<HostId, wire::LimitExchangeT>>
FleetLimits::TakeMessages() {
  std::vector<std::pair<HostId, wire::LimitExchangeT>> messages;
  for (auto& [host, message] : m_messages)
    messages.emplace_back(host, std::move(message));
  m_messages.clear();
  return messages;
}

std::vector<wire::LimitNote> FleetLimits::OwnNotes(Duration since,
                                                   Instant now) const {
  std::vector<wire::LimitNote> notes;
  for (const auto& [endpoint, at] : m_learned)
    if (now - at <= since) notes.push_back(m_named.NoteOf(endpoint, now));
  return notes;
}

}  // namespace dotterelshift::gateway
