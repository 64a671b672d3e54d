#ifndef DOTTERELSHIFT_STATE_REQUESTS_H_
#define DOTTERELSHIFT_STATE_REQUESTS_H_

#include <string>  // for string

#include "dotterelshift/state/tables.h"  // for RequestPeriod

// The records of requests by (team, request key): settled attempts, bills and
// claims, and the keys of those that have aged out.
namespace dotterelshift::state {

// Cannot be made to collide by a choice of keys (BLAKE2b).
RequestDigest DigestOf(const TeamId& team, const std::string& request_key);

// The claim of a request; null when there is none.
ClaimEntry* FindClaim(Tables& tables, const RequestDigest& digest);
void AddClaim(Tables& tables, const RequestDigest& digest,
              const std::string& request_key, const ClaimEntry& claim);
void EraseClaim(Tables& tables, const RequestDigest& digest);

// The settled attempt of a request; null when it was not settled.
const SettledAttempt* FindAttempt(const Tables& tables,
                                  const RequestDigest& digest, RunNumber run,
                                  uint64_t attempt);
bool IsBilled(const Tables& tables, const RequestDigest& digest);
void AddAttempt(Tables& tables, const RequestDigest& digest,
                const std::string& request_key, const SettledAttempt& attempt);

// Whether the key belongs to a request that has aged out.
bool IsExpired(const Tables& tables, const RequestDigest& digest);

// Lets the periods lapse that are older than the options say.
void AgeRequests(Tables& tables);

}  // namespace dotterelshift::state

#endif  // DOTTERELSHIFT_STATE_REQUESTS_H_
