#ifndef DOTTERELSHIFT_SRC_HTTP_RESPONSE_FILTER_H_
#define DOTTERELSHIFT_SRC_HTTP_RESPONSE_FILTER_H_

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
};

// Discards responses to other requests from a connection that is reused, before
// anything of them is read.
//
// Load pattern: an endpoint sends a response once more, where the next one on
// the connection is due, while it runs the request that is due.
class ResponseFilter {
 public:
  // Discards what can be skipped without blocking, interim heads included. The
  // rest of a response whose head was discarded is discarded by later calls.
  FilterResult Look(int descriptor, const DueResponse& due);

 private:
  // Returns false if the body is not complete yet.
  bool SkipBody(int descriptor);

  std::optional<BodySkipper> m_body;  // of the response that is being discarded
};

}  // namespace dotterelshift::http

#endif  // DOTTERELSHIFT_SRC_HTTP_RESPONSE_FILTER_H_
