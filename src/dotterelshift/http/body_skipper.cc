#include "dotterelshift/http/body_skipper.h"

#include <algorithm>  // for min
#include <cstdint>    // for uint64_t
#include <utility>    // for exchange

#include "dotterelshift/http/field_rules.h"  // for ReadDigits

namespace dotterelshift::http {
namespace {

constexpr uint64_t kMaxChunkBytes = 1ULL << 40;

}  // namespace

std::optional<BodySkipper> BodySkipper::For(int status,
                                            const Headers& headers) {
  BodySkipper skipper;
  std::optional<uint64_t> length;
  for (const auto& [name, value] : headers) {
    if (name == "transfer-encoding") skipper.m_chunked = true;
    if (name != "content-length") continue;
    length = ReadDigits(value);
    if (!length) return std::nullopt;
  }
  if (HasNoBody(status)) {
    skipper.m_chunked = false;
    length = 0;
  }
  if (!skipper.m_chunked && !length) return std::nullopt;
  if (skipper.m_chunked) {
    skipper.m_state = State::kChunkSize;
  } else {
    skipper.m_left = *length;
    if (skipper.m_left == 0) skipper.m_state = State::kComplete;
  }
  return skipper;
}

size_t BodySkipper::Take(std::string_view bytes) {
  size_t taken = 0;
  while (taken < bytes.size() && !IsComplete() && !IsBroken()) {
    if (m_state != State::kData) {
      TakeByte(bytes[taken++]);
      continue;
    }
    const uint64_t now = std::min<uint64_t>(m_left, bytes.size() - taken);
    taken += now;
    m_left -= now;
    if (m_left == 0)
      m_state = m_chunked ? State::kChunkBreak : State::kComplete;
  }
  return taken;
}

void BodySkipper::TakeByte(char byte) {
  if (byte == '\n') return EndLine();
  if (byte == '\r') return;
  m_line_empty = false;
  if (m_state == State::kChunkBreak) m_state = State::kBroken;
  if (m_state != State::kChunkSize || m_in_extension) return;
  const int digit = HexDigit(byte);
  if (digit < 0) {
    m_in_extension = true;
    return;
  }
  m_size_read = true;
  m_left = m_left * 16 + static_cast<uint64_t>(digit);
  if (m_left > kMaxChunkBytes) m_state = State::kBroken;
}

void BodySkipper::EndLine() {
  switch (m_state) {
    case State::kChunkSize:
      EndSizeLine();
      break;
    case State::kChunkBreak:
      m_state = State::kChunkSize;
      break;
    case State::kTrailer:
      if (m_line_empty) m_state = State::kComplete;
      break;
    case State::kData:
    case State::kComplete:
    case State::kBroken:
      break;
  }
  m_line_empty = true;
}

void BodySkipper::EndSizeLine() {
  const bool read = std::exchange(m_size_read, false);
  m_in_extension = false;
  if (!read) {
    m_state = State::kBroken;
  } else {
    m_state = m_left == 0 ? State::kTrailer : State::kData;
  }
}

}  // namespace dotterelshift::http
