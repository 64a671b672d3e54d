#ifndef DOTTERELSHIFT_STATE_REQUESTS_H_
#define DOTTERELSHIFT_STATE_REQUESTS_H_

#include <string>  // for string

#include "dotterelshift/state/tables.h"  // for RequestPeriod

// The records of requests by (team, request key): settled attempts, bills and
// claims, and the keys of requests that have been compacted.
namespace dotterelshift::state {

// The BLAKE2b digest of team and request key: callers cannot choose keys that
// collide.
RequestDigest DigestOf(const TeamId& team, const std::string& request_key);

// The claim of a request; null if there is none.
ClaimEntry* FindClaim(Tables& tables, const RequestDigest& digest);
void AddClaim(Tables& tables, const RequestDigest& digest,
              const std::string& request_key, const ClaimEntry& claim);
void EraseClaim(Tables& tables, const RequestDigest& digest);

// The settled attempt of a request; null if it is not settled.
const SettledAttempt* FindAttempt(const Tables& tables,
                                  const RequestDigest& digest,
                                  IncarnationIndex run, uint64_t attempt);
bool IsBilled(const Tables& tables, const RequestDigest& digest);
void AddAttempt(Tables& tables, const RequestDigest& digest,
                const std::string& request_key, const SettledAttempt& attempt);

// Whether the key belongs to a request that has been compacted.
bool IsExpired(const Tables& tables, const RequestDigest& digest);

// Compacts the periods that are older than StateOptions::bill_retention_ms and,
// after StateOptions::expired_key_retention_ms more, drops their keys.
void CompactRequests(Tables& tables);

}  // namespace dotterelshift::state

#endif  // DOTTERELSHIFT_STATE_REQUESTS_H_
