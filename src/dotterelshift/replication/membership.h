#ifndef DOTTERELSHIFT_REPLICATION_MEMBERSHIP_H_
#define DOTTERELSHIFT_REPLICATION_MEMBERSHIP_H_

#include <cstdint>  // for uint8_t
#include <vector>   // for vector

#include "dotterelshift/base/ids.h"               // for ReplicaId
#include "dotterelshift/wire/frames_generated.h"  // for MembershipT

namespace dotterelshift::replication {

// Converts a membership to and from the payload of a log entry. Decoding throws
// Error(kStorageDamaged) if the bytes are not a valid membership.
std::vector<uint8_t> EncodeMembership(const wire::MembershipT& members);
wire::MembershipT DecodeMembership(const std::vector<uint8_t>& bytes);

// The member with this id; null if there is none.
const wire::ReplicaT* FindMember(const wire::MembershipT& members,
                                 ReplicaId id);

// Whether the replica is a member that votes.
bool IsVoter(const wire::MembershipT& members, ReplicaId id);

// The number of voters, and the size of a majority of them.
size_t VoterCount(const wire::MembershipT& members);
size_t Majority(const wire::MembershipT& members);

// The membership after adding or updating a replica, or after removing one.
wire::MembershipT WithMember(const wire::MembershipT& members,
                             const wire::ReplicaT& replica);
wire::MembershipT WithoutMember(const wire::MembershipT& members, ReplicaId id);

}  // namespace dotterelshift::replication

#endif  // DOTTERELSHIFT_REPLICATION_MEMBERSHIP_H_
