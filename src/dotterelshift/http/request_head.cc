#include "dotterelshift/http/request_head.h"

#include <algorithm>              // for all_of, find
#include <array>                  // for array
#include <boost/asio/buffer.hpp>  // for buffer
#include <limits>                 // for numeric_limits

// With sanitizers, GCC takes an empty optional of the library for one that is
// read. Clang does not know the warning.
#pragma GCC diagnostic push
#ifndef __clang__
#pragma GCC diagnostic ignored "-Wmaybe-uninitialized"
#endif
#include <boost/beast/http/empty_body.hpp>  // for empty_body
#include <boost/beast/http/parser.hpp>      // for request_parser
#pragma GCC diagnostic pop

#include "dotterelshift/http/field_rules.h"  // for IsToken

namespace dotterelshift::http {
namespace {

namespace beast = boost::beast::http;

std::string Text(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

// All registered methods are of capitals and hyphens. The end of a body that
// was taken for the begin of a request mostly is not.
bool IsMethod(std::string_view text) {
  return std::ranges::all_of(
      text, [](char c) { return (c >= 'A' && c <= 'Z') || c == '-'; });
}

// Whether the name of each header line is a token that its colon follows.
bool HasProperNames(std::string_view bytes) {
  size_t begin = bytes.find("\r\n") + 2;
  while (true) {
    const size_t end = bytes.find("\r\n", begin);
    if (end == std::string_view::npos || end == begin) return true;
    const std::string_view line = bytes.substr(begin, end - begin);
    const size_t colon = line.find(':');
    if (colon == std::string_view::npos || !IsToken(line.substr(0, colon)))
      return false;
    begin = end + 2;
  }
}

// The framing of a body, from all headers that may tell it.
class Framing {
 public:
  void Take(std::string_view name, std::string_view value) {
    if (name == "host") ++m_hosts;
    if (name == "content-length") {
      ++m_lengths;
      m_length = ReadDigits(value);
    }
    if (name == "transfer-encoding") {
      ++m_codings;
      m_chunked = EqualsIgnoringCase(value, "chunked");
    }
  }

  Malformed Check(const RequestHead& head) const {
    if (m_hosts > 1 || (m_hosts == 0 && !head.http_1_0))
      return Malformed::kHost;
    if (m_lengths > 1 || (m_lengths == 1 && !m_length))
      return Malformed::kLength;
    // What came before HTTP/1.1 knows no coding.
    if (m_codings > 1 || (m_codings == 1 && (!m_chunked || head.http_1_0)))
      return Malformed::kCoding;
    if (m_lengths > 0 && m_codings > 0) return Malformed::kFraming;
    return Malformed::kNone;
  }

  bool IsChunked() const { return m_chunked; }
  std::optional<uint64_t> Length() const { return m_length; }

 private:
  int m_hosts = 0;
  int m_lengths = 0;
  int m_codings = 0;
  std::optional<uint64_t> m_length;
  bool m_chunked = false;
};

}  // namespace

HeadScanner::State HeadScanner::Scan(std::string_view bytes) {
  while (m_scanned < bytes.size() && !m_complete) {
    if (!Take(bytes[m_scanned])) return State::kMalformed;
    ++m_scanned;
  }
  return m_complete ? State::kComplete : State::kMore;
}

bool HeadScanner::Take(char byte) {
  if (m_after_cr) {
    m_after_cr = false;
    return byte == '\n' ? EndLine() : Fail(Malformed::kLineEnd);
  }
  if (byte == '\r') return m_after_cr = true;
  if (byte == '\n') return Fail(Malformed::kLineEnd);
  if (IsControl(byte)) return Fail(Malformed::kControl);
  return !m_line_empty || BeginLine(byte);
}

bool HeadScanner::BeginLine(char byte) {
  if (byte == ' ' || byte == '\t')
    return Fail(m_has_line ? Malformed::kFoldedLine : Malformed::kRequestLine);
  m_line_empty = false;
  m_has_line = true;
  return true;
}

bool HeadScanner::EndLine() {
  m_complete = m_line_empty && m_has_line;
  m_line_empty = true;
  return true;
}

bool HeadScanner::Fail(Malformed why) {
  m_why = why;
  return false;
}

bool MayLackFraming(const RequestHead& head) {
  constexpr std::array<std::string_view, 4> kWithoutBody = {
      "GET", "HEAD", "DELETE", "OPTIONS"};
  return !head.chunked && !head.length &&
         std::ranges::find(kWithoutBody, head.method) == kWithoutBody.end();
}

HeadResult ReadHead(std::string_view bytes) {
  HeadResult result;
  const auto fail = [&result](Malformed why) {
    result.malformed = why;
    return result;
  };
  while (bytes.starts_with("\r\n")) bytes.remove_prefix(2);
  if (!HasProperNames(bytes)) return fail(Malformed::kHeaderName);
  constexpr auto kNoLimit = std::numeric_limits<uint32_t>::max();
  beast::request_parser<beast::empty_body> parser;
  parser.header_limit(kNoLimit);
  parser.body_limit(std::numeric_limits<uint64_t>::max());
  boost::system::error_code error;
  parser.put(boost::asio::buffer(bytes.data(), bytes.size()), error);
  using Parsing = beast::error;
  if (error == Parsing::bad_content_length) return fail(Malformed::kLength);
  if (error == Parsing::bad_transfer_encoding) return fail(Malformed::kCoding);
  if (error || !parser.is_header_done()) return fail(Malformed::kRequestLine);

  const auto& message = parser.get();
  RequestHead& head = result.head;
  head.method = Text(message.method_string());
  if (!IsMethod(head.method)) return fail(Malformed::kRequestLine);
  head.target = Text(message.target());
  head.http_1_0 = message.version() < 11;
  head.keep_alive = message.keep_alive();
  Framing framing;
  for (const auto& field : message) {
    std::string name = Lower(Text(field.name_string()));
    std::string value(Trim(Text(field.value())));
    framing.Take(name, value);
    if (name == "expect")
      head.expects_continue = EqualsIgnoringCase(value, "100-continue");
    head.headers.emplace_back(std::move(name), std::move(value));
  }
  head.chunked = framing.IsChunked();
  head.length = framing.Length();
  return fail(framing.Check(head));
}

}  // namespace dotterelshift::http
