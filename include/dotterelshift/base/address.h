#ifndef DOTTERELSHIFT_BASE_ADDRESS_H_
#define DOTTERELSHIFT_BASE_ADDRESS_H_

#include <netinet/in.h>  // for sockaddr_in

#include <cstdint>   // for uint16_t
#include <optional>  // for optional
#include <string>    // for string

namespace dotterelshift {

// Parses "IP:port". Returns nullopt unless it is an IPv4 address and a port
// from 1 to 65535.
std::optional<sockaddr_in> ParseAddress(const std::string& address);

// Builds a socket address from an IPv4 address and a port; nullopt when `ip` is
// not an IPv4 address. Port 0 lets the system choose a port.
std::optional<sockaddr_in> MakeAddress(const std::string& ip, uint16_t port);

}  // namespace dotterelshift

#endif  // DOTTERELSHIFT_BASE_ADDRESS_H_
