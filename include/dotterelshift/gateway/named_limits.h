#ifndef DOTTERELSHIFT_GATEWAY_NAMED_LIMITS_H_
#define DOTTERELSHIFT_GATEWAY_NAMED_LIMITS_H_

#include <cstddef>        // for size_t
#include <cstdint>        // for uint32_t
#include <functional>     // for function
#include <optional>       // for optional
#include <string>         // for string
#include <unordered_map>  // for unordered_map
#include <vector>         // for vector

#include "dotterelshift/base/time.h"                // for Instant
#include "dotterelshift/gateway/endpoint_id_key.h"  // for EndpointIdKey
#include "dotterelshift/gateway/fleet_load.h"       // for EndpointKey
#include "dotterelshift/gateway/request.h"          // for EndpointLimits
#include "dotterelshift/wire/frames_generated.h"    // for LimitNote

namespace dotterelshift::gateway {

// As it is written in logs.
std::string TextOf(const EndpointLimits& limits);

// The limits that endpoints name in their responses, as learned from responses
// here and at other entries. A response counts until one that was received
// later, wherever: a limit may change with any response, and ends with the
// first one that does not name it.
class NamedLimits {
 public:
  // A response of the endpoint, received at `at`, names these limits. Returns
  // whether that changes what is known.
  bool OnResponse(EndpointKey endpoint, EndpointIdKey id,
                  const EndpointLimits& limits, Instant at);
  // A note from another entry. Returns the same.
  bool OnNote(const wire::LimitNote& note, Instant now);

  // If nothing is known of this incarnation yet, it is taken to name what the
  // last one of the same id did. Returns whether that named a limit.
  bool Inherit(EndpointKey endpoint, EndpointIdKey id);

  EndpointLimits Of(EndpointKey endpoint) const;
  // Of which endpoint it is an incarnation; 0: not known.
  EndpointIdKey IdOf(EndpointKey endpoint) const;
  // Endpoints that name a limit.
  std::vector<EndpointKey> Limited() const;
  // All that is known of an endpoint or of all, for another entry.
  wire::LimitNote NoteOf(EndpointKey endpoint, Instant now) const;
  std::vector<wire::LimitNote> Notes(Instant now) const;
  // Forgets endpoints that are no longer known, a while after their last
  // response.
  void Forget(const std::function<bool(EndpointKey)>& is_known, Instant now);

 private:
  struct Known {
    EndpointIdKey id = 0;
    EndpointLimits limits;
    Instant at{};
  };
  std::unordered_map<EndpointKey, Known> m_known;
};

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_GATEWAY_NAMED_LIMITS_H_
