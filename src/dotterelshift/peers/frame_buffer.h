#ifndef DOTTERELSHIFT_PEERS_FRAME_BUFFER_H_
#define DOTTERELSHIFT_PEERS_FRAME_BUFFER_H_

#include <cstdint>      // for uint32_t
#include <functional>   // for function
#include <string>       // for string
#include <string_view>  // for string_view

#include "dotterelshift/wire/frames_generated.h"  // for FrameT

namespace dotterelshift::peers {

// What reading a run of received bytes led to.
enum class ReadResult { kOk, kOversized, kBad };

// Cuts received bytes into frames: a length of four bytes, least first, then
// that many bytes of a FlatBuffer. A length of nought is a sign of life and
// carries nothing.
class FrameReader {
 public:
  explicit FrameReader(size_t max_frame_bytes)
      : m_max_frame_bytes(max_frame_bytes) {}

  // Takes bytes in and hands each whole frame to `on_frame`, which returns
  // false to stop reading. Anything but kOk means that the connection is to be
  // closed.
  ReadResult Read(std::string_view bytes,
                  const std::function<bool(wire::FrameT)>& on_frame);

 private:
  size_t m_max_frame_bytes;
  std::string m_pending;
};

// Writes frames behind each other into a buffer to be sent.
class FrameWriter {
 public:
  void Append(const wire::FrameT& frame, std::string* out);
  static void AppendKeepAlive(std::string* out);

 private:
  flatbuffers::FlatBufferBuilder m_builder;
};

}  // namespace dotterelshift::peers

#endif  // DOTTERELSHIFT_PEERS_FRAME_BUFFER_H_
