#ifndef DOTTERELSHIFT_BASE_IDS_H_
#define DOTTERELSHIFT_BASE_IDS_H_

#include <compare>  // for operator<=>
#include <cstdint>  // for uint64_t
#include <string>   // for string

namespace dotterelshift {

// Names chosen by operators or announced by endpoints.
using HostId = std::string;
using DataCentreId = std::string;
using TeamId = std::string;
using BudgetId = std::string;
using EndpointId = std::string;
using ModelName = std::string;

// Identifies one start of a host's process. Taken from the wall clock at start,
// so a later start has a larger value unless the clock was set back.
using Incarnation = uint64_t;

// One incarnation of a host's process. A newer incarnation of the same host
// proves that the older ones are dead.
struct HostRun {
  HostId host;
  Incarnation incarnation = 0;
  auto operator<=>(const HostRun&) const = default;
};

// Numbers that an entry assigns to requests and attempts; unique within one
// HostRun.
using RequestId = uint64_t;
using AttemptId = uint64_t;

// Identifies one replica of the control log. It is bound to the replica's data
// folder and is never reused after the folder is wiped.
using ReplicaId = uint64_t;

}  // namespace dotterelshift

#endif  // DOTTERELSHIFT_BASE_IDS_H_
