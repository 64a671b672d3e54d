#include "dotterelshift/http/hop_headers.h"

#include <algorithm>    // for find
#include <array>        // for array
#include <cctype>       // for tolower
#include <set>          // for set
#include <string>       // for string
#include <string_view>  // for string_view

namespace dotterelshift::http {
namespace {

constexpr std::array<std::string_view, 10> kHopByHopHeaders = {
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "te",
    "transfer-encoding",
    "proxy-authorization",
    "trailer",
    "upgrade",
    "proxy-connection",
    "content-length"};

// Header names listed in the values of Connection headers.
std::set<std::string> ConnectionHeaderTokens(const Headers& headers) {
  std::set<std::string> named;
  for (const auto& [name, value] : headers) {
    if (name != "connection") continue;
    std::string word;
    for (const char c : value + ",") {
      if (c == ',') {
        named.insert(word);
        word.clear();
      } else if (c != ' ' && c != '\t') {
        word += static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
      }
    }
  }
  return named;
}

}  // namespace

Headers RemoveHopByHopHeaders(const Headers& headers) {
  const std::set<std::string> named = ConnectionHeaderTokens(headers);
  Headers kept;
  kept.reserve(headers.size());
  for (const auto& header : headers) {
    const bool hop = std::ranges::find(kHopByHopHeaders, header.first) !=
                         kHopByHopHeaders.end() ||
                     named.contains(header.first);
    if (!hop) kept.push_back(header);
  }
  return kept;
}

}  // namespace dotterelshift::http
