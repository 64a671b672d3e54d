#ifndef DOTTERELSHIFT_SRC_APP_SEND_RECORD_H_
#define DOTTERELSHIFT_SRC_APP_SEND_RECORD_H_

#include <cstddef>      // for size_t
#include <optional>     // for optional
#include <string>       // for string
#include <string_view>  // for string_view
#include <utility>      // for pair
#include <vector>       // for vector

#include "dotterelshift/base/time.h"    // for Instant
#include "dotterelshift/http/client.h"  // for HandOver

namespace dotterelshift::app {

// The fields of a log line.
using LogInputs = std::vector<std::pair<std::string_view, std::string>>;

// How the request of an attempt was sent from this host, for the log.
struct SendRecord {
  std::optional<http::HandOver> handed_over;
  Instant handed_over_at{};
  Duration wait{};  // expected wait for the outbound link at that time
  std::optional<size_t> unsent;  // bytes, at the attempt's end
  // Whether the connection of a cancelled attempt has been reset. nullopt if
  // the attempt was not cancelled, or had handed nothing over.
  std::optional<bool> reset;
};

// Adds what is known of the sending, with times relative to `now`.
void AddTo(LogInputs& inputs, const SendRecord& record, Instant now);

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_SRC_APP_SEND_RECORD_H_
