#ifndef DOTTERELSHIFT_BASE_HTTP_STATUS_H_
#define DOTTERELSHIFT_BASE_HTTP_STATUS_H_

namespace dotterelshift {

// Whether callers take the status for the promise that their request has not
// run and never will.
constexpr bool PromisesNotRun(int status) {
  constexpr int kRequestTimeout = 408;
  constexpr int kMisdirectedRequest = 421;
  constexpr int kTooManyRequests = 429;
  constexpr int kServiceUnavailable = 503;
  return status == kRequestTimeout || status == kMisdirectedRequest ||
         status == kTooManyRequests || status == kServiceUnavailable;
}

}  // namespace dotterelshift

#endif  // DOTTERELSHIFT_BASE_HTTP_STATUS_H_
