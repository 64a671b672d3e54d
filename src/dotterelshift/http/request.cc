#include <algorithm>  // for find_if

#include "dotterelshift/http/server.h"  // for Request

namespace dotterelshift::http {

size_t BytesOf(const Headers& headers) {
  size_t bytes = 0;
  for (const auto& [name, value] : headers) bytes += name.size() + value.size();
  return bytes;
}

std::string_view Request::Header(std::string_view name) const {
  const auto found = std::ranges::find_if(
      headers, [name](const auto& header) { return header.first == name; });
  return found == headers.end() ? std::string_view() : found->second;
}

}  // namespace dotterelshift::http
