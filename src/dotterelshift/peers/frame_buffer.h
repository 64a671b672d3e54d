#ifndef DOTTERELSHIFT_PEERS_FRAME_BUFFER_H_
#define DOTTERELSHIFT_PEERS_FRAME_BUFFER_H_

#include <cstdint>      // for uint32_t
#include <functional>   // for function
#include <string>       // for string
#include <string_view>  // for string_view

#include "dotterelshift/wire/frames_generated.h"  // for FrameT

namespace dotterelshift::peers {

// The result of parsing received bytes.
enum class ReadResult { kOk, kOversized, kBad };

// Splits received bytes into frames: a length of four bytes, little-endian,
// then that many bytes of a FlatBuffer. A frame of length 0 is a keep-alive
// without content.
class FrameReader {
 public:
  explicit FrameReader(size_t max_frame_bytes)
      : m_max_frame_bytes(max_frame_bytes) {}

  // Appends received bytes and passes each complete frame to `on_frame`, which
  // returns false to stop. On any result but kOk the connection must be closed.
  ReadResult Read(std::string_view bytes,
                  const std::function<bool(wire::FrameT)>& on_frame);

 private:
  size_t m_max_frame_bytes;
  std::string m_pending;
};

// Appends frames to a send buffer.
class FrameWriter {
 public:
  void Append(const wire::FrameT& frame, std::string* out);
  static void AppendKeepAlive(std::string* out);

 private:
  flatbuffers::FlatBufferBuilder m_builder;
};

}  // namespace dotterelshift::peers

#endif  // DOTTERELSHIFT_PEERS_FRAME_BUFFER_H_
