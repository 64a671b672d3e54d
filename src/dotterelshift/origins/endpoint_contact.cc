#include "dotterelshift/origins/endpoint_contact.h"

#include "dotterelshift/directory/spread.h"  // for PulseKey

namespace dotterelshift::origins {

EndpointKey KeyOf(const EndpointContact& endpoint) {
  return directory::PulseKey(endpoint.id, endpoint.incarnation);
}

}  // namespace dotterelshift::origins
