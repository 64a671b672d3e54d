#include "dotterelshift/http/body_reader.h"

#include <algorithm>  // for min

#include "dotterelshift/http/field_rules.h"  // for IsToken

namespace dotterelshift::http {
namespace {

// A larger chunk is not believed: 16 digits would overflow.
constexpr int kMaxSizeDigits = 15;

// Extensions and trailers of one body together.
constexpr size_t kMaxLineBytes = 8 << 10;

bool IsTrailer(std::string_view line) {
  const size_t colon = line.find(':');
  return colon != std::string_view::npos && IsToken(line.substr(0, colon));
}

// Reads one extension of a chunk: ;NAME, ;NAME=TOKEN or ;NAME="TEXT". White
// space is only allowed within the text.
class ExtensionReader {
 public:
  explicit ExtensionReader(std::string_view text) : m_text(text) {}

  bool IsProper() {
    while (!m_text.empty()) {
      if (!TakeByte(';') || !TakeToken()) return false;
      if (TakeByte('=') && !TakeQuoted() && !TakeToken()) return false;
    }
    return true;
  }

 private:
  bool TakeByte(char byte) {
    if (m_text.empty() || m_text.front() != byte) return false;
    m_text.remove_prefix(1);
    return true;
  }
  bool TakeToken() {
    size_t size = 0;
    while (size < m_text.size() && IsTokenByte(m_text[size])) ++size;
    m_text.remove_prefix(size);
    return size > 0;
  }
  bool TakeQuoted() {
    if (m_text.empty() || m_text.front() != '"') return false;
    for (size_t at = 1; at < m_text.size(); ++at) {
      if (m_text[at] == '\\') {
        ++at;
      } else if (m_text[at] == '"') {
        m_text.remove_prefix(at + 1);
        return true;
      }
    }
    return false;
  }

  std::string_view m_text;
};

}  // namespace

BodyReader::BodyReader(const RequestHead& head)
    : m_chunked(head.chunked), m_left(head.length.value_or(0)) {
  if (m_chunked)
    m_state = State::kSize;
  else
    m_state = m_left > 0 ? State::kData : State::kComplete;
}

size_t BodyReader::Take(std::string_view bytes, std::string* body) {
  size_t taken = 0;
  while (taken < bytes.size() && !IsComplete() && !IsMalformed()) {
    if (m_state != State::kData) {
      TakeByte(bytes[taken++]);
      continue;
    }
    const uint64_t now = std::min<uint64_t>(m_left, bytes.size() - taken);
    body->append(bytes.substr(taken, now));
    taken += now;
    m_left -= now;
    if (m_left == 0) m_state = m_chunked ? State::kChunkCr : State::kComplete;
  }
  return taken;
}

void BodyReader::TakeByte(char byte) {
  switch (m_state) {
    case State::kSize:
      return TakeSize(byte);
    case State::kExtension:
      return TakeExtension(byte);
    case State::kSizeEnd:
      return byte == '\n' ? EndSize() : Fail(Malformed::kChunk);
    case State::kChunkCr:
      return Expect(byte, '\r', State::kChunkLf);
    case State::kChunkLf:
      return Expect(byte, '\n', State::kSize);
    case State::kTrailer:
      if (byte == '\r') {
        m_state = State::kTrailerEnd;
      } else if (IsControl(byte) || ++m_line_bytes > kMaxLineBytes) {
        Fail(Malformed::kTrailer);
      } else {
        m_line += byte;
      }
      return;
    case State::kTrailerEnd:
      return byte == '\n' ? EndTrailer() : Fail(Malformed::kTrailer);
    case State::kData:
    case State::kComplete:
      return;
  }
}

void BodyReader::TakeSize(char byte) {
  const int digit = HexDigit(byte);
  if (digit < 0) {
    if (m_size_digits == 0) return Fail(Malformed::kChunk);
    m_state = State::kExtension;
    return TakeExtension(byte);
  }
  if (++m_size_digits > kMaxSizeDigits) return Fail(Malformed::kChunk);
  m_left = m_left * 16 + static_cast<uint64_t>(digit);
}

void BodyReader::TakeExtension(char byte) {
  if (byte == '\r') {
    m_state = State::kSizeEnd;
  } else if (IsControl(byte) || ++m_line_bytes > kMaxLineBytes) {
    Fail(Malformed::kChunk);
  } else {
    m_line += byte;
  }
}

void BodyReader::EndSize() {
  if (!ExtensionReader(m_line).IsProper()) return Fail(Malformed::kChunk);
  m_line.clear();
  m_size_digits = 0;
  m_state = m_left > 0 ? State::kData : State::kTrailer;
}

void BodyReader::EndTrailer() {
  if (m_line.empty()) {
    m_state = State::kComplete;
  } else if (IsTrailer(m_line)) {
    m_line.clear();
    m_state = State::kTrailer;
  } else {
    Fail(Malformed::kTrailer);
  }
}

void BodyReader::Expect(char byte, char expected, State next) {
  if (byte != expected) return Fail(Malformed::kChunk);
  m_state = next;
}

}  // namespace dotterelshift::http
