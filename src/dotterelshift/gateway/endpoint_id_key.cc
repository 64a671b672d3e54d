#include "dotterelshift/gateway/endpoint_id_key.h"

#include <xxhash.h>  // for XXH3_64bits

namespace dotterelshift::gateway {

EndpointIdKey EndpointIdKeyOf(const EndpointId& endpoint) {
  return XXH3_64bits(endpoint.data(), endpoint.size());
}

}  // namespace dotterelshift::gateway
