#include "dotterelshift/serving/retry_budget.h"

#include <algorithm>  // for min

namespace dotterelshift::serving {

void RetryBudget::OnAnswered() { m_left = std::min(m_burst, m_left + m_ratio); }

bool RetryBudget::TryTake() {
  if (m_left < 1) return false;
  m_left -= 1;
  return true;
}

}  // namespace dotterelshift::serving
