#ifndef DOTTERELSHIFT_APP_SERVER_REFUSAL_H_
#define DOTTERELSHIFT_APP_SERVER_REFUSAL_H_

#include <string>   // for string
#include <utility>  // for pair

#include "dotterelshift/callers/front.h"  // for ErrorBody
#include "dotterelshift/http/server.h"    // for ServerRefusal

namespace dotterelshift::app {

// Status and body of what the HTTP server refuses before a handler sees it, by
// the table of errors.
inline std::pair<int, std::string> MakeServerRefusal(
    http::ServerRefusal refusal) {
  ErrorKind kind = ErrorKind::kTooManyConnections;
  if (refusal == http::ServerRefusal::kBodyTooLarge)
    kind = ErrorKind::kBodyTooLarge;
  if (refusal == http::ServerRefusal::kSlowCaller)
    kind = ErrorKind::kSlowCaller;
  return {RowOf(kind).status, callers::ErrorBody(kind, {})};
}

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_APP_SERVER_REFUSAL_H_
