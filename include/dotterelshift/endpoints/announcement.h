#ifndef DOTTERELSHIFT_ENDPOINTS_ANNOUNCEMENT_H_
#define DOTTERELSHIFT_ENDPOINTS_ANNOUNCEMENT_H_

#include <string>       // for string
#include <string_view>  // for string_view
#include <variant>      // for variant
#include <vector>       // for vector

#include "dotterelshift/callers/caller_request.h"  // for Refusal
#include "dotterelshift/wire/frames_generated.h"   // for EndpointRecordT

namespace dotterelshift::endpoints {

// What an endpoint says of itself: also its heartbeat, its load report, and the
// carrier of its cache events.
struct Announcement {
  wire::EndpointRecordT record;
  std::vector<wire::CacheEventT> cache_events;
};

// Reads the JSON body of POST /endpoint/v1/announce:
//   {"id", "incarnation", "sequence", "address": "IP:port", "data_centre",
//   "role"?, "draining"?, "checks_fencing"?,
//    "models"?: [{"model", "version"?, "adapters"?}], "services"?: [..],
//    "slots"?, "running"?, "waiting"?, "tokens_per_second"?, "cache_events"?:
//    [{"sequence", "prefix_hash", "stored"}]}
// Refuses unknown types, missing fields and addresses that are not IP:port with
// a detail for the endpoint's operator.
std::variant<Announcement, callers::Refusal> ParseAnnouncement(
    std::string_view json);

}  // namespace dotterelshift::endpoints

#endif  // DOTTERELSHIFT_ENDPOINTS_ANNOUNCEMENT_H_
