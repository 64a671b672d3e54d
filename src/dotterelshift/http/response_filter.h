#ifndef DOTTERELSHIFT_SRC_HTTP_RESPONSE_FILTER_H_
#define DOTTERELSHIFT_SRC_HTTP_RESPONSE_FILTER_H_

#include <cstddef>   // for size_t
#include <cstdint>   // for uint8_t
#include <optional>  // for optional

#include "dotterelshift/http/body_skipper.h"  // for BodySkipper
#include "dotterelshift/http/client.h"        // for DueResponse

namespace dotterelshift::http {

// What lies in a connection's receive buffer after the filter has looked.
enum class FilterResult : uint8_t {
  kNothing,   // nothing of a response that is to be read
  kPartial,   // a head that is not complete
  kResponse,  // the response that is due, or what cannot be skipped
  kEndless,   // more than is skipped for one request
};

// Discards responses to other requests from a connection that is reused, before
// anything of them is read.
//
// Load pattern: an endpoint sends a response once more, where the next one on
// the connection is due, while it runs the request that is due. A faulty one
// sends such responses without end.
class ResponseFilter {
 public:
  // Discards what can be skipped without blocking, interim heads included. The
  // rest of a response whose head was discarded is discarded by later calls.
  FilterResult Look(int descriptor, const DueResponse& due);

 private:
  // Discards from the connection, which counts towards the limit.
  void Discard(int descriptor, size_t bytes);
  // Returns false if the body is not complete yet.
  bool SkipBody(int descriptor);
  bool IsOverLimit() const;

  std::optional<BodySkipper> m_body;  // of the response that is being discarded
  size_t m_discarded_bytes = 0;
  size_t m_discarded_responses = 0;
};

}  // namespace dotterelshift::http

#endif  // DOTTERELSHIFT_SRC_HTTP_RESPONSE_FILTER_H_
