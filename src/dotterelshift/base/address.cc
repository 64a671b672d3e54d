#include "dotterelshift/base/address.h"

#include <arpa/inet.h>  // for inet_pton

#include <charconv>  // for from_chars

namespace dotterelshift {

std::optional<sockaddr_in> MakeAddress(const std::string& ip, uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  if (inet_pton(AF_INET, ip.c_str(), &address.sin_addr) != 1)
    return std::nullopt;
  return address;
}

std::optional<sockaddr_in> ParseAddress(const std::string& address) {
  const size_t colon = address.find(':');
  if (colon == std::string::npos) return std::nullopt;
  uint16_t port = 0;
  const char* end = address.data() + address.size();
  const auto [stop, error] =
      std::from_chars(address.data() + colon + 1, end, port);
  if (error != std::errc() || stop != end || port == 0) return std::nullopt;
  return MakeAddress(address.substr(0, colon), port);
}

}  // namespace dotterelshift
