#ifndef DOTTERELSHIFT_BASE_ADDRESS_H_
#define DOTTERELSHIFT_BASE_ADDRESS_H_

#include <netinet/in.h>  // for sockaddr_in

#include <cstdint>   // for uint16_t
#include <optional>  // for optional
#include <string>    // for string

namespace dotterelshift {

// "IP:port" as a socket address; empty when it is not an IPv4 number and a port
// from 1 to 65535.
std::optional<sockaddr_in> ParseAddress(const std::string& address);

// An IPv4 number with a port; empty when it is not one. Port 0 lets the system
// choose.
std::optional<sockaddr_in> MakeAddress(const std::string& ip, uint16_t port);

}  // namespace dotterelshift

#endif  // DOTTERELSHIFT_BASE_ADDRESS_H_
