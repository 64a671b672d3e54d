#ifndef DOTTERELSHIFT_SERVING_RETRY_BUDGET_H_
#define DOTTERELSHIFT_SERVING_RETRY_BUDGET_H_

namespace dotterelshift::serving {

// Token bucket that limits the retries of an entry to a fraction of its
// answered requests, so that retries do not overload a failing fleet. Each
// response adds `ratio` retries, up to `burst`.
class RetryBudget {
 public:
  RetryBudget(double ratio, int burst)
      : m_ratio(ratio), m_burst(burst), m_left(burst) {}

  void OnAnswered();
  // Takes one retry. Returns false when none is left.
  bool TryTake();

 private:
  double m_ratio;
  double m_burst;
  double m_left;
};

}  // namespace dotterelshift::serving

#endif  // DOTTERELSHIFT_SERVING_RETRY_BUDGET_H_
