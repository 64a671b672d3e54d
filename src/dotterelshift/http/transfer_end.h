#ifndef DOTTERELSHIFT_SRC_HTTP_TRANSFER_END_H_
#define DOTTERELSHIFT_SRC_HTTP_TRANSFER_END_H_

#include <curl/curl.h>  // for CURL, CURLcode

#include <cstddef>  // for size_t

#include "dotterelshift/http/client.h"         // for HandOver, TransferEnd
#include "dotterelshift/http/response_head.h"  // for ResponseHead

namespace dotterelshift::http {

// Whether the connection of a transfer was made for it.
bool HasNewConnection(CURL* handle);
// How `bytes` of a request are handed over to the connection.
HandOver HandOverOf(CURL* handle, size_t bytes);

// How a transfer ended whose request may have been sent.
TransferEnd EndOfSent(const ResponseHead& head, CURLcode result);
// How a transfer ended whose request was not sent.
TransferEnd EndOfUnsent(CURL* handle, bool relayed);

}  // namespace dotterelshift::http

#endif  // DOTTERELSHIFT_SRC_HTTP_TRANSFER_END_H_
