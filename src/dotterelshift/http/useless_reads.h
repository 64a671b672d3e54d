#ifndef DOTTERELSHIFT_SRC_HTTP_USELESS_READS_H_
#define DOTTERELSHIFT_SRC_HTTP_USELESS_READS_H_

#include <cstddef>  // for size_t

namespace dotterelshift::http {

// Counts bytes of a response that libcurl reads and drops without a trace, such
// as the extension of a chunk's size line, in a row.
//
// Load pattern: a faulty endpoint sends such bytes without end, as fast as they
// are read.
class UselessReads {
 public:
  // libcurl is about to read from a connection.
  void BeforeRead(int descriptor);
  // libcurl has delivered a line of the head or bytes of the body.
  void OnDelivered() { *this = {}; }
  bool IsOverLimit() const;

 private:
  size_t m_reads = 0;
  size_t m_bytes = 0;
};

}  // namespace dotterelshift::http

#endif  // DOTTERELSHIFT_SRC_HTTP_USELESS_READS_H_
