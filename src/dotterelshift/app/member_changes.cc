#include "dotterelshift/app/member_changes.h"

#include <cstring>  // for memcpy

#include "dotterelshift/base/error.h"              // for Error
#include "dotterelshift/replication/membership.h"  // for FindMember

namespace dotterelshift::app {

namespace {

using replication::FindMember;

// The membership change in a plan's change; empty if it is of another kind.
std::optional<MemberChange> AsMemberChange(const wire::ChangeT& change) {
  MemberChange wanted;
  if (const wire::AddReplicaT* add = change.body.AsAddReplica()) {
    wanted.replica.id = add->replica;
    wanted.replica.host = add->host;
    wanted.replica.address = add->address;
    return wanted;
  }
  if (const wire::RemoveReplicaT* removal = change.body.AsRemoveReplica()) {
    wanted.replica.id = removal->replica;
    wanted.remove = true;
    return wanted;
  }
  return std::nullopt;
}

}  // namespace

void MemberChanges::OnApplied(const wire::CommandBatchT& batch,
                              const std::vector<wire::CommandAnswerT>& answers,
                              const state::State& state,
                              uint64_t version_before) {
  for (size_t i = 0; i < batch.commands.size(); ++i) {
    const wire::ConfirmPlanT* confirm = batch.commands[i]->body.AsConfirmPlan();
    if (confirm == nullptr || answers[i].error != 0) continue;
    const wire::PlanAnswerT* answer = answers[i].body.AsPlanAnswer();
    const wire::PlanT* plan = state.FindPlan(confirm->plan);
    if (answer == nullptr || plan == nullptr ||
        answer->version <= version_before)
      continue;
    for (const auto& change : plan->changes)
      if (auto wanted = AsMemberChange(*change))
        m_pending_changes.push_back(*wanted);
  }
  OnMembershipCommitted(m_members);
}

void MemberChanges::OnMembershipCommitted(const wire::MembershipT& members) {
  m_members = members;
  std::erase_if(m_pending_changes, [&](const MemberChange& change) {
    const bool present = FindMember(members, change.replica.id) != nullptr;
    return change.remove ? !present : present;
  });
}

std::optional<MemberChange> MemberChanges::Next() const {
  if (m_pending_changes.empty()) return std::nullopt;
  return m_pending_changes.front();
}

// Layout: the state, the pending changes as a plan, the plan's length.
void MemberChanges::AppendTo(std::string& snapshot) const {
  wire::PlanT plan;
  for (const MemberChange& change : m_pending_changes) {
    auto stored = std::make_unique<wire::ChangeT>();
    if (change.remove) {
      wire::RemoveReplicaT removal;
      removal.replica = change.replica.id;
      stored->body.Set(removal);
    } else {
      wire::AddReplicaT addition;
      addition.replica = change.replica.id;
      addition.host = change.replica.host;
      addition.address = change.replica.address;
      stored->body.Set(std::move(addition));
    }
    plan.changes.push_back(std::move(stored));
  }
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(wire::Plan::Pack(builder, &plan));
  const uint64_t length = builder.GetSize();
  snapshot.append(reinterpret_cast<const char*>(builder.GetBufferPointer()),
                  length);
  snapshot.append(reinterpret_cast<const char*>(&length), sizeof(length));
}

std::string_view MemberChanges::RestoreFrom(std::string_view snapshot) {
  uint64_t length = 0;
  const bool has_length = snapshot.size() >= sizeof(length);
  if (has_length) {
    std::memcpy(&length, snapshot.data() + snapshot.size() - sizeof(length),
                sizeof(length));
    snapshot.remove_suffix(sizeof(length));
  }
  if (!has_length || length > snapshot.size())
    throw Error(ErrorKind::kStorageDamaged,
                "snapshot is too short for its list of membership changes");
  // Copied for alignment.
  const std::string tail(snapshot.substr(snapshot.size() - length));
  flatbuffers::Verifier verifier(reinterpret_cast<const uint8_t*>(tail.data()),
                                 tail.size());
  if (!verifier.VerifyBuffer<wire::Plan>(nullptr))
    throw Error(ErrorKind::kStorageDamaged,
                "snapshot has an invalid list of membership changes");
  wire::PlanT plan;
  flatbuffers::GetRoot<wire::Plan>(tail.data())->UnPackTo(&plan);
  m_pending_changes.clear();
  for (const auto& change : plan.changes)
    if (auto wanted = AsMemberChange(*change))
      m_pending_changes.push_back(*wanted);
  return snapshot.substr(0, snapshot.size() - length);
}

}  // namespace dotterelshift::app
