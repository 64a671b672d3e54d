#ifndef DOTTERELSHIFT_HTTP_HOP_HEADERS_H_
#define DOTTERELSHIFT_HTTP_HOP_HEADERS_H_

#include "dotterelshift/http/server.h"  // for Headers

namespace dotterelshift::http {

// Returns the headers without the hop-by-hop ones: the standard set, those
// named by a Connection header, and the body's framing, which each hop sets
// itself. Header names must be in lower case.
Headers RemoveHopByHopHeaders(const Headers& headers);

}  // namespace dotterelshift::http

#endif  // DOTTERELSHIFT_HTTP_HOP_HEADERS_H_
