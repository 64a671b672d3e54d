#include "dotterelshift/gateway/retry_windows.h"

#include <algorithm>  // for clamp, max

namespace dotterelshift::gateway {
namespace {

// Sums over ranges of slots, which are given by their age in slots.
template <size_t kSlots>
class SlotSums {
 public:
  SlotSums(const std::array<uint32_t, kSlots>& counts, int64_t newest) {
    for (size_t age = 0; age < kSlots; ++age) {
      const auto slot = static_cast<size_t>(newest - age) % kSlots;
      m_until[age + 1] = m_until[age] + counts.at(slot);
    }
  }

  // Slots outside of those that are kept count as 0.
  uint32_t Between(int youngest, int oldest) const {
    const int limit = static_cast<int>(kSlots);
    const int first = std::clamp(youngest, 0, limit);
    const int last = std::clamp(oldest + 1, first, limit);
    return m_until.at(last) - m_until.at(first);
  }

 private:
  std::array<uint32_t, kSlots + 1> m_until{};  // sums of the younger slots
};

}  // namespace

void RetryWindows::OnRequest(Instant now) {
  Advance(now);
  ++m_requests.at(m_newest % kSlots);
}

void RetryWindows::OnRetry(Instant now) {
  Advance(now);
  ++m_retries.at(m_newest % kSlots);
}

// Clears the slots that have expired.
void RetryWindows::Advance(Instant now) {
  const int64_t number = now.time_since_epoch() / m_slot;
  for (int64_t slot = std::max(m_newest, number - kSlots) + 1; slot <= number;
       ++slot) {
    m_requests.at(slot % kSlots) = 0;
    m_retries.at(slot % kSlots) = 0;
  }
  m_newest = std::max(m_newest, number);
}

RetryWindows::Tightest RetryWindows::FindTightest(double ratio, double slack,
                                                  Instant now) {
  Advance(now);
  const SlotSums<kSlots> requests(m_requests, m_newest);
  const SlotSums<kSlots> retries(m_retries, m_newest);
  constexpr int kWhole = kSlotsPerWindow;
  constexpr int kHalf = kSlotsPerWindow / 2;
  Tightest tightest;
  // A window begins somewhere in the slot of age `start`. Requests count in the
  // slots that it contains as a whole, retries in all that it touches.
  for (int start = 0; start <= kWhole; ++start) {
    const uint32_t in_window = requests.Between(start - kWhole + 1, start - 1);
    const uint32_t half_before =
        requests.Between(start - kHalf + 1, start + kHalf - 1);
    Tightest found;
    found.requests = (in_window + half_before) / 2.0;
    found.allowed = ratio * found.requests + slack;
    found.retries = retries.Between(0, start);
    const bool tighter =
        found.allowed - found.retries < tightest.allowed - tightest.retries;
    if (start == 0 || tighter) tightest = found;
  }
  return tightest;
}

}  // namespace dotterelshift::gateway
