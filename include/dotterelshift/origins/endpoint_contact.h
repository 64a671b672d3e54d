#ifndef DOTTERELSHIFT_ORIGINS_ENDPOINT_CONTACT_H_
#define DOTTERELSHIFT_ORIGINS_ENDPOINT_CONTACT_H_

#include <cstdint>  // for uint64_t
#include <string>   // for string

#include "dotterelshift/base/ids.h"          // for EndpointId
#include "dotterelshift/base/service_ids.h"  // for EndpointKey, SoftwareKey

namespace dotterelshift::origins {

// Identity and address of an endpoint, for sending requests to it.
struct EndpointContact {
  EndpointId id;
  uint64_t incarnation = 0;
  std::string address;
  DataCentreId data_centre;
  std::string software_version;
  SoftwareKey software = 0;
};

EndpointKey KeyOf(const EndpointContact& endpoint);

}  // namespace dotterelshift::origins

#endif  // DOTTERELSHIFT_ORIGINS_ENDPOINT_CONTACT_H_
