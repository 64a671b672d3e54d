#ifndef DOTTERELSHIFT_GATEWAY_RETRY_WINDOWS_H_
#define DOTTERELSHIFT_GATEWAY_RETRY_WINDOWS_H_

#include <array>    // for array
#include <cstdint>  // for uint32_t

#include "dotterelshift/base/time.h"  // for Instant

namespace dotterelshift::gateway {

// The requests and retries of one service that one run of an entry has seen, in
// time slots, and how many retries it may still send. The load pattern that it
// answers: demand that rises and falls, in fleets whose entries die and whose
// callers move to other entries.
//
// The fleet may send `ratio` retries per request, counted in the window itself,
// in the window before it or in the one half a window before it, whichever has
// most requests. Each run uses `ratio` times the mean of the first and the
// last, which leaves most to a run that has just begun. Every request then pays
// for the same retries whichever run received it, so that all runs together,
// including dead ones, stay within `ratio` times the mean of the fleet's
// counts. A share that takes the largest count of each run does not: callers
// that move are counted at both entries.
class RetryWindows {
 public:
  explicit RetryWindows(Duration window) : m_slot(window / kSlotsPerWindow) {}

  void OnRequest(Instant now);
  void OnRetry(Instant now);

  // The window that leaves the fewest retries, among all that contain `now`.
  struct Tightest {
    double requests = 0;   // mean of the two counts
    double allowed = 0;    // retries
    uint32_t retries = 0;  // sent
  };
  // `ratio` and `slack` are those of this entry, in retries per request and in
  // retries per window.
  Tightest FindTightest(double ratio, double slack, Instant now);

 private:
  static constexpr int kSlotsPerWindow = 100;
  // Back to the beginning of the window half a window before the oldest one.
  static constexpr int kSlots = kSlotsPerWindow * 3 / 2;
  using Counts = std::array<uint32_t, kSlots>;

  void Advance(Instant now);

  Duration m_slot;
  int64_t m_newest = 0;  // number of the newest slot since the clock's epoch
  Counts m_requests{};   // by slot number modulo kSlots
  Counts m_retries{};
};

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_GATEWAY_RETRY_WINDOWS_H_
