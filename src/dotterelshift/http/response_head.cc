#include "dotterelshift/http/response_head.h"

#include <cctype>    // for tolower
#include <charconv>  // for from_chars
#include <string>    // for string
#include <utility>   // for move

namespace dotterelshift::http {
namespace {

constexpr size_t kMaxBytes = 64 << 10;

bool IsInterim(int status) { return status >= 100 && status < 200; }

}  // namespace

bool ResponseHead::IsTooLarge() const { return m_bytes > kMaxBytes; }

HeadLine ResponseHead::Take(std::string_view line) {
  m_bytes += line.size();
  if (IsTooLarge()) return HeadLine::kRefused;
  while (!line.empty() && (line.back() == '\r' || line.back() == '\n'))
    line.remove_suffix(1);
  if (line.starts_with("HTTP/"))
    return TakeStatus(line) ? HeadLine::kTaken : HeadLine::kRefused;
  if (!line.empty()) {
    TakeHeader(line);
    return HeadLine::kTaken;
  }
  if (IsInterim(m_status) || m_received) return HeadLine::kTaken;
  m_received = true;
  return HeadLine::kLast;
}

bool ResponseHead::TakeStatus(std::string_view line) {
  m_headers.clear();
  const size_t space = line.find(' ');
  if (space == std::string_view::npos) return false;
  std::from_chars(line.data() + space + 1, line.data() + line.size(), m_status);
  return true;
}

void ResponseHead::TakeHeader(std::string_view line) {
  const size_t colon = line.find(':');
  if (colon == std::string_view::npos) return;
  std::string name(line.substr(0, colon));
  for (char& c : name)
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  line.remove_prefix(colon + 1);
  while (!line.empty() && line.front() == ' ') line.remove_prefix(1);
  m_headers.emplace_back(std::move(name), std::string(line));
}

}  // namespace dotterelshift::http
