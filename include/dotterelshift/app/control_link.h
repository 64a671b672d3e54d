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
#include "dotterelshift/serving/request_core.h"   // for ControlReach
#include "dotterelshift/state/configuration.h"    // for Configuration
#include "dotterelshift/wire/frames_generated.h"  // for FrameT

namespace dotterelshift::app {

// The name of a reach in logs and health answers.
std::string_view NameOf(serving::ControlReach reach);

struct ControlLinkOptions {
  HostRun self;
  Duration beat = 1s;                          // to every control host in reach
  Duration search_heartbeat_interval = 100ms;  // while no leader is known
  Duration cut_off_after =
      3s;  // since the last beat that a leader answered was sent
  Duration resend_after =
      1s;  // a command without an answer is sent again, with the same id
  // Doubled at each resend to the same leader, up to this: a leader that is
  // behind must not get more to do for being late.
  Duration max_resend_timeout = 8s;
  size_t commands_per_frame = 512;
  // Tells control which answers it need not keep any more. Only where commands
  // are proposed in the order of their sequences.
  bool reports_answered_below = false;
  size_t spool_copies = 2;
};

// An entry's side of its connections to control, as a core: finds the leader,
// keeps commands until they are answered, follows the configuration, and says
// how far control can be reached. A replica leads for us only once it has
// answered a beat, which it does after a quorum confirmed it.
class ControlLink {
 public:
  explicit ControlLink(const ControlLinkOptions& options)
      : m_options(options) {}

  void OnPeerUp(const HostId& host, Instant now);
  void OnPeerDown(const HostId& host, Instant now);
  // A frame of a control host. Frames of other kinds are passed over.
  void OnFrame(const HostId& from, const wire::FrameT& frame, Instant now);
  void OnTimer(Instant now);
  Instant NextTimer() const { return m_next_heartbeat; }

  // Sends a command until it is answered; the answer is among TakeAnswers(),
  // once.
  void Propose(wire::CommandT command);
  // Hands a settlement to control replicas in reach; the id is among
  // TakeSpooled() once one of them stored it.
  void Spool(wire::CommandT command);

  // What the next beats tell the leader of our holdings.
  void SetHoldings(std::vector<wire::BudgetHoldingT> holdings) {
    m_holdings = std::move(holdings);
  }

  serving::ControlReach Reach() const { return m_reach; }
  const HostId& Leader() const { return m_leader; }
  const state::Configuration& GetConfiguration() const {
    return m_configuration;
  }
  // The newest published routes that a leader sent; version 0: none.
  uint64_t RoutesVersion() const { return m_routes_version; }
  const std::string& RoutesDocument() const { return m_routes_document; }
  // The longest that an answered beat has taken, there and back and for a
  // quorum, since the last call; 0: none was answered.
  Duration TakeMaxHeartbeatTime() {
    return std::exchange(m_max_heartbeat_time, {});
  }
  // Addresses of control and of the entries, as the leader named them last.
  const std::vector<std::string>& ControlAddresses() const {
    return m_control_addresses;
  }
  const std::vector<std::string>& EntryAddresses() const {
    return m_entry_addresses;
  }
  // Entries in the whole fleet, this one among them.
  size_t EntryCount() const { return m_entry_count; }
  // The place of this entry among them.
  size_t EntryIndex() const { return m_entry_index; }
  size_t Unanswered() const { return m_unanswered.size(); }
  // True when nothing waits for an answer.
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
    Instant sent{};    // the epoch: not yet
    Duration timeout;  // from then until it is sent again
  };
  void OnLeaderHeartbeat(const HostId& from, const wire::LeaderBeatT& beat,
                         Instant now);
  void OnAnswers(const wire::ProposeAnswersT& answers);
  void OnSpoolStored(const wire::SpoolStoredT& stored);
  void OnConfiguration(const wire::ConfigurationPushT& push);
  void OnRoutes(const wire::RoutesPushT& push, Instant now);
  bool ApplyRoutesDelta(const wire::RoutesStepT& step);
  void ForgetLeader(Instant now);
  void UpdateReach(Instant now);
  void SendHeartbeats(Instant now);
  using Commands = std::map<uint64_t, PendingCommand>;  // by the id's sequence
  void MarkOverdue(Instant now);
  void MarkOverdueIn(Commands& commands, std::vector<uint64_t>* unsent,
                     Instant now) const;
  void SendCommands(Instant now);
  uint64_t AnsweredBelow() const;
  void SendSpools(Instant now);

  ControlLinkOptions m_options;
  std::vector<HostId> m_hosts;  // control hosts in reach
  HostId m_leader;              // empty: not known
  uint64_t m_term = 0;
  uint64_t m_heartbeat_sequence = 0;
  std::map<uint64_t, Instant>
      m_heartbeats_sent;  // by sequence, those not older than the answered one
  Instant m_next_heartbeat{};
  Duration m_max_heartbeat_time{};
  std::optional<Instant> m_confirmed;  // when the newest answered beat was sent
  serving::ControlReach m_reach = serving::ControlReach::kNever;
  state::Configuration m_configuration;
  uint64_t m_leader_configuration_version =
      0;  // the leader's, by its last beat
  bool m_knows_leader_version = false;
  uint64_t m_leader_routes_version =
      0;  // version of the leader's published routes
  uint64_t m_routes_version = 0;
  std::string m_routes_document;
  bool m_needs_full_routes = false;  // steps did not lead on from what is held
  std::vector<std::string> m_control_addresses;
  std::vector<std::string> m_entry_addresses;
  size_t m_entry_count = 1;
  size_t m_entry_index = 0;
  Commands m_unanswered;
  Commands m_unstored_spools;
  bool m_has_spooled = false;      // once any command was handed to a spool
  std::vector<uint64_t> m_unsent;  // sequences to be sent, or sent again
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
