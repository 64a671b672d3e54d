#include "dotterelshift/http/response_head.h"

#include <optional>  // for optional
#include <string>    // for string

#include "dotterelshift/http/field_rules.h"  // for IsToken

namespace dotterelshift::http {
namespace {

constexpr size_t kMaxBytes = 64 << 10;

constexpr int kFirstStatus = 100;
constexpr int kLastStatus = 599;

// No request asks for another protocol.
constexpr int kSwitchingProtocols = 101;

bool IsInterim(int status) { return status >= 100 && status < 200; }

bool IsDigit(char c) { return c >= '0' && c <= '9'; }

// HTTP/1.DIGIT SP 3DIGIT, then the end or SP and a reason (RFC 9112, 4).
std::optional<int> ReadStatus(std::string_view line) {
  constexpr std::string_view kVersion = "HTTP/1.";
  constexpr size_t kCodeAt = kVersion.size() + 2;
  constexpr size_t kSize = kCodeAt + 3;
  if (line.size() < kSize || !line.starts_with(kVersion)) return std::nullopt;
  const bool has_version =
      IsDigit(line[kVersion.size()]) && line[kVersion.size() + 1] == ' ';
  const bool ends = line.size() == kSize || line[kSize] == ' ';
  const auto code = ReadDigits(line.substr(kCodeAt, 3));
  if (!has_version || !ends || !code || HasControl(line)) return std::nullopt;
  const auto status = static_cast<int>(*code);
  const bool is_known = status >= kFirstStatus && status <= kLastStatus &&
                        status != kSwitchingProtocols;
  return is_known ? std::optional(status) : std::nullopt;
}

}  // namespace

bool ResponseHead::IsTooLarge() const { return m_bytes > kMaxBytes; }

HeadLine ResponseHead::Take(std::string_view line) {
  m_bytes += line.size();
  if (IsTooLarge()) return HeadLine::kRefused;
  if (line.ends_with('\n')) line.remove_suffix(1);
  if (line.ends_with('\r')) line.remove_suffix(1);
  // Trailers are not passed on.
  if (m_received) return HeadLine::kTaken;
  if (line.empty()) return EndHead();
  const bool taken = m_begun ? TakeHeader(line) : TakeStatus(line);
  return taken ? HeadLine::kTaken : HeadLine::kRefused;
}

HeadLine ResponseHead::EndHead() {
  if (!m_begun || !HasOneFraming()) return HeadLine::kRefused;
  if (IsInterim(m_status)) {
    m_begun = false;
    return HeadLine::kTaken;
  }
  m_received = true;
  return HeadLine::kLast;
}

bool ResponseHead::TakeStatus(std::string_view line) {
  const std::optional<int> status = ReadStatus(line);
  if (!status) return false;
  m_begun = true;
  m_status = *status;
  m_headers.clear();
  return true;
}

bool ResponseHead::TakeHeader(std::string_view line) {
  const size_t colon = line.find(':');
  if (colon == std::string_view::npos || HasControl(line)) return false;
  const std::string_view name = line.substr(0, colon);
  if (!IsToken(name)) return false;
  m_headers.emplace_back(Lower(name),
                         std::string(Trim(line.substr(colon + 1))));
  return true;
}

bool ResponseHead::HasOneFraming() const {
  int lengths = 0;
  int codings = 0;
  for (const auto& [name, value] : m_headers) {
    if (name == "content-length") {
      ++lengths;
      if (!ReadDigits(value)) return false;
    }
    if (name == "transfer-encoding") {
      ++codings;
      if (!EqualsIgnoringCase(value, "chunked")) return false;
    }
  }
  return lengths + codings <= 1;
}

}  // namespace dotterelshift::http
