#ifndef DOTTERELSHIFT_SRC_TELEMETRY_BOUNDED_OUTPUT_H_
#define DOTTERELSHIFT_SRC_TELEMETRY_BOUNDED_OUTPUT_H_

#include <cstdint>    // for uint64_t
#include <streambuf>  // for streambuf
#include <string>     // for string

namespace dotterelshift::telemetry {

// Writes complete lines to a descriptor without waiting for its reader. Lines
// that cannot be written yet are buffered up to a bound; further lines are
// dropped.
class BoundedOutput : public std::streambuf {
 public:
  explicit BoundedOutput(int descriptor, size_t max_buffered_bytes = 64 << 10)
      : m_descriptor(descriptor), m_max_buffered(max_buffered_bytes) {}

  // Number of lines dropped so far.
  uint64_t Dropped() const { return m_dropped; }

 protected:
  int_type overflow(int_type c) override;
  std::streamsize xsputn(const char* text, std::streamsize size) override;
  // Called at the end of each line.
  int sync() override;

 private:
  bool CanWrite() const;

  const int m_descriptor;
  const size_t m_max_buffered;
  std::string m_line;      // the line being composed
  std::string m_buffered;  // bytes of complete lines not written yet
  uint64_t m_dropped = 0;
};

}  // namespace dotterelshift::telemetry

#endif  // DOTTERELSHIFT_SRC_TELEMETRY_BOUNDED_OUTPUT_H_
