#ifndef DOTTERELSHIFT_APP_CONTROL_LINK_H_
#define DOTTERELSHIFT_APP_CONTROL_LINK_H_

#include <cstdint>      // for uint64_t
#include <map>          // for map
#include <memory>       // for unique_ptr
#include <optional>     // for optional
#include <string>       // for string
#include <string_view>  // for string_view
#include <utility>      // for exchange, pair
#include <vector>       // for vector

#include "dotterelshift/base/ids.h"               // for HostRun
#include "dotterelshift/base/time.h"              // for Instant
#include "dotterelshift/origins/origin_lookup.h"  // for DistantEntry
#include "dotterelshift/serving/request_core.h"   // for ControlReach
#include "dotterelshift/state/configuration.h"    // for Configuration
#include "dotterelshift/wire/frames_generated.h"  // for FrameT

namespace dotterelshift::app {

// The name of a reachability state in logs and health responses.
std::string_view NameOf(serving::ControlReach reach);

struct ControlLinkOptions {
  HostRun self;
  Duration beat = 1s;  // heartbeat interval, to each control host
  Duration search_heartbeat_interval =
      100ms;  // heartbeat interval while no leader is known
  Duration cut_off_after =
      3s;  // since the newest heartbeat that a leader answered was sent
  Duration resend_after =
      1s;  // an unanswered command is sent again, with the same id
  // Limit of the resend timeout, which doubles at each resend to the same
  // leader so that resends do not add load to a leader that has a backlog.
  Duration max_resend_timeout = 8s;
  // Between heartbeats that are sent to the leader out of turn.
  Duration min_ask_interval = 50ms;
  size_t commands_per_frame = 512;
  // Reports the sequence below which all answers have arrived, so that control
  // can drop them. Valid only if commands are proposed in sequence order.
  bool reports_answered_below = false;
  size_t spool_copies = 2;
};

// The entry side of the connections to control, without I/O of its own: finds
// the leader, keeps commands until they are answered, follows the configuration
// and the published routes, and reports whether control can be reached. A
// replica is taken for the leader only once it has answered a heartbeat, which
// it does after a quorum has confirmed its leadership.
class ControlLink {
 public:
  explicit ControlLink(const ControlLinkOptions& options)
      : m_options(options) {}

  void OnPeerUp(const HostId& host, Instant now);
  void OnPeerDown(const HostId& host, Instant now);
  // Handles a frame from a control host. Frames of other kinds are ignored.
  void OnFrame(const HostId& from, const wire::FrameT& frame, Instant now);
  void OnTimer(Instant now);
  Instant NextTimer() const { return m_next_heartbeat; }

  // Sends a command repeatedly until it is answered. TakeAnswers() returns the
  // answer exactly once.
  void Propose(wire::CommandT command);
  // Sends a settlement to reachable control replicas. TakeSpooled() returns its
  // id once one of them has stored it.
  void Spool(wire::CommandT command);

  // The budget holdings that the next heartbeats report to the leader.
  // Limits that endpoints have named to this entry.
  void SetLimitNotes(std::vector<wire::LimitNote> notes) {
    m_limit_notes = std::move(notes);
  }
  // Limits that endpoints name, as last sent by control, once.
  std::vector<wire::LimitNote> TakeLimitNotes() {
    return std::exchange(m_received_limits, {});
  }
  void SetHoldings(std::vector<wire::BudgetHoldingT> holdings) {
    m_holdings = std::move(holdings);
  }

  // Whether the leader should name entries that can relay to endpoints. A
  // heartbeat is due at once when it should.
  void SetWantsRelays(bool wants, Instant now) {
    if (wants && !m_wants_relays) m_next_heartbeat = now;
    m_wants_relays = wants;
  }

  serving::ControlReach Reach() const { return m_reach; }
  const HostId& Leader() const { return m_leader; }
  const state::Configuration& GetConfiguration() const {
    return m_configuration;
  }
  // The newest published routes received from a leader; version 0: none.
  uint64_t RoutesVersion() const { return m_routes_version; }
  const std::string& RoutesDocument() const { return m_routes_document; }
  // The longest time from sending a heartbeat to its answer since the last
  // call: the round trip and the confirmation by a quorum. 0: none was
  // answered.
  Duration TakeMaxHeartbeatTime() {
    return std::exchange(m_max_heartbeat_time, {});
  }
  // Addresses of control replicas and of entries, as last sent by control.
  const std::vector<std::string>& ControlAddresses() const {
    return m_control_addresses;
  }
  const std::vector<std::string>& EntryAddresses() const {
    return m_entry_addresses;
  }
  // Entries of the other data centres that can be asked for origins of streams,
  // as last sent by control. None in a fleet whose entries connect to all.
  const std::vector<origins::DistantEntry>& DistantEntries() const {
    return m_distant_entries;
  }
  // When the newest heartbeat that a leader answered was sent.
  std::optional<Instant> ConfirmedAt() const { return m_confirmed; }
  // Sends the leader a heartbeat with the next call of OnTimer(), unless one
  // was sent after this time.
  void AskLeaderAfter(Instant time) { m_ask_after = time; }
  // Number of entries in the fleet, including this one.
  size_t EntryCount() const { return m_entry_count; }
  // Of these, in the data centre of this entry; 0: control does not say.
  size_t DataCentreCount() const { return m_data_centre_count; }
  // For how long this entry has been counted, in earlier runs too.
  Duration CountedFor() const { return m_counted_for; }
  // Index of this entry among them.
  size_t EntryIndex() const { return m_entry_index; }
  size_t Unanswered() const { return m_unanswered.size(); }
  // True if no command and no spooled settlement awaits an answer.
  bool Idle() const {
    return m_unanswered.empty() && m_unstored_spools.empty();
  }

  std::vector<std::pair<HostId, wire::FrameT>> TakeFrames(Instant now);
  std::vector<wire::CommandAnswerT> TakeAnswers() {
    return std::exchange(m_answers, {});
  }
  std::vector<wire::CommandIdT> TakeSpooled() {
    return std::exchange(m_spooled, {});
  }
  std::vector<wire::RecallT> TakeRecalls() {
    return std::exchange(m_recalls, {});
  }
  std::vector<wire::QuarantinePushT> TakeQuarantines() {
    return std::exchange(m_quarantines, {});
  }

 private:
  struct PendingCommand {
    wire::CommandT command;
    Instant sent{};    // the epoch: not sent
    Duration timeout;  // from `sent` until it is sent again
  };
  void OnLeaderHeartbeat(const HostId& from, const wire::LeaderBeatT& beat,
                         Instant now);
  void TakeDistantEntries(const wire::DistantEntriesT& distant);
  void OnAnswers(const wire::ProposeAnswersT& answers);
  void OnSpoolStored(const wire::SpoolStoredT& stored);
  void OnConfiguration(const wire::ConfigurationPushT& push);
  void OnRoutes(const wire::RoutesPushT& push, Instant now);
  bool ApplyRoutesDelta(const wire::RoutesStepT& step);
  void ForgetLeader(Instant now);
  void UpdateReach(Instant now);
  bool MustAskLeader(Instant now) const;
  void SendHeartbeats(const std::vector<HostId>& hosts, Instant now);
  using Commands = std::map<uint64_t, PendingCommand>;  // by the id's sequence
  void MarkOverdue(Instant now);
  void MarkOverdueIn(Commands& commands, std::vector<uint64_t>* unsent,
                     Instant now) const;
  void SendCommands(Instant now);
  uint64_t AnsweredBelow() const;
  void SendSpools(Instant now);

  ControlLinkOptions m_options;
  std::vector<HostId> m_hosts;  // connected control hosts
  HostId m_leader;              // empty: unknown
  uint64_t m_term = 0;
  uint64_t m_heartbeat_sequence = 0;
  std::map<uint64_t, Instant>
      m_heartbeats_sent;          // by sequence, from the newest answered one
  Instant m_heartbeat_sent_at{};  // the newest one
  std::optional<Instant> m_ask_after;  // the leader is asked after this time
  Instant m_next_heartbeat{};
  bool m_wants_relays = false;
  Duration m_max_heartbeat_time{};
  // When the newest answered heartbeat was sent.
  std::optional<Instant> m_confirmed;
  serving::ControlReach m_reach = serving::ControlReach::kNever;
  state::Configuration m_configuration;
  uint64_t m_leader_configuration_version =
      0;  // of the leader, by its last heartbeat
  bool m_knows_leader_version = false;
  uint64_t m_leader_routes_version =
      0;  // version of the leader's published routes
  uint64_t m_routes_version = 0;
  std::string m_routes_document;
  bool m_needs_full_routes =
      false;  // a delta did not apply to the held version
  std::vector<std::string> m_control_addresses;
  std::vector<std::string> m_entry_addresses;
  std::vector<origins::DistantEntry> m_distant_entries;
  size_t m_entry_count = 1;
  size_t m_data_centre_count = 0;
  Duration m_counted_for{};
  std::vector<wire::LimitNote> m_limit_notes;
  std::vector<wire::LimitNote> m_received_limits;
  size_t m_entry_index = 0;
  Commands m_unanswered;
  Commands m_unstored_spools;
  bool m_has_spooled = false;      // a command was ever sent to a spool
  std::vector<uint64_t> m_unsent;  // sequences to send or resend
  std::vector<uint64_t> m_unsent_spools;
  std::vector<wire::BudgetHoldingT> m_holdings;
  std::vector<std::pair<HostId, wire::FrameT>> m_frames;
  std::vector<wire::CommandAnswerT> m_answers;
  std::vector<wire::CommandIdT> m_spooled;
  std::vector<wire::RecallT> m_recalls;
  std::vector<wire::QuarantinePushT> m_quarantines;
};

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_APP_CONTROL_LINK_H_
