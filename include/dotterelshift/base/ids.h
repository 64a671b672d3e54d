#ifndef DOTTERELSHIFT_BASE_IDS_H_
#define DOTTERELSHIFT_BASE_IDS_H_

#include <compare>  // for operator<=>
#include <cstdint>  // for uint64_t
#include <string>   // for string

namespace dotterelshift {

// Names that operators choose, and names that endpoints announce.
using HostId = std::string;
using DataCentreId = std::string;
using TeamId = std::string;
using BudgetId = std::string;
using EndpointId = std::string;
using ModelName = std::string;

// Counts the starts of one host's process: drawn from the wall clock at start,
// so a later start has a larger one.
using Incarnation = uint64_t;

// One run of one host's process. A newer incarnation of a host proves the older
// ones dead.
struct HostRun {
  HostId host;
  Incarnation incarnation = 0;
  auto operator<=>(const HostRun&) const = default;
};

// Numbers an entry gives to the requests and attempts it serves; unique within
// one HostRun.
using RequestId = uint64_t;
using AttemptId = uint64_t;

// Identifies one replica of the control log; bound to its data folder, never
// used again after a wipe.
using ReplicaId = uint64_t;

}  // namespace dotterelshift

#endif  // DOTTERELSHIFT_BASE_IDS_H_
