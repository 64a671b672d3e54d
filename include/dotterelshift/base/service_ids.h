#ifndef DOTTERELSHIFT_BASE_SERVICE_IDS_H_
#define DOTTERELSHIFT_BASE_SERVICE_IDS_H_

#include <cstdint>  // for uint64_t
#include <string>   // for string

namespace dotterelshift {

// Of the services that published routes name.
using ServiceName = std::string;

// Identifies one incarnation of an endpoint; the same on every daemon.
using EndpointKey = uint64_t;
// Identifies one software version of one service; the same on every daemon.
using SoftwareKey = uint64_t;

}  // namespace dotterelshift

#endif  // DOTTERELSHIFT_BASE_SERVICE_IDS_H_
