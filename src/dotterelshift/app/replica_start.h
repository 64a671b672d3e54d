#ifndef DOTTERELSHIFT_APP_REPLICA_START_H_
#define DOTTERELSHIFT_APP_REPLICA_START_H_

// Start of a replica, group discovery and membership repair.

#include <algorithm>  // for count_if, find

#include "dotterelshift/app/replica.h"  // for Replica

namespace dotterelshift::app {

// Interval of attempts to bootstrap a group and of hellos from a waiting
// replica.
inline constexpr Duration kHousekeepingInterval = 200ms;
// Housekeeping ticks between proposals of the spool, retries after a full disk
// and membership repairs.
inline constexpr int kTicksBetweenRetries = 5;

template <ReplicaRuntime Runtime>
Replica<Runtime>::Replica(Loop& loop, const ControlReplicaOptions& options,
                          ControlReplicaCallbacks callbacks)
    : m_loop(loop),
      m_options(options),
      m_callbacks(std::move(callbacks)),
      m_pump(loop, [this] { Pump(); }),
      m_node_timer(loop,
                   [this] {
                     m_node->OnTimer(m_loop.Now());
                     Pump();
                   }),
      m_housekeeping(loop, [this] { OnHousekeeping(); }) {
  const Instant start = m_loop.Now();
  auto [store, opened] = Runtime::OpenStore(loop, options.store);
  m_store = std::move(store);
  m_state = Runtime::MakeState(loop, options.state);
  Restore(std::move(opened));
  LogOpened(start);
  OnHousekeeping();
  SchedulePump();
}

template <ReplicaRuntime Runtime>
void Replica<Runtime>::Restore(storage::OpenedStore opened) {
  m_self = opened.log.self;
  for (const std::string& record : opened.spool)
    m_spool.Add(DecodeSpool(record));
  for (const wire::LogEntryT& entry : opened.log.entries)
    m_log_bytes += entry.payload.size();
  m_snapshots.emplace(m_options.snapshot, m_self);
  const replication::SnapshotMeta meta = opened.log.snapshot;
  m_node = replication::MakeNode(m_options.node, std::move(opened.log),
                                 m_loop.Now());
  if (meta.last_index > 0) InstallSnapshot(meta, opened.snapshot);
  if (m_options.self_healing) m_membership_repair.emplace(m_self);
  m_discovery.emplace(replication::MemberDiscoveryOptions{
      m_options.self, m_self, m_options.first_members, m_options.self_healing});
}

// Logs what the start found, so that the time to open the store can be
// distinguished from a later wait for the group.
template <ReplicaRuntime Runtime>
void Replica<Runtime>::LogOpened(Instant start) const {
  telemetry::Log(
      telemetry::LogLevel::kInfo, "replica_opened",
      {{"replica", std::to_string(m_self)},
       {"term", std::to_string(m_node->Term())},
       {"snapshot_index", std::to_string(m_applied.last_index)},
       {"snapshot_bytes", std::to_string(m_snapshots->SnapshotBytes())},
       {"last_index", std::to_string(m_node->LastIndex())},
       {"log_bytes", std::to_string(m_log_bytes)},
       {"members", std::to_string(m_node->Members().replicas.size())},
       {"took_ms", std::to_string(MsSince(start))}});
}

template <ReplicaRuntime Runtime>
void Replica<Runtime>::OnHousekeeping() {
  m_housekeeping.ArmIn(kHousekeepingInterval);
  TryBootstrap();
  const bool coordinates = m_discovery->IsCoordinator();
  for (const HostId& host : m_discovery->StartRound())
    SendHello(host, coordinates);
  if (++m_ticks % kTicksBetweenRetries == 0) {
    if (m_storage_error == ErrorKind::kStorageFull)
      m_storage_error = ErrorKind::kNone;
    SendSpool();
    SchedulePump();
  }
  if (m_node->Role() == NodeRole::kLeader && m_member_changes.Next())
    SchedulePump();
  if (m_membership_repair) RepairMembership();
}

// The leader repairs the membership. A replica that knows no leader sends
// hellos to all control hosts, because it may have been replaced while it was
// not running or disconnected.
template <ReplicaRuntime Runtime>
void Replica<Runtime>::RepairMembership() {
  const Instant now = m_loop.Now();
  std::vector<HostId> connected;
  if (m_callbacks.control_hosts) connected = m_callbacks.control_hosts();
  for (const HostId& host : connected)
    m_membership_repair->OnHostConnected(host, now);
  m_membership_repair->OnMembers(m_node->Members(), now);
  if (m_node->Role() == NodeRole::kLeader) return ProposeRepair(now);
  m_membership_repair->StopLeading();
  m_member_log.Reset();
  const bool hello_due = m_ticks % kTicksBetweenRetries == 0;
  if (m_node->Leader() != 0 || !hello_due) return;
  for (const HostId& host : connected) SendHello(host, false);
}

template <ReplicaRuntime Runtime>
void Replica<Runtime>::ProposeRepair(Instant now) {
  const wire::MembershipT& members = m_node->Members();
  const std::vector<wire::ReplicaT> waiting = WaitingReplicas();
  const auto change = m_membership_repair->Next(members, waiting, now);
  m_member_log.OnMembers(m_membership_repair->Report(members, now));
  m_member_log.OnWaiting(waiting);
  if (!change) return;
  const bool proposed =
      m_node->ProposeMember(change->replica, change->remove, now).has_value();
  m_member_log.OnChange(*change, proposed);
  if (proposed) SchedulePump();
}

template <ReplicaRuntime Runtime>
void Replica<Runtime>::SendHello(const HostId& host, bool answer_wanted) {
  m_callbacks.send(host,
                   peers::MakeFrame(m_discovery->Hello(View(), answer_wanted)));
}

template <ReplicaRuntime Runtime>
void Replica<Runtime>::OnHello(const HostId& from,
                               const wire::ReplicaHelloT& hello) {
  ++m_hellos;
  if (m_discovery->OnHello(from, hello, View(), m_loop.Now()))
    m_callbacks.send(from,
                     peers::MakeFrame(m_discovery->AnswerTo(hello, View())));
  if (m_membership_repair && !hello.members.empty() &&
      m_callbacks.on_members_received)
    m_callbacks.on_members_received(hello.members);
  TryBootstrap();
}

template <ReplicaRuntime Runtime>
void Replica<Runtime>::TryBootstrap() {
  if (View().in_group) return m_discovery->EndBootstrap();
  if (m_storage_error != ErrorKind::kNone) return;
  const std::optional<wire::MembershipT> members =
      m_discovery->ComposeMembership();
  if (!members) return;
  const uint64_t term = m_discovery->FirstTerm();
  m_discovery->EndBootstrap();
  replication::RestoredLog log =
      replication::MakeInitialLog(m_self, *members, term);
  Ready first;
  first.hard_state = log.hard_state;
  first.append = log.entries;
  try {
    m_store->Write(first);
  } catch (const Error& error) {
    return OnStorageError(error);
  }
  m_node = replication::MakeNode(m_options.node, std::move(log), m_loop.Now());
  SchedulePump();
}

template <ReplicaRuntime Runtime>
HostId Replica<Runtime>::HostOf(ReplicaId id) const {
  if (id == m_self) return m_options.self;
  const auto heard = m_hosts.find(id);
  if (heard != m_hosts.end()) return heard->second;
  const wire::ReplicaT* member = replication::FindMember(m_node->Members(), id);
  return member == nullptr ? HostId() : member->host;
}

template <ReplicaRuntime Runtime>
size_t Replica<Runtime>::ConnectedVoters() const {
  std::vector<HostId> hosts;
  if (m_callbacks.control_hosts) hosts = m_callbacks.control_hosts();
  hosts.push_back(m_options.self);
  return static_cast<size_t>(std::ranges::count_if(
      m_node->Members().replicas, [&hosts](const auto& member) {
        return member->voter &&
               std::ranges::find(hosts, member->host) != hosts.end();
      }));
}

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_APP_REPLICA_START_H_
