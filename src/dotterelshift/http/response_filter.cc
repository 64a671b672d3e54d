#include "dotterelshift/http/response_filter.h"

#include <sys/socket.h>  // for recv

#include <algorithm>    // for any_of
#include <array>        // for array
#include <cerrno>       // for errno
#include <cstddef>      // for size_t
#include <string_view>  // for string_view

#include "dotterelshift/http/response_head.h"  // for ResponseHead

namespace dotterelshift::http {
namespace {

// Larger heads are not looked at.
constexpr size_t kMaxHeadBytes = 16 << 10;

// What is discarded for one request at most. A few late responses are smaller.
constexpr size_t kMaxDiscardedBytes = 64 << 10;
constexpr size_t kMaxDiscardedResponses = 16;

using Buffer = std::array<char, kMaxHeadBytes>;

// Negative: there is nothing to read yet. 0: the connection has ended.
ssize_t Peek(int descriptor, Buffer& buffer) {
  const ssize_t size =
      ::recv(descriptor, buffer.data(), buffer.size(), MSG_PEEK | MSG_DONTWAIT);
  if (size >= 0) return size;
  return errno == EAGAIN || errno == EINTR ? -1 : 0;
}

struct HeadLook {
  ResponseHead head;
  size_t bytes = 0;          // of whole lines, interim heads included
  size_t interim_bytes = 0;  // of whole interim heads
  bool is_http = true;
};

HeadLook ReadHead(std::string_view bytes) {
  constexpr std::string_view kBegin = "HTTP/";
  HeadLook look;
  look.is_http = bytes.starts_with(kBegin.substr(0, bytes.size()));
  while (look.is_http && !look.head.IsReceived()) {
    const size_t end = bytes.find('\n', look.bytes);
    if (end == std::string_view::npos) break;
    const std::string_view line =
        bytes.substr(look.bytes, end + 1 - look.bytes);
    look.bytes = end + 1;
    look.is_http = look.head.Take(line) != HeadLine::kRefused;
    const bool ends = line == "\r\n" || line == "\n";
    if (ends && !look.head.IsReceived()) look.interim_bytes = look.bytes;
  }
  return look;
}

bool ClosesConnection(const Headers& headers) {
  return std::ranges::any_of(headers, [](const auto& header) {
    return header.first == "connection" && header.second == "close";
  });
}

}  // namespace

FilterResult ResponseFilter::Look(int descriptor, const DueResponse& due) {
  Buffer buffer;
  while (true) {
    const bool body_ended = !m_body || SkipBody(descriptor);
    if (IsOverLimit()) return FilterResult::kEndless;
    if (!body_ended)
      return m_body ? FilterResult::kNothing : FilterResult::kResponse;
    m_body.reset();
    const ssize_t size = Peek(descriptor, buffer);
    if (size < 0) return FilterResult::kNothing;
    const std::string_view bytes(buffer.data(), static_cast<size_t>(size));
    const HeadLook look = ReadHead(bytes);
    if (bytes.empty() || !look.is_http) return FilterResult::kResponse;
    if (look.interim_bytes > 0) {
      Discard(descriptor, look.interim_bytes);
      continue;
    }
    if (!look.head.IsReceived()) {
      return bytes.size() == buffer.size() ? FilterResult::kResponse
                                           : FilterResult::kPartial;
    }
    const int status = look.head.Status();
    const Headers& headers = look.head.GetHeaders();
    if (due.is_due && due.is_due(status, headers))
      return FilterResult::kResponse;
    const auto body = BodySkipper::For(status, headers);
    if (!body || ClosesConnection(headers)) return FilterResult::kResponse;
    Discard(descriptor, look.bytes);
    ++m_discarded_responses;
    if (due.on_skipped) due.on_skipped(status, headers);
    m_body = body;
  }
}

bool ResponseFilter::SkipBody(int descriptor) {
  Buffer buffer;
  while (!m_body->IsComplete() && !IsOverLimit()) {
    const ssize_t size = Peek(descriptor, buffer);
    if (size < 0) return false;
    const std::string_view bytes(buffer.data(), static_cast<size_t>(size));
    const size_t taken = m_body->Take(bytes);
    if (bytes.empty() || m_body->IsBroken()) {
      m_body.reset();
      return false;
    }
    Discard(descriptor, taken);
  }
  return m_body->IsComplete();
}

void ResponseFilter::Discard(int descriptor, size_t bytes) {
  Buffer buffer;
  [[maybe_unused]] const ssize_t size =
      ::recv(descriptor, buffer.data(), bytes, MSG_DONTWAIT);
  m_discarded_bytes += bytes;
}

bool ResponseFilter::IsOverLimit() const {
  return m_discarded_bytes > kMaxDiscardedBytes ||
         m_discarded_responses > kMaxDiscardedResponses;
}

}  // namespace dotterelshift::http
