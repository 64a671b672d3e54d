#include "scenarios/control_host.h"

#include <algorithm>  // for min

namespace dotterelshift::scenarios {
namespace {

// Log entries after which a replica makes a snapshot. The number is small so
// that replicas restart from a snapshot in most scripts.
constexpr uint64_t kEntriesPerSnapshot = 200;
constexpr Duration kSpoolResendInterval = 300ms;
constexpr WallMs kWallAtStart = 1'800'000'000'000;

std::string BytesOf(const wire::CommandBatchT& batch) {
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(wire::CommandBatch::Pack(builder, &batch));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

bool IsSame(const wire::CommandIdT& one, const wire::CommandIdT& other) {
  return one.host == other.host && one.incarnation == other.incarnation &&
         one.sequence == other.sequence;
}

wire::CommandBatchT BatchOf(const std::vector<uint8_t>& payload) {
  wire::CommandBatchT batch;
  flatbuffers::GetRoot<wire::CommandBatch>(payload.data())->UnPackTo(&batch);
  return batch;
}

}  // namespace

ControlHost::ControlHost(std::string name, ReplicaId replica,
                         ControlLinks links)
    : m_name(std::move(name)), m_replica(replica), m_links(std::move(links)) {
  m_disk.log.self = replica;
}

bool ControlHost::Leads() const {
  return Alive() && m_node->Role() == replication::NodeRole::kLeader &&
         m_node->LeaseUntil() > m_links.network->Now();
}

void ControlHost::StartGroup(const wire::MembershipT& members) {
  m_disk.log.snapshot.membership = members;
  Start();
}

void ControlHost::Start() {
  replication::NodeOptions options;
  options.seed = m_replica * 100 + ++m_starts;
  m_state = state::MakeState();
  m_recall = budget::RecallCore();
  if (!m_disk.snapshot.empty()) m_state->Restore(m_disk.snapshot);
  m_applied = m_disk.log.snapshot.last_index;
  m_node = replication::MakeNode(options, m_disk.log, m_links.network->Now());
  if (!m_disk.snapshot.empty()) {
    m_node->SetSnapshotSource(
        m_disk.log.snapshot,
        std::make_shared<const std::string>(m_disk.snapshot));
  }
}

void ControlHost::Kill() {
  m_node.reset();
  m_pending_commands.clear();
  m_reads.clear();
}

void ControlHost::Wipe(ReplicaId replica) {
  Kill();
  m_replica = replica;
  m_disk = {};
  m_disk.log.self = replica;
}

void ControlHost::Tick() {
  if (!Alive()) return;
  if (m_node->NextTimer() <= m_links.network->Now())
    m_node->OnTimer(m_links.network->Now());
  if (m_spool_forward_due <= m_links.network->Now()) ForwardSpool();
  Pump();
}

// Sends the spool to all replicas at intervals until its commands are applied;
// only the leader proposes them.
void ControlHost::ForwardSpool() {
  m_spool_forward_due = m_links.network->Now() + kSpoolResendInterval;
  if (m_disk.spool.empty()) return;
  for (ControlHost* other : m_links.controls()) {
    m_links.network->Send(m_name, other->Name(), [other, spool = m_disk.spool] {
      other->Propose(spool);
    });
  }
}

ControlHost* ControlHost::FindReplica(ReplicaId replica) const {
  for (ControlHost* host : m_links.controls())
    if (host->Replica() == replica) return host;
  return nullptr;
}

void ControlHost::Propose(std::vector<wire::CommandT> commands) {
  if (!Leads()) return;
  for (wire::CommandT& command : commands)
    m_pending_commands.push_back(std::move(command));
  m_links.network->After(0s, [this] { Pump(); });
}

void ControlHost::Spool(const wire::CommandT& command) {
  m_disk.spool.push_back(command);
}

void ControlHost::ProposeMember(const wire::ReplicaT& replica, bool remove) {
  if (!Leads()) return;
  m_node->ProposeMember(replica, remove, m_links.network->Now());
  Pump();
}

void ControlHost::ConfirmedRead(std::function<void()> callback) {
  if (!Leads()) return;
  const auto token = m_node->ConfirmLeadership(m_links.network->Now());
  if (token) m_reads[*token] = std::move(callback);
  Pump();
}

void ControlHost::Pump() {
  if (!Alive()) return;
  ProposePending();
  while (Alive() && Execute(m_node->TakeReady())) {
  }
}

void ControlHost::ProposePending() {
  if (m_pending_commands.empty()) return;
  const Instant now = m_links.network->Now();
  wire::CommandBatchT batch;
  batch.stamp_ms = kWallAtStart + ToMs(now.time_since_epoch());
  for (wire::CommandT& command : m_pending_commands)
    batch.commands.push_back(
        std::make_unique<wire::CommandT>(std::move(command)));
  m_pending_commands.clear();
  m_node->Propose(BytesOf(batch), now);
}

bool ControlHost::Execute(const replication::Ready& ready) {
  const bool wrote = ready.HasWrites();
  Write(ready);
  for (const auto& [to, frame] : ready.messages) {
    ControlHost* other = FindReplica(to);
    if (!other) continue;
    m_links.network->Send(m_name, other->Name(), [other, message = frame] {
      if (!other->Alive()) return;
      other->m_node->OnMessage(message, other->m_links.network->Now());
      other->Pump();
    });
  }
  for (const wire::LogEntryT& entry : ready.committed) Apply(entry);
  for (uint64_t token : ready.reads_confirmed) {
    const auto read = m_reads.extract(token);
    if (!read.empty()) read.mapped()();
  }
  if (ready.leadership_changed && Leads()) {
    m_links.records->Trace(
        m_links.network->Now(),
        m_name + " leads term " + std::to_string(m_node->Term()));
  }
  if (wrote) m_node->OnSynced(m_links.network->Now());
  return wrote || !ready.messages.empty() || !ready.committed.empty() ||
         !ready.reads_confirmed.empty();
}

void ControlHost::Write(const replication::Ready& ready) {
  if (ready.hard_state) m_disk.log.hard_state = *ready.hard_state;
  if (ready.install) {
    m_disk.log.snapshot = ready.install->first;
    m_disk.snapshot = ready.install->second;
    m_disk.log.entries.clear();
    m_state->Restore(m_disk.snapshot);
    m_applied = m_disk.log.snapshot.last_index;
  }
  auto& entries = m_disk.log.entries;
  if (ready.truncate_from) {
    std::erase_if(entries, [&](const wire::LogEntryT& entry) {
      return entry.index >= *ready.truncate_from;
    });
  }
  entries.insert(entries.end(), ready.append.begin(), ready.append.end());
}

void ControlHost::Apply(const wire::LogEntryT& entry) {
  if (entry.index <= m_applied) return;
  m_applied = entry.index;
  if (entry.kind == wire::LogEntryKind::Batch) {
    const wire::CommandBatchT batch = BatchOf(entry.payload);
    const auto answers = m_state->Apply(batch);
    const std::string payload(entry.payload.begin(), entry.payload.end());
    m_links.records->OnApplied(entry.index, payload, batch, answers,
                               m_links.network->Now());
    AnswerAll(batch, answers);
  }
  if (m_applied >= m_disk.log.snapshot.last_index + kEntriesPerSnapshot)
    MakeSnapshot();
}

void ControlHost::AnswerAll(const wire::CommandBatchT& batch,
                            const std::vector<wire::CommandAnswerT>& answers) {
  for (size_t i = 0; i < answers.size(); ++i) {
    const wire::CommandT& command = *batch.commands[i];
    std::erase_if(m_disk.spool, [&](const wire::CommandT& spooled) {
      return IsSame(*spooled.id, *command.id);
    });
    if (m_node->Role() != replication::NodeRole::kLeader) continue;
    m_links.answer(m_name, answers[i]);
    RecallFor(command, answers[i]);
  }
}

void ControlHost::RecallFor(const wire::CommandT& command,
                            const wire::CommandAnswerT& answer) {
  const wire::RequestGrantT* ask = command.body.AsRequestGrant();
  const wire::GrantAnswerT* grant = answer.body.AsGrantAnswer();
  if (!ask || !grant || grant->tokens >= ask->minimum) return;
  const HostRun asker{command.id->host, command.id->incarnation};
  for (const budget::RecallMessage& message :
       m_recall.OnShortage(asker, *ask, m_state->HoldingsOf(ask->budget),
                           m_links.network->Now())) {
    m_links.recall(m_name, message.host, message.recall);
  }
}

void ControlHost::OnHeartbeat(const HostId& entry,
                              const wire::EntryBeatT& heartbeat) {
  if (Leads()) m_recall.OnHeartbeat(entry, heartbeat, m_links.network->Now());
}

void ControlHost::MakeSnapshot() {
  replication::SnapshotMeta meta;
  meta.last_index = m_applied;
  meta.membership = m_node->Members();
  auto& entries = m_disk.log.entries;
  for (const wire::LogEntryT& entry : entries)
    if (entry.index == m_applied) meta.last_term = entry.term;
  std::erase_if(entries, [&](const wire::LogEntryT& entry) {
    return entry.index <= meta.last_index;
  });
  m_disk.snapshot = m_state->Snapshot();
  m_disk.log.snapshot = meta;
  m_node->OnSnapshotMade(meta.last_index);
  m_node->SetSnapshotSource(
      meta, std::make_shared<const std::string>(m_disk.snapshot));
}

}  // namespace dotterelshift::scenarios
