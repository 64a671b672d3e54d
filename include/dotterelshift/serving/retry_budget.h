#ifndef DOTTERELSHIFT_SERVING_RETRY_BUDGET_H_
#define DOTTERELSHIFT_SERVING_RETRY_BUDGET_H_

namespace dotterelshift::serving {

// Bounds the retries of an entry to a part of its answered requests, so that a
// failing fleet is not loaded with retries: a bucket that each answer fills by
// `ratio`, up to `burst`.
class RetryBudget {
 public:
  RetryBudget(double ratio, int burst)
      : m_ratio(ratio), m_burst(burst), m_left(burst) {}

  void OnAnswered();
  // Takes one retry; false when there is none left.
  bool TryTake();

 private:
  double m_ratio;
  double m_burst;
  double m_left;
};

}  // namespace dotterelshift::serving

#endif  // DOTTERELSHIFT_SERVING_RETRY_BUDGET_H_
