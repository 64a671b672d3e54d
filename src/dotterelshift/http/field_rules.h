#ifndef DOTTERELSHIFT_SRC_HTTP_FIELD_RULES_H_
#define DOTTERELSHIFT_SRC_HTTP_FIELD_RULES_H_

#include <algorithm>    // for all_of, any_of, equal
#include <cctype>       // for tolower
#include <charconv>     // for from_chars
#include <cstdint>      // for uint64_t
#include <optional>     // for optional
#include <string>       // for string
#include <string_view>  // for string_view

#include "dotterelshift/http/server.h"  // for Headers

namespace dotterelshift::http {

// What names, values and framing of messages may consist of (RFC 9110, 5 and
// RFC 9112, 6).

// Bytes below the space, except the tab, and DEL.
constexpr bool IsControl(char byte) {
  constexpr char kDelete = 0x7f;
  return (static_cast<unsigned char>(byte) < ' ' && byte != '\t') ||
         byte == kDelete;
}

constexpr bool IsTokenByte(char byte) {
  const bool is_letter =
      (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z');
  const bool is_digit = byte >= '0' && byte <= '9';
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  return is_letter || is_digit || kMarks.find(byte) != std::string_view::npos;
}

inline bool IsToken(std::string_view text) {
  return !text.empty() && std::ranges::all_of(text, IsTokenByte);
}

inline bool HasControl(std::string_view text) {
  return std::ranges::any_of(text, IsControl);
}

// Without the white space around it.
constexpr std::string_view Trim(std::string_view text) {
  constexpr std::string_view kSpace = " \t";
  const size_t begin = text.find_first_not_of(kSpace);
  if (begin == std::string_view::npos) return {};
  return text.substr(begin, text.find_last_not_of(kSpace) + 1 - begin);
}

// Whether two texts differ in the case of letters at most.
inline bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  const auto lower = [](char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  };
  return std::ranges::equal(a, b, {}, lower, lower);
}

inline std::string Lower(std::string_view text) {
  std::string lower(text);
  for (char& c : lower)
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return lower;
}

inline bool HasField(const Headers& headers, std::string_view name) {
  return std::ranges::any_of(headers, [name](const auto& header) {
    return EqualsIgnoringCase(header.first, name);
  });
}

// Whether no response with this status has a body.
constexpr bool HasNoBody(int status) {
  constexpr int kFirstFinalStatus = 200;
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  return status < kFirstFinalStatus || status == kNoContent ||
         status == kNotModified;
}

// -1: not a hexadecimal digit.
constexpr int HexDigit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

// A number of digits alone, which fits.
inline std::optional<uint64_t> ReadDigits(std::string_view text) {
  uint64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, number);
  const bool is_whole = read.ec == std::errc() && read.ptr == end;
  return is_whole ? std::optional(number) : std::nullopt;
}

}  // namespace dotterelshift::http

#endif  // DOTTERELSHIFT_SRC_HTTP_FIELD_RULES_H_
