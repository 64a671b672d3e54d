#ifndef DOTTERELSHIFT_SRC_GATEWAY_VERSION_SCHEDULE_PARTS_TESTING_H_
#define DOTTERELSHIFT_SRC_GATEWAY_VERSION_SCHEDULE_PARTS_TESTING_H_

#include <map>     // for map
#include <memory>  // for unique_ptr
#include <set>     // for set
#include <string>  // for string

#include "dotterelshift/gateway/core.h"                 // for MakeCore
#include "dotterelshift/gateway/retry_share_testing.h"  // for MakeLeasedShare
#include "dotterelshift/origins/directory_view.h"       // for DirectoryView

// The processes, streams and entries of a schedule of software versions.
namespace dotterelshift::gateway::version_schedule {

inline constexpr Duration kStep = 10ms;
inline constexpr Duration kRunTime = 15s;
inline constexpr Duration kHeartbeat = 800ms;
inline constexpr Duration kEventInterval = 40ms;
inline constexpr int kEvents = 20;
inline constexpr int kMaxTries = 8;
inline constexpr Duration kCallerTimeout = 6s;

struct ScheduleOptions {
  uint64_t seed = 1;
  // Endpoints start again at their addresses, at any version: under a new id,
  // or under the id that they had.
  bool restarts = false;
  bool same_ids = false;
  bool rolls = false;  // endpoints come and leave
  bool kills = false;  // of entries
  bool cuts = false;   // of entries, from control and the other entries
};

// The process at an endpoint's address.
struct Process {
  EndpointId id;
  uint64_t incarnation = 1;
  std::string address;
  std::string version;
  bool draining = false;
  uint64_t sequence = 0;
  Instant announces_at{};
};

// One run of a stream at an endpoint.
struct EndpointRun {
  RequestId request = 0;
  EndpointId endpoint;  // at the other end of the connection
  uint64_t incarnation = 0;
  std::string address;
  bool misdirected = false;  // another endpoint was named
  std::string caller_id;
  int next = 1;
  int cut_before = 0;
  Instant next_at{};
};

struct CallerStream {
  std::string first_id;
  int number = 0;
  int tries = 0;
  int events = 0;
  int leaves_after = 0;
  std::set<std::string> versions;
  Instant deadline{};
  Instant retry_at{};
  bool open = false;  // a request is under way
};

// One entry, from its start until it is killed.
struct Node {
  Node()
      : budgets({}, [] { return std::make_unique<wire::CommandIdT>(); }),
        retries(MakeLeasedShare({.ratio = 1, .slack = 1'000'000}, 1,
                                Instant(1000s))) {
    CoreDependencies parts;
    parts.load = &load;
    parts.budgets = &budgets;
    parts.retries = &retries;
    parts.versions = &versions;
    parts.origins = &origins;
    parts.restarts = &restarts;
    core = MakeCore({}, parts);
  }

  directory::Directory directory;
  origins::ServiceVersions versions;
  origins::StreamOrigins origins;
  origins::RestartSuspects restarts{directory};
  origins::DirectoryView view;
  FleetLoad load{FleetLoadOptions{"dc"}};
  HeldGrants budgets;
  RetryShare retries;
  std::unique_ptr<Core> core;
  Instant cut_until{};
  Instant confirmed{};
  std::map<AttemptId, EndpointRun> running;
  std::map<RequestId, CallerStream*> callers;
};

struct Delivery {
  Instant at{};
  Instant announced{};
  wire::EndpointRecordT record;
};

}  // namespace dotterelshift::gateway::version_schedule

#endif  // DOTTERELSHIFT_SRC_GATEWAY_VERSION_SCHEDULE_PARTS_TESTING_H_
