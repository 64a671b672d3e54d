#include "dotterelshift/replication/membership.h"

#include <algorithm>  // for find_if, count_if
#include <memory>     // for make_unique

#include "dotterelshift/base/error.h"  // for Error

namespace dotterelshift::replication {

std::vector<uint8_t> EncodeMembership(const wire::MembershipT& members) {
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(wire::Membership::Pack(builder, &members));
  const uint8_t* bytes = builder.GetBufferPointer();
  return {bytes, bytes + builder.GetSize()};
}

wire::MembershipT DecodeMembership(const std::vector<uint8_t>& bytes) {
  flatbuffers::Verifier verifier(bytes.data(), bytes.size());
  if (bytes.empty() || !verifier.VerifyBuffer<wire::Membership>(nullptr))
    throw Error(ErrorKind::kStorageDamaged, "a membership cannot be read");
  wire::MembershipT members;
  flatbuffers::GetRoot<wire::Membership>(bytes.data())->UnPackTo(&members);
  return members;
}

const wire::ReplicaT* FindMember(const wire::MembershipT& members,
                                 ReplicaId id) {
  const auto found = std::ranges::find_if(
      members.replicas,
      [id](const auto& replica) { return replica->id == id; });
  return found == members.replicas.end() ? nullptr : found->get();
}

bool IsVoter(const wire::MembershipT& members, ReplicaId id) {
  const wire::ReplicaT* member = FindMember(members, id);
  return member != nullptr && member->voter;
}

size_t VoterCount(const wire::MembershipT& members) {
  return static_cast<size_t>(std::ranges::count_if(
      members.replicas, [](const auto& replica) { return replica->voter; }));
}

size_t Majority(const wire::MembershipT& members) {
  return VoterCount(members) / 2 + 1;
}

wire::MembershipT WithMember(const wire::MembershipT& members,
                             const wire::ReplicaT& replica) {
  wire::MembershipT changed = WithoutMember(members, replica.id);
  changed.replicas.push_back(std::make_unique<wire::ReplicaT>(replica));
  return changed;
}

wire::MembershipT WithoutMember(const wire::MembershipT& members,
                                ReplicaId id) {
  wire::MembershipT changed = members;
  std::erase_if(changed.replicas,
                [id](const auto& replica) { return replica->id == id; });
  return changed;
}

}  // namespace dotterelshift::replication
