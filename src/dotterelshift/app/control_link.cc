#include "dotterelshift/app/control_link.h"

#include <algorithm>  // for find, max
#include <utility>    // for move

#include "dotterelshift/base/error.h"             // for Error
#include "dotterelshift/peers/hub.h"              // for MakeFrame
#include "dotterelshift/state/packed_document.h"  // for UnpackDocument
#include "dotterelshift/telemetry/log.h"          // for Log

namespace dotterelshift::app {

using peers::MakeFrame;
using serving::ControlReach;

std::string_view NameOf(ControlReach reach) {
  switch (reach) {
    case ControlReach::kNever:
      return "never";
    case ControlReach::kConnected:
      return "connected";
    case ControlReach::kCutOff:
      return "cut_off";
  }
  return "unknown";
}

void ControlLink::OnPeerUp(const HostId& host, Instant now) {
  if (std::ranges::find(m_hosts, host) == m_hosts.end())
    m_hosts.push_back(host);
  m_next_heartbeat = now;
}

void ControlLink::OnPeerDown(const HostId& host, Instant now) {
  std::erase(m_hosts, host);
  if (host == m_leader) ForgetLeader(now);
}

void ControlLink::ForgetLeader(Instant now) {
  m_leader.clear();
  m_next_heartbeat = now;
}

void ControlLink::OnFrame(const HostId& from, const wire::FrameT& frame,
                          Instant now) {
  if (const auto* answers = frame.body.AsProposeAnswers()) {
    OnAnswers(*answers);
  } else if (const auto* beat = frame.body.AsLeaderBeat()) {
    OnLeaderHeartbeat(from, *beat, now);
  } else if (const auto* hint = frame.body.AsLeaderHint()) {
    if (m_leader.empty() || from == m_leader)
      m_control_addresses = hint->control;
    if (from == m_leader) ForgetLeader(now);
  } else if (const auto* push = frame.body.AsConfigurationPush()) {
    OnConfiguration(*push);
  } else if (const auto* routes = frame.body.AsRoutesPush()) {
    OnRoutes(*routes, now);
  } else if (const auto* recall = frame.body.AsRecall()) {
    m_recalls.push_back(*recall);
  } else if (const auto* quarantine = frame.body.AsQuarantinePush()) {
    m_quarantines.push_back(*quarantine);
  } else if (const auto* stored = frame.body.AsSpoolStored()) {
    OnSpoolStored(*stored);
  }
  UpdateReach(now);
}

void ControlLink::OnLeaderHeartbeat(const HostId& from,
                                    const wire::LeaderBeatT& beat,
                                    Instant now) {
  // A late answer may be the only one that names them.
  if (beat.distant != nullptr) TakeDistantEntries(*beat.distant);
  if (beat.term < m_term) return;
  const auto sent = m_heartbeats_sent.find(beat.sequence);
  if (sent == m_heartbeats_sent.end()) return;
  m_max_heartbeat_time = std::max(m_max_heartbeat_time, now - sent->second);
  m_confirmed = std::max(m_confirmed.value_or(sent->second), sent->second);
  m_term = beat.term;
  m_leader_configuration_version = beat.configuration_version;
  m_leader_routes_version = beat.routes_version;
  m_control_addresses = beat.control;
  m_entry_addresses = beat.entries;
  m_entry_count = std::max<size_t>(1, beat.entry_count);
  m_entry_index = beat.entry_place;
  m_data_centre_count = beat.data_centre_count;
  m_counted_for = std::chrono::milliseconds(beat.counted_ms);
  m_received_limits = beat.limits;
  m_knows_leader_version = true;
  m_heartbeats_sent.erase(m_heartbeats_sent.begin(), sent);
  if (m_leader == from) return;
  // Commands in transit to the old leader may not have reached the new one.
  m_leader = from;
  m_unsent.clear();
  for (auto& [sequence, waiting] : m_unanswered) {
    waiting.timeout = m_options.resend_after;
    m_unsent.push_back(sequence);
  }
}

void ControlLink::TakeDistantEntries(const wire::DistantEntriesT& distant) {
  m_distant_entries.clear();
  for (const auto& entry : distant.entries)
    if (entry != nullptr)
      m_distant_entries.push_back({entry->address, entry->data_centre});
}

void ControlLink::OnAnswers(const wire::ProposeAnswersT& answers) {
  for (const auto& answer : answers.answers) {
    if (answer == nullptr || answer->id == nullptr) continue;
    if (m_unanswered.erase(answer->id->sequence) > 0)
      m_answers.push_back(*answer);
  }
}

void ControlLink::OnSpoolStored(const wire::SpoolStoredT& stored) {
  for (const auto& id : stored.ids) {
    if (id != nullptr && m_unstored_spools.erase(id->sequence) > 0)
      m_spooled.push_back(*id);
  }
}

void ControlLink::OnConfiguration(const wire::ConfigurationPushT& push) {
  const bool whole = push.from_version == 0;
  if (push.to_version <= m_configuration.Version()) return;
  // A gap: the next heartbeat reports our version, and the leader sends the
  // rest.
  if (!whole && push.from_version != m_configuration.Version()) return;
  std::vector<wire::ChangeT> changes;
  for (const auto& change : push.changes) {
    if (change != nullptr) changes.push_back(*change);
  }
  if (whole) m_configuration = state::Configuration();
  m_configuration.Apply(changes, push.to_version);
}

// Versions never decrease: a leader that was partitioned may send an older one
// late. If a delta does not apply, the full document is requested at once.
void ControlLink::OnRoutes(const wire::RoutesPushT& push, Instant now) {
  for (const auto& step : push.steps) {
    if (step == nullptr || step->version <= m_routes_version) continue;
    m_needs_full_routes = !ApplyRoutesDelta(*step);
    if (!m_needs_full_routes) continue;
    m_next_heartbeat = now;
    return;
  }
}

bool ControlLink::ApplyRoutesDelta(const wire::RoutesStepT& step) {
  if (step.base != 0 && step.base != m_routes_version) return false;
  try {
    m_routes_document = state::UnpackDocument(
        step.packed, step.base == 0 ? std::string_view() : m_routes_document);
  } catch (const Error& error) {
    telemetry::Log(telemetry::LogLevel::kError, "routes_step_unusable",
                   {{"base", std::to_string(step.base)},
                    {"version", std::to_string(step.version)},
                    {"why", error.what()}});
    return false;
  }
  m_routes_version = step.version;
  return true;
}

void ControlLink::UpdateReach(Instant now) {
  const bool current =
      m_knows_leader_version &&
      m_configuration.Version() >= m_leader_configuration_version &&
      m_routes_version >= m_leader_routes_version;
  const bool fresh =
      m_confirmed.has_value() && now - *m_confirmed < m_options.cut_off_after;
  if (m_reach == ControlReach::kNever) {
    if (fresh && current) m_reach = ControlReach::kConnected;
    return;
  }
  m_reach = fresh ? ControlReach::kConnected : ControlReach::kCutOff;
}

void ControlLink::OnTimer(Instant now) {
  UpdateReach(now);
  if (now < m_next_heartbeat) {
    if (MustAskLeader(now)) SendHeartbeats({m_leader}, now);
    return;
  }
  MarkOverdue(now);
  SendHeartbeats(m_hosts, now);
  m_next_heartbeat =
      now +
      (m_leader.empty() ? m_options.search_heartbeat_interval : m_options.beat);
}

bool ControlLink::MustAskLeader(Instant now) const {
  return m_ask_after && !m_leader.empty() &&
         m_heartbeat_sent_at <= *m_ask_after &&
         now - m_heartbeat_sent_at >= m_options.min_ask_interval;
}

void ControlLink::SendHeartbeats(const std::vector<HostId>& hosts,
                                 Instant now) {
  const uint64_t sequence = ++m_heartbeat_sequence;
  m_heartbeats_sent[sequence] = now;
  m_heartbeat_sent_at = now;
  while (now - m_heartbeats_sent.begin()->second > m_options.cut_off_after)
    m_heartbeats_sent.erase(m_heartbeats_sent.begin());
  for (const HostId& host : hosts) {
    wire::EntryBeatT beat;
    beat.sequence = sequence;
    beat.configuration_version = m_configuration.Version();
    beat.routes_version = m_routes_version;
    beat.wants_routes = m_needs_full_routes;
    beat.wants_relays = m_wants_relays;
    beat.answers_questions = true;
    beat.limits = m_limit_notes;
    if (host == m_leader) {
      for (const auto& holding : m_holdings)
        beat.held.push_back(std::make_unique<wire::BudgetHoldingT>(holding));
    }
    m_frames.emplace_back(host, MakeFrame(std::move(beat)));
  }
}

void ControlLink::Propose(wire::CommandT command) {
  const uint64_t sequence = command.id->sequence;
  m_unanswered[sequence] = {std::move(command), {}, m_options.resend_after};
  m_unsent.push_back(sequence);
}

void ControlLink::Spool(wire::CommandT command) {
  const uint64_t sequence = command.id->sequence;
  m_has_spooled = true;
  m_unstored_spools[sequence] = {
      std::move(command), {}, m_options.resend_after};
  m_unsent_spools.push_back(sequence);
}

// Without a leader, no unanswered command is queued for resending, because all
// of them are sent to the next leader.
void ControlLink::MarkOverdue(Instant now) {
  if (!m_leader.empty()) MarkOverdueIn(m_unanswered, &m_unsent, now);
  MarkOverdueIn(m_unstored_spools, &m_unsent_spools, now);
}

void ControlLink::MarkOverdueIn(Commands& commands,
                                std::vector<uint64_t>* unsent,
                                Instant now) const {
  for (auto& [sequence, waiting] : commands) {
    const bool overdue =
        waiting.sent != Instant{} && now - waiting.sent >= waiting.timeout;
    if (!overdue) continue;
    // Prevents that it is queued again before it has been sent.
    waiting.sent = {};
    waiting.timeout =
        std::min(waiting.timeout * 2, m_options.max_resend_timeout);
    unsent->push_back(sequence);
  }
}

// A spooled command reaches the leader later under its original id, so no
// answer is reported as received once any command has been spooled.
uint64_t ControlLink::AnsweredBelow() const {
  const bool known = m_options.reports_answered_below && !m_has_spooled &&
                     !m_unanswered.empty();
  return known ? m_unanswered.begin()->first : 0;
}

void ControlLink::SendCommands(Instant now) {
  if (m_leader.empty()) return;
  const uint64_t answered_below = AnsweredBelow();
  wire::ProposeT propose;
  const auto send = [&] {
    m_frames.emplace_back(m_leader, MakeFrame(std::move(propose)));
    propose = {};
  };
  for (const uint64_t sequence : std::exchange(m_unsent, {})) {
    const auto waiting = m_unanswered.find(sequence);
    if (waiting == m_unanswered.end()) continue;
    waiting->second.sent = now;
    propose.commands.push_back(
        std::make_unique<wire::CommandT>(waiting->second.command));
    propose.commands.back()->id->answered_below = answered_below;
    if (propose.commands.size() == m_options.commands_per_frame) send();
  }
  if (!propose.commands.empty()) send();
}

void ControlLink::SendSpools(Instant now) {
  if (m_hosts.empty()) return;
  wire::SpoolT spool;
  for (const uint64_t sequence : std::exchange(m_unsent_spools, {})) {
    const auto waiting = m_unstored_spools.find(sequence);
    if (waiting == m_unstored_spools.end()) continue;
    waiting->second.sent = now;
    spool.commands.push_back(
        std::make_unique<wire::CommandT>(waiting->second.command));
  }
  if (spool.commands.empty()) return;
  for (size_t i = 0; i < std::min(m_options.spool_copies, m_hosts.size());
       ++i) {
    m_frames.emplace_back(m_hosts[i], MakeFrame(wire::SpoolT(spool)));
  }
}

std::vector<std::pair<HostId, wire::FrameT>> ControlLink::TakeFrames(
    Instant now) {
  SendCommands(now);
  SendSpools(now);
  return std::exchange(m_frames, {});
}

}  // namespace dotterelshift::app
