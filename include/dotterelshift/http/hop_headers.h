#ifndef DOTTERELSHIFT_HTTP_HOP_HEADERS_H_
#define DOTTERELSHIFT_HTTP_HOP_HEADERS_H_

#include "dotterelshift/http/server.h"  // for Headers

namespace dotterelshift::http {

// Headers without those that concern one connection only: the standard ones,
// those that a Connection header names, and the framing of the body, which each
// side writes for itself. Names are in lower case.
Headers RemoveHopByHopHeaders(const Headers& headers);

}  // namespace dotterelshift::http

#endif  // DOTTERELSHIFT_HTTP_HOP_HEADERS_H_
