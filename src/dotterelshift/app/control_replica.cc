#include "dotterelshift/app/control_replica.h"

#include <algorithm>  // for max
#include <map>        // for map
#include <optional>   // for optional
#include <utility>    // for move

#include "dotterelshift/app/member_changes.h"            // for MemberChanges
#include "dotterelshift/app/proposals.h"                 // for Proposals
#include "dotterelshift/app/spool_sender.h"              // for SpoolSender
#include "dotterelshift/replication/bootstrap.h"         // for FirstLog
#include "dotterelshift/replication/member_discovery.h"  // for MemberDiscovery
#include "dotterelshift/replication/member_keeper.h"     // for MemberKeeper
#include "dotterelshift/replication/membership.h"        // for FindMember
#include "dotterelshift/replication/messages.h"          // for SenderOf

namespace dotterelshift::app {

namespace {

using replication::NodeRole;
using replication::Ready;
using replication::SenderOf;

constexpr size_t kMostCommandsInBatch = 1024;
// How often a new group is attempted, a waiting replica says hello, and a spool
// is proposed again.
constexpr Duration kHousekeeping = 200ms;
constexpr int kTicksBetweenRetries = 5;
constexpr uint64_t kLeaderSnapshotFactor = 2;

bool IsEmpty(const Ready& ready) {
  return !ready.HasWrites() && ready.messages.empty() &&
         ready.committed.empty() && ready.reads_confirmed.empty() &&
         !ready.leadership_changed;
}

class Replica final : public ControlReplica {
 public:
  Replica(loop::Loop& loop, const ControlReplicaOptions& options,
          ControlReplicaCallbacks callbacks);

  void Propose(std::vector<wire::CommandT> commands,
               ProposalCallback callback) override;
  void ConfirmedRead(std::function<void(ErrorKind)> callback) override;
  void Spool(const wire::SpoolT& spool) override;

  const state::State& GetState() const override { return *m_state; }
  const replication::Node& GetNode() const override { return *m_node; }
  ReplicaLoad Load() const override {
    return {m_proposals.CountWaiting(), m_proposals.CountPending(),
            m_reads.size() + m_new_reads.size(), m_log_bytes, m_snapshot_bytes};
  }
  bool Leads() const override {
    return m_trouble == ErrorKind::kNone && m_loop.Now() < m_node->LeaseUntil();
  }
  HostId LeaderHost() const override { return HostOf(m_node->Leader()); }
  std::vector<wire::ReplicaT> WaitingReplicas() const override {
    return m_discovery->Waiting(m_node->Members());
  }
  ErrorKind Trouble() const override { return m_trouble; }
  void OnFrame(const peers::PeerInfo& from, const wire::FrameT& frame) override;

 private:
  // Starting.
  void Restore(storage::OpenedStore opened);
  replication::GroupView View() const { return ViewOf(*m_node); }
  void OnHousekeeping();
  void KeepMembers();
  void SayHello(const HostId& host, bool answer_wanted);
  void OnHello(const HostId& from, const wire::ReplicaHelloT& hello);
  void TryToFound();

  // One turn: proposals in, messages out, files written, entries applied.
  void SchedulePump();
  void Pump();
  void PumpOnce();
  void FlushProposals();
  void ProposeMemberChange();
  void SendMessages(Ready& ready);
  void FinishWrite();
  void ApplyAll(const Ready& ready);
  void ApplyEntry(const wire::LogEntryT& entry);
  void AnswerReads(const std::vector<uint64_t>& tokens);
  void OnLeadershipChanged();
  void FailAll(ErrorKind error);
  void InstallSnapshot(const replication::SnapshotMeta& meta,
                       const std::string& bytes);
  uint64_t SnapshotAfterBytes() const;
  void MaybeSnapshot();
  void ArmNodeTimer();
  void OnTrouble(const Error& error);

  void SendSpool();
  void OnSpoolAnswers(const std::vector<wire::CommandAnswerT>& answers);

  HostId HostOf(ReplicaId id) const;
  ErrorKind WhyNotLeader() const {
    return m_node->Leader() == 0 ? ErrorKind::kNoQuorum : ErrorKind::kNotLeader;
  }

  loop::Loop& m_loop;
  const ControlReplicaOptions m_options;
  const ControlReplicaCallbacks m_callbacks;

  std::unique_ptr<storage::LogStore> m_store;
  std::unique_ptr<state::State> m_state;
  std::unique_ptr<replication::Node> m_node;
  ReplicaId m_self = 0;
  replication::SnapshotMeta m_applied;
  uint64_t m_log_bytes = 0;       // since the last snapshot
  uint64_t m_snapshot_bytes = 0;  // of the last one
  WallMs m_last_stamp = 0;
  ErrorKind m_trouble = ErrorKind::kNone;

  std::optional<Ready> m_unwritten;
  bool m_leads = false;
  Proposals m_proposals;
  std::vector<std::function<void(ErrorKind)>> m_new_reads;
  std::map<uint64_t, std::function<void(ErrorKind)>> m_reads;  // by token
  MemberChanges m_member_changes;
  SpoolSender m_spool;
  int m_ticks = 0;

  std::optional<replication::MemberKeeper> m_keeper;        // with self_healing
  std::optional<replication::MemberDiscovery> m_discovery;  // once restored
  std::map<ReplicaId, HostId> m_hosts;                      // heard from

  bool m_pump_scheduled = false;
  loop::Timer m_pump;
  loop::Timer m_node_timer;
  loop::Timer m_housekeeping;
};

Replica::Replica(loop::Loop& loop, const ControlReplicaOptions& options,
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
  auto [store, opened] = storage::OpenLogStore(options.store);
  m_store = std::move(store);
  m_state = state::MakeState(options.state);
  Restore(std::move(opened));
  OnHousekeeping();
  SchedulePump();
}

void Replica::Restore(storage::OpenedStore opened) {
  m_self = opened.log.self;
  for (const std::string& record : opened.spool)
    m_spool.Add(DecodeSpool(record));
  for (const wire::LogEntryT& entry : opened.log.entries)
    m_log_bytes += entry.payload.size();
  const replication::SnapshotMeta meta = opened.log.snapshot;
  m_node = replication::MakeNode(m_options.node, std::move(opened.log),
                                 m_loop.Now());
  if (meta.last_index > 0) InstallSnapshot(meta, opened.snapshot);
  if (m_options.self_healing) m_keeper.emplace(m_self);
  m_discovery.emplace(replication::MemberDiscoveryOptions{
      m_options.self, m_self, m_options.first_members, m_options.self_healing});
}

void Replica::OnHousekeeping() {
  m_housekeeping.ArmIn(kHousekeeping);
  TryToFound();
  const bool coordinates = m_discovery->Coordinates();
  for (const HostId& host : m_discovery->StartRound())
    SayHello(host, coordinates);
  if (++m_ticks % kTicksBetweenRetries == 0) {
    if (m_trouble == ErrorKind::kStorageFull) m_trouble = ErrorKind::kNone;
    SendSpool();
    SchedulePump();
  }
  if (m_node->Role() == NodeRole::kLeader && m_member_changes.Next())
    SchedulePump();
  if (m_keeper && m_ticks % kTicksBetweenRetries == 0) KeepMembers();
}

// The leader heals the group; a replica that hears none says so to all control
// hosts, because it may have been replaced while it was away.
void Replica::KeepMembers() {
  const Instant now = m_loop.Now();
  if (m_node->Role() == NodeRole::kLeader) {
    const auto change =
        m_keeper->Next(m_node->Members(), WaitingReplicas(), now);
    if (!change) return;
    m_node->ProposeMember(change->replica, change->remove, now);
    return SchedulePump();
  }
  m_keeper->StopLeading();
  if (m_node->Leader() != 0 || !m_callbacks.control_hosts) return;
  for (const HostId& host : m_callbacks.control_hosts()) SayHello(host, false);
}

void Replica::SayHello(const HostId& host, bool answer_wanted) {
  m_callbacks.send(host,
                   peers::MakeFrame(m_discovery->Hello(View(), answer_wanted)));
}

void Replica::OnHello(const HostId& from, const wire::ReplicaHelloT& hello) {
  if (m_discovery->OnHello(from, hello, View())) SayHello(from, false);
  if (m_keeper && !hello.members.empty() && m_callbacks.on_members_heard)
    m_callbacks.on_members_heard(hello.members);
  TryToFound();
}

void Replica::TryToFound() {
  if (View().in_group) return m_discovery->EndFounding();
  if (m_trouble != ErrorKind::kNone) return;
  const std::optional<wire::MembershipT> members = m_discovery->Compose();
  if (!members) return;
  m_discovery->EndFounding();
  replication::RestoredLog log = replication::FirstLog(m_self, *members);
  Ready first;
  first.hard_state = log.hard_state;
  first.append = log.entries;
  try {
    m_store->Write(first);
  } catch (const Error& error) {
    return OnTrouble(error);
  }
  m_node = replication::MakeNode(m_options.node, std::move(log), m_loop.Now());
  SchedulePump();
}

void Replica::Propose(std::vector<wire::CommandT> commands,
                      ProposalCallback callback) {
  m_proposals.Add(std::move(commands), std::move(callback));
  SchedulePump();
}

void Replica::ConfirmedRead(std::function<void(ErrorKind)> callback) {
  m_new_reads.push_back(std::move(callback));
  SchedulePump();
}

void Replica::OnFrame(const peers::PeerInfo& from, const wire::FrameT& frame) {
  if (const wire::ReplicaHelloT* hello = frame.body.AsReplicaHello())
    return OnHello(from.run.host, *hello);
  if (const wire::ProposeAnswersT* answers = frame.body.AsProposeAnswers()) {
    std::vector<wire::CommandAnswerT> copies;
    for (const auto& answer : answers->answers) copies.push_back(*answer);
    return OnSpoolAnswers(copies);
  }
  const ReplicaId sender = SenderOf(frame);
  // A replica that cannot write must not help to commit.
  if (sender == 0 || m_trouble != ErrorKind::kNone) return;
  m_hosts[sender] = from.run.host;
  if (m_keeper) m_keeper->OnHeard(sender, m_loop.Now());
  try {
    m_node->OnMessage(frame, m_loop.Now());
  } catch (const Error& error) {
    return OnTrouble(error);
  }
  SchedulePump();
}

HostId Replica::HostOf(ReplicaId id) const {
  if (id == m_self) return m_options.self;
  const auto heard = m_hosts.find(id);
  if (heard != m_hosts.end()) return heard->second;
  const wire::ReplicaT* member = replication::FindMember(m_node->Members(), id);
  return member == nullptr ? HostId() : member->host;
}

// The pump runs in the next turn of the loop, so that the frames and proposals
// of one turn are written together.
void Replica::SchedulePump() {
  if (std::exchange(m_pump_scheduled, true)) return;
  m_pump.ArmIn(Duration::zero());
}

void Replica::Pump() {
  m_pump_scheduled = false;
  m_pump.Cancel();
  try {
    PumpOnce();
    MaybeSnapshot();
  } catch (const Error& error) {
    OnTrouble(error);
  }
  ArmNodeTimer();
}

void Replica::PumpOnce() {
  if (m_unwritten) FinishWrite();
  FlushProposals();
  while (!m_unwritten) {
    Ready ready = m_node->TakeReady();
    if (IsEmpty(ready)) return;
    const bool messages = !ready.messages.empty();
    SendMessages(ready);
    if (!ready.install) ApplyAll(ready);
    if (ready.leadership_changed) OnLeadershipChanged();
    if (!ready.HasWrites()) continue;
    m_unwritten = std::move(ready);
    // The messages leave at the end of this turn; the file is written in the
    // next one, while they are under way.
    if (messages) return SchedulePump();
    FinishWrite();
  }
}

void Replica::FlushProposals() {
  if (m_trouble != ErrorKind::kNone) return FailAll(m_trouble);
  if (m_node->Role() != NodeRole::kLeader) {
    if (m_proposals.HasWaiting() || !m_new_reads.empty())
      FailAll(WhyNotLeader());
    return;
  }
  const Instant now = m_loop.Now();
  for (Proposals::Batch& batch :
       m_proposals.TakeWaiting(kMostCommandsInBatch)) {
    m_last_stamp =
        std::max({m_last_stamp, m_state->LastStamp(), m_loop.WallNow()});
    batch.content.stamp_ms = m_last_stamp;
    const auto index = m_node->Propose(EncodeBatch(batch.content), now);
    m_proposals.OnProposed(*index, m_node->Term(), std::move(batch));
  }
  for (auto& callback : std::exchange(m_new_reads, {}))
    m_reads.emplace(*m_node->ConfirmLeadership(now), std::move(callback));
  ProposeMemberChange();
}

void Replica::ProposeMemberChange() {
  const std::optional<MemberChange> change = m_member_changes.Next();
  if (change)
    m_node->ProposeMember(change->replica, change->remove, m_loop.Now());
}

void Replica::SendMessages(Ready& ready) {
  for (const auto& [id, frame] : ready.messages) {
    const HostId host = HostOf(id);
    if (!host.empty()) m_callbacks.send(host, frame);
  }
}

void Replica::FinishWrite() {
  m_store->Write(*m_unwritten);
  const Ready ready = std::move(*m_unwritten);
  m_unwritten.reset();
  for (const wire::LogEntryT& entry : ready.append)
    m_log_bytes += entry.payload.size();
  if (ready.install) {
    InstallSnapshot(ready.install->first, ready.install->second);
    ApplyAll(ready);
  }
  m_node->OnSynced(m_loop.Now());
}

void Replica::ApplyAll(const Ready& ready) {
  for (const wire::LogEntryT& entry : ready.committed) ApplyEntry(entry);
  AnswerReads(ready.reads_confirmed);
}

void Replica::ApplyEntry(const wire::LogEntryT& entry) {
  m_applied.last_index = entry.index;
  m_applied.last_term = entry.term;
  if (entry.kind == wire::LogEntryKind::Membership) {
    m_applied.membership = replication::DecodeMembership(entry.payload);
    m_member_changes.OnMembers(m_applied.membership);
  }
  std::optional<Proposals::Batch> own =
      m_proposals.TakeCommitted(entry.index, entry.term);
  if (entry.kind != wire::LogEntryKind::Batch) return;
  const wire::CommandBatchT decoded =
      own ? wire::CommandBatchT() : DecodeBatch(entry.payload);
  const wire::CommandBatchT& batch = own ? own->content : decoded;
  const uint64_t version = m_state->GetConfiguration().Version();
  const auto answers = m_state->Apply(batch);
  m_member_changes.OnApplied(batch, answers, *m_state, version);
  if (m_callbacks.on_applied) m_callbacks.on_applied(batch, answers);
  if (own) Proposals::Answer(*own, answers);
}

void Replica::AnswerReads(const std::vector<uint64_t>& tokens) {
  for (const uint64_t token : tokens) {
    const auto read = m_reads.find(token);
    if (read == m_reads.end()) continue;
    const auto callback = std::move(read->second);
    m_reads.erase(read);
    callback(ErrorKind::kNone);
  }
}

void Replica::OnLeadershipChanged() {
  const bool leads = m_node->Role() == NodeRole::kLeader;
  if (std::exchange(m_leads, leads) && !leads) FailAll(WhyNotLeader());
  if (m_callbacks.on_leadership_changed) m_callbacks.on_leadership_changed();
  SendSpool();
}

void Replica::FailAll(ErrorKind error) {
  m_proposals.FailAll(error);
  const auto reads = std::exchange(m_reads, {});
  const auto new_reads = std::exchange(m_new_reads, {});
  for (const auto& [token, callback] : reads) callback(error);
  for (const auto& callback : new_reads) callback(error);
}

void Replica::InstallSnapshot(const replication::SnapshotMeta& meta,
                              const std::string& bytes) {
  m_state->Restore(m_member_changes.TakeFrom(bytes));
  m_member_changes.OnMembers(meta.membership);
  m_applied = meta;
  m_snapshot_bytes = bytes.size();
  m_node->SetSnapshotSource(meta, std::make_shared<const std::string>(bytes));
}

// Replicas come to it at different times, so that a majority goes on
// committing while one pauses to write its state.
uint64_t Replica::SnapshotAfterBytes() const {
  const uint64_t every =
      std::max(m_options.snapshot_every_bytes,
               m_snapshot_bytes * m_options.log_per_snapshot);
  const bool alone = m_node->Members().replicas.size() == 1;
  if (m_node->Role() == NodeRole::kLeader && !alone)
    return every * kLeaderSnapshotFactor;
  constexpr uint64_t kSteps = 4;
  return every + every / kSteps * (m_self % kSteps);
}

void Replica::MaybeSnapshot() {
  const bool due =
      m_log_bytes >= SnapshotAfterBytes() && m_trouble == ErrorKind::kNone;
  if (!due) return;
  m_log_bytes = 0;
  std::string bytes = m_state->Snapshot();
  m_member_changes.AppendTo(bytes);
  m_snapshot_bytes = bytes.size();
  m_store->SaveSnapshot(m_applied, bytes);
  m_node->SetSnapshotSource(
      m_applied, std::make_shared<const std::string>(std::move(bytes)));
  m_node->OnSnapshotMade(m_applied.last_index);
}

void Replica::ArmNodeTimer() {
  if (m_trouble == ErrorKind::kNone)
    m_node_timer.ArmAt(m_node->NextTimer());
  else
    m_node_timer.Cancel();
}

// A full disk may be emptied: the write is tried again, and until then the
// replica is silent, so that another one leads. Any other trouble lasts.
void Replica::OnTrouble(const Error& error) {
  m_trouble = error.Kind();
  FailAll(m_trouble);
  if (m_callbacks.on_leadership_changed) m_callbacks.on_leadership_changed();
}

void Replica::Spool(const wire::SpoolT& spool) {
  m_store->AppendSpool(EncodeSpool(spool));
  m_spool.Add(spool);
}

void Replica::SendSpool() {
  if (m_spool.Empty()) return;
  std::vector<wire::CommandT> commands = m_spool.Some();
  if (m_node->Role() == NodeRole::kLeader) {
    return Propose(std::move(commands), [this](ErrorKind, const auto& answers) {
      OnSpoolAnswers(answers);
    });
  }
  const HostId leader = LeaderHost();
  if (leader.empty()) return;
  wire::ProposeT propose;
  for (wire::CommandT& command : commands)
    propose.commands.push_back(
        std::make_unique<wire::CommandT>(std::move(command)));
  m_callbacks.send(leader, peers::MakeFrame(std::move(propose)));
}

void Replica::OnSpoolAnswers(const std::vector<wire::CommandAnswerT>& answers) {
  if (!m_spool.OnAnswers(answers)) return;
  try {
    m_store->ClearSpool();
  } catch (const Error& error) {
    OnTrouble(error);
  }
}

}  // namespace

std::unique_ptr<ControlReplica> MakeControlReplica(
    loop::Loop& loop, const ControlReplicaOptions& options,
    ControlReplicaCallbacks callbacks) {
  return std::make_unique<Replica>(loop, options, std::move(callbacks));
}

}  // namespace dotterelshift::app
