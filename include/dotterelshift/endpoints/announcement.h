#ifndef DOTTERELSHIFT_ENDPOINTS_ANNOUNCEMENT_H_
#define DOTTERELSHIFT_ENDPOINTS_ANNOUNCEMENT_H_

#include <string>       // for string
#include <string_view>  // for string_view
#include <variant>      // for variant
#include <vector>       // for vector

#include "dotterelshift/callers/caller_request.h"  // for Refusal
#include "dotterelshift/wire/frames_generated.h"   // for EndpointRecordT

namespace dotterelshift::endpoints {

// The state that an endpoint reports about itself. It also serves as the
// endpoint's heartbeat and load report, and carries its cache events.
struct Announcement {
  wire::EndpointRecordT record;
  std::vector<wire::CacheEventT> cache_events;
};

// Parses the JSON body of POST /endpoint/v1/announce:
//   {"id", "incarnation", "sequence", "address": "IP:port", "data_centre",
//   "role"?, "draining"?, "checks_fencing"?,
//    "models"?: [{"model", "version"?, "adapters"?}], "services"?: [..],
//    "slots"?, "running"?, "waiting"?, "tokens_per_second"?, "cache_events"?:
//    [{"sequence", "prefix_hash", "stored"}]}
// Refuses fields of the wrong type, missing required fields and addresses that
// are not IP:port, with a detail for the endpoint's operator.
std::variant<Announcement, callers::Refusal> ParseAnnouncement(
    std::string_view json);

}  // namespace dotterelshift::endpoints

#endif  // DOTTERELSHIFT_ENDPOINTS_ANNOUNCEMENT_H_
