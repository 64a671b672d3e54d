#include "dotterelshift/relay/connect_request.h"

#include <algorithm>  // for equal
#include <cctype>     // for tolower

#include "dotterelshift/base/address.h"  // for ParseAddress

namespace dotterelshift::relay {
namespace {

constexpr std::string_view kEndOfHead = "\r\n\r\n";
constexpr std::string_view kEndOfLine = "\r\n";
constexpr std::string_view kMethod = "CONNECT ";
constexpr std::string_view kTokenHeader = "proxy-authorization:";
constexpr std::string_view kTokenScheme = "bearer ";

// Removes `prefix`, given in lower case, from the front of `text`.
bool TakePrefix(std::string_view& text, std::string_view prefix) {
  if (text.size() < prefix.size()) return false;
  const bool same = std::equal(
      prefix.begin(), prefix.end(), text.begin(), [](char a, char b) {
        return a == std::tolower(static_cast<unsigned char>(b));
      });
  if (same) text.remove_prefix(prefix.size());
  return same;
}

void TrimLeft(std::string_view& text) {
  while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
}

std::string_view TakeLine(std::string_view& head) {
  const size_t end = head.find(kEndOfLine);
  const std::string_view line = head.substr(0, end);
  head.remove_prefix(end == std::string_view::npos ? head.size()
                                                   : end + kEndOfLine.size());
  return line;
}

}  // namespace

ConnectParse ParseConnect(std::string_view bytes, ConnectRequest* request) {
  const size_t end = bytes.find(kEndOfHead);
  if (end == std::string_view::npos) {
    return bytes.size() < kMaxConnectHeadBytes ? ConnectParse::kIncomplete
                                               : ConnectParse::kBad;
  }
  request->size = end + kEndOfHead.size();
  if (request->size > kMaxConnectHeadBytes) return ConnectParse::kBad;
  std::string_view head = bytes.substr(0, end);
  std::string_view first = TakeLine(head);
  if (!first.starts_with(kMethod)) return ConnectParse::kBad;
  first.remove_prefix(kMethod.size());
  request->target = std::string(first.substr(0, first.find(' ')));
  if (!ParseAddress(request->target)) return ConnectParse::kBad;
  while (!head.empty()) {
    std::string_view line = TakeLine(head);
    if (!TakePrefix(line, kTokenHeader)) continue;
    TrimLeft(line);
    if (!TakePrefix(line, kTokenScheme)) return ConnectParse::kBad;
    request->token = std::string(line);
  }
  return ConnectParse::kComplete;
}

}  // namespace dotterelshift::relay
