#include "dotterelshift/state/requests.h"

#include <sodium.h>  // for crypto_generichash

#include <algorithm>  // for sort, binary_search
#include <cstring>    // for memcpy

namespace dotterelshift::state {
namespace {

// Records are kept in this many periods, so that a lookup is short and a whole
// period can be dropped at once.
constexpr int kPeriods = 6;

RequestPeriod* FindPeriod(Tables& tables, const RequestDigest& digest) {
  for (RequestPeriod& period : tables.requests) {
    const bool holds =
        period.settled.contains(digest) || period.claims.contains(digest);
    if (holds) return &period;
  }
  return nullptr;
}

RequestPeriod& CurrentPeriod(Tables& tables) {
  const WallMs length = tables.options.bill_retention_ms / kPeriods + 1;
  const WallMs start = tables.last_stamp - tables.last_stamp % length;
  if (tables.requests.empty() || tables.requests.back().start < start) {
    tables.requests.emplace_back();
    tables.requests.back().start = start;
  }
  return tables.requests.back();
}

// The period for the records of a request: all records of one request are in
// the same period.
RequestPeriod& PeriodFor(Tables& tables, const RequestDigest& digest,
                         const std::string& request_key) {
  RequestPeriod* known = FindPeriod(tables, digest);
  if (known != nullptr) return *known;
  RequestPeriod& period = CurrentPeriod(tables);
  const bool generated =
      !request_key.empty() && request_key.front() == kGeneratedKeyPrefix;
  if (!generated) period.caller_keys.push_back(digest.low);
  return period;
}

// Keeps the claims of requests that are still running beyond the end of their
// period.
void MoveRunningClaims(Tables& tables, RequestPeriod& from, RequestPeriod& to) {
  for (const auto& [digest, claim] : from.claims) {
    const bool runs = claim.progress == ClaimProgress::kRunning &&
                      !tables.runs[claim.run].dead;
    if (runs) to.claims.emplace(digest, claim);
  }
}

void CompactPeriod(Tables& tables, RequestPeriod& period) {
  MoveRunningClaims(tables, period, CurrentPeriod(tables));
  // A new map frees the bucket array; assigning an empty list would keep it.
  period.settled = decltype(period.settled)();
  period.settled_again.clear();
  period.claims = decltype(period.claims)();
  std::sort(period.caller_keys.begin(), period.caller_keys.end());
  period.caller_keys.shrink_to_fit();
  period.aged = true;
}

}  // namespace

RequestDigest DigestOf(const TeamId& team, const std::string& request_key) {
  // The length distinguishes ("a", "bc") from ("ab", "c").
  const uint64_t length = team.size();
  std::string text(reinterpret_cast<const char*>(&length), sizeof(length));
  text += team;
  text += request_key;
  RequestDigest digest;
  uint8_t bytes[sizeof(digest)];
  crypto_generichash(bytes, sizeof(bytes),
                     reinterpret_cast<const uint8_t*>(text.data()), text.size(),
                     nullptr, 0);
  std::memcpy(&digest, bytes, sizeof(bytes));
  return digest;
}

ClaimEntry* FindClaim(Tables& tables, const RequestDigest& digest) {
  for (RequestPeriod& period : tables.requests) {
    const auto found = period.claims.find(digest);
    if (found != period.claims.end()) return &found->second;
  }
  return nullptr;
}

void AddClaim(Tables& tables, const RequestDigest& digest,
              const std::string& request_key, const ClaimEntry& claim) {
  PeriodFor(tables, digest, request_key).claims[digest] = claim;
}

void EraseClaim(Tables& tables, const RequestDigest& digest) {
  for (RequestPeriod& period : tables.requests) period.claims.erase(digest);
}

const SettledAttempt* FindAttempt(const Tables& tables,
                                  const RequestDigest& digest,
                                  IncarnationIndex run, uint64_t attempt) {
  const auto matches = [&](const SettledAttempt& settled) {
    return settled.run == run && settled.attempt == attempt;
  };
  for (const RequestPeriod& period : tables.requests) {
    const auto first = period.settled.find(digest);
    if (first == period.settled.end()) continue;
    if (matches(first->second)) return &first->second;
    const auto again = period.settled_again.find(digest);
    if (again == period.settled_again.end()) continue;
    const auto found =
        std::find_if(again->second.begin(), again->second.end(), matches);
    if (found != again->second.end()) return &*found;
  }
  return nullptr;
}

bool IsBilled(const Tables& tables, const RequestDigest& digest) {
  const auto billed = [](const SettledAttempt& settled) {
    return settled.billed;
  };
  for (const RequestPeriod& period : tables.requests) {
    const auto first = period.settled.find(digest);
    if (first == period.settled.end()) continue;
    if (first->second.billed) return true;
    const auto again = period.settled_again.find(digest);
    if (again != period.settled_again.end() &&
        std::any_of(again->second.begin(), again->second.end(), billed))
      return true;
  }
  return false;
}

void AddAttempt(Tables& tables, const RequestDigest& digest,
                const std::string& request_key, const SettledAttempt& attempt) {
  RequestPeriod& period = PeriodFor(tables, digest, request_key);
  const bool first = period.settled.emplace(digest, attempt).second;
  if (!first) period.settled_again[digest].push_back(attempt);
}

bool IsExpired(const Tables& tables, const RequestDigest& digest) {
  return std::any_of(tables.requests.begin(), tables.requests.end(),
                     [&](const RequestPeriod& period) {
                       return period.aged &&
                              std::binary_search(period.caller_keys.begin(),
                                                 period.caller_keys.end(),
                                                 digest.low);
                     });
}

void CompactRequests(Tables& tables) {
  const WallMs length = tables.options.bill_retention_ms / kPeriods + 1;
  const WallMs oldest = tables.last_stamp - tables.options.bill_retention_ms;
  CurrentPeriod(tables);
  for (RequestPeriod& period : tables.requests)
    if (!period.aged && period.start + length <= oldest)
      CompactPeriod(tables, period);
  const WallMs forgotten = oldest - tables.options.expired_key_retention_ms;
  while (tables.requests.front().aged &&
         tables.requests.front().start + length <= forgotten)
    tables.requests.pop_front();
}

}  // namespace dotterelshift::state
