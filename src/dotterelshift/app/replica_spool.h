#ifndef DOTTERELSHIFT_APP_REPLICA_SPOOL_H_
#define DOTTERELSHIFT_APP_REPLICA_SPOOL_H_

// Commands that a replica stores for entries that cannot reach the leader.

#include "dotterelshift/app/replica.h"  // for Replica

namespace dotterelshift::app {

template <ReplicaRuntime Runtime>
void Replica<Runtime>::Spool(const wire::SpoolT& spool) {
  m_store->AppendSpool(EncodeSpool(spool));
  m_spool.Add(spool);
}

template <ReplicaRuntime Runtime>
void Replica<Runtime>::SendSpool() {
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

template <ReplicaRuntime Runtime>
void Replica<Runtime>::OnSpoolAnswers(
    const std::vector<wire::CommandAnswerT>& answers) {
  if (!m_spool.OnAnswers(answers)) return;
  try {
    m_store->ClearSpool();
  } catch (const Error& error) {
    OnStorageError(error);
  }
}

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_APP_REPLICA_SPOOL_H_
