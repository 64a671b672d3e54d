#ifndef DOTTERELSHIFT_GATEWAY_ENDPOINT_ID_KEY_H_
#define DOTTERELSHIFT_GATEWAY_ENDPOINT_ID_KEY_H_

#include <cstdint>  // for uint64_t

#include "dotterelshift/base/ids.h"  // for EndpointId

namespace dotterelshift::gateway {

// Identifies an endpoint over all its incarnations; the same on every entry.
using EndpointIdKey = uint64_t;
EndpointIdKey EndpointIdKeyOf(const EndpointId& endpoint);

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_GATEWAY_ENDPOINT_ID_KEY_H_
