#include "dotterelshift/peers/frame_buffer.h"

#include <utility>  // for move

namespace dotterelshift::peers {
namespace {

constexpr size_t kLengthBytes = 4;
// Valid frames are flat. The limits bound the cost of verifying a hostile frame
// that nests or repeats tables.
constexpr flatbuffers::uoffset_t kMaxDepth = 16;
constexpr flatbuffers::uoffset_t kMaxTables = 4'000'000;

uint32_t LengthAt(const std::string& bytes, size_t position) {
  uint32_t length = 0;
  for (size_t i = kLengthBytes; i > 0; --i)
    length = length << 8 | static_cast<uint8_t>(bytes[position + i - 1]);
  return length;
}

void AppendLength(uint32_t length, std::string* out) {
  for (size_t i = 0; i < kLengthBytes; ++i)
    out->push_back(static_cast<char>(length >> 8 * i & 0xff));
}

}  // namespace

ReadResult FrameReader::Read(
    std::string_view bytes, const std::function<bool(wire::FrameT)>& on_frame) {
  m_pending.append(bytes);
  size_t position = 0;
  while (m_pending.size() - position >= kLengthBytes) {
    const uint32_t length = LengthAt(m_pending, position);
    if (length > m_max_frame_bytes) return ReadResult::kOversized;
    if (m_pending.size() - position - kLengthBytes < length) break;
    position += kLengthBytes;
    if (length > 0) {
      // Copied because FlatBuffers need an aligned buffer.
      const std::string aligned = m_pending.substr(position, length);
      const auto* data = reinterpret_cast<const uint8_t*>(aligned.data());
      flatbuffers::Verifier verifier(data, length, kMaxDepth, kMaxTables);
      if (!wire::VerifyFrameBuffer(verifier)) return ReadResult::kBad;
      wire::FrameT frame;
      wire::GetFrame(data)->UnPackTo(&frame);
      // A newer program sends types that are not known here.
      const bool is_newer = frame.body.type > wire::FrameBody::MAX;
      const bool is_empty = frame.body.type == wire::FrameBody::NONE ||
                            frame.body.value == nullptr;
      if (is_empty && !is_newer) return ReadResult::kBad;
      if (!is_newer && !on_frame(std::move(frame))) return ReadResult::kOk;
    }
    position += length;
  }
  m_pending.erase(0, position);
  return ReadResult::kOk;
}

void FrameWriter::Append(const wire::FrameT& frame, std::string* out) {
  m_builder.Clear();
  m_builder.Finish(wire::Frame::Pack(m_builder, &frame));
  AppendLength(m_builder.GetSize(), out);
  out->append(reinterpret_cast<const char*>(m_builder.GetBufferPointer()),
              m_builder.GetSize());
}

void FrameWriter::AppendKeepAlive(std::string* out) { AppendLength(0, out); }

}  // namespace dotterelshift::peers
