#include "dotterelshift/directory/find_by_address.h"

namespace dotterelshift::directory {

const Endpoint* FindByAddress(const Directory& directory,
                              const std::string& address) {
  for (const auto& [id, endpoint] : directory.All())
    if (endpoint.usable && endpoint.record.address == address) return &endpoint;
  return nullptr;
}

}  // namespace dotterelshift::directory
