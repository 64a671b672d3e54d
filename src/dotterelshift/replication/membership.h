#ifndef DOTTERELSHIFT_REPLICATION_MEMBERSHIP_H_
#define DOTTERELSHIFT_REPLICATION_MEMBERSHIP_H_

#include <cstdint>  // for uint8_t
#include <vector>   // for vector

#include "dotterelshift/base/ids.h"               // for ReplicaId
#include "dotterelshift/wire/frames_generated.h"  // for MembershipT

namespace dotterelshift::replication {

// A membership as the payload of a log entry, and back. Decoding throws
// Error(kStorageDamaged) on bytes that are no membership.
std::vector<uint8_t> EncodeMembership(const wire::MembershipT& members);
wire::MembershipT DecodeMembership(const std::vector<uint8_t>& bytes);

// The member with this id; null when there is none.
const wire::ReplicaT* FindMember(const wire::MembershipT& members,
                                 ReplicaId id);

// Whether the replica votes.
bool IsVoter(const wire::MembershipT& members, ReplicaId id);

// The number of voters, and how many of them are a majority.
size_t VoterCount(const wire::MembershipT& members);
size_t Majority(const wire::MembershipT& members);

// The membership after one replica was added, made a voter or removed.
wire::MembershipT WithMember(const wire::MembershipT& members,
                             const wire::ReplicaT& replica);
wire::MembershipT WithoutMember(const wire::MembershipT& members, ReplicaId id);

}  // namespace dotterelshift::replication

#endif  // DOTTERELSHIFT_REPLICATION_MEMBERSHIP_H_
