#ifndef DOTTERELSHIFT_SRC_GATEWAY_RETRY_SHARE_TESTING_H_
#define DOTTERELSHIFT_SRC_GATEWAY_RETRY_SHARE_TESTING_H_

#include "dotterelshift/gateway/retry_share.h"  // for RetryShare

namespace dotterelshift::gateway {

// A share that holds the lease on its part of the slack at `now`.
inline RetryShare MakeLeasedShare(const RetryShareOptions& options,
                                  size_t entries, Instant now) {
  RetryShare share(options);
  for (int windows = 2; windows > 0; --windows) {
    const Instant confirmed = now - windows * options.window;
    share.OnEntryCount(entries, confirmed, confirmed);
    const Instant renewed = confirmed + options.window / 2;
    share.OnEntryCount(entries, renewed, renewed);
  }
  share.OnEntryCount(entries, now, now);
  return share;
}

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_SRC_GATEWAY_RETRY_SHARE_TESTING_H_
