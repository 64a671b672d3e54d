#ifndef DOTTERELSHIFT_ADMISSION_FAIR_QUEUE_H_
#define DOTTERELSHIFT_ADMISSION_FAIR_QUEUE_H_

#include <functional>  // for function
#include <memory>      // for unique_ptr
#include <optional>    // for optional
#include <vector>      // for vector

#include "dotterelshift/base/ids.h"   // for TeamId, RequestId
#include "dotterelshift/base/time.h"  // for Instant

namespace dotterelshift::admission {

struct QueueOptions {
  size_t max_waiting_per_team = 256;
  size_t max_waiting = 8192;
};

struct Waiting {
  RequestId request = 0;
  TeamId team;
  std::string target;   // model or service: what it waits for
  uint32_t weight = 1;  // of the team
  int priority = 0;     // within the team, lower first
  double cost = 1;      // expected work, for the fair share
  Instant deadline;
};

// Requests that wait for an endpoint: fair between teams by weight and cost, by
// priority and then arrival within one.
class FairQueue {
 public:
  virtual ~FairQueue() = default;
  // False when the team's or the whole queue is full.
  virtual bool Push(const Waiting& waiting) = 0;
  virtual void Remove(RequestId request) = 0;
  // Offers waiting requests in fair order; `try_start` returns whether it could
  // start the one offered. A target that could not start is not offered again
  // in this call.
  virtual void Offer(const std::function<bool(const Waiting&)>& try_start) = 0;
  // Requests whose deadline has passed; they have left the queue.
  virtual std::vector<RequestId> TakeExpired(Instant now) = 0;
  virtual std::optional<Instant> NextDeadline() const = 0;
  virtual size_t Size() const = 0;
  virtual size_t SizeOf(const TeamId& team) const = 0;
  // The cost that would be served before this request if it were pushed now:
  // what the wait estimator needs.
  virtual double CostAhead(const Waiting& waiting) const = 0;
};

std::unique_ptr<FairQueue> MakeFairQueue(const QueueOptions& options = {});

// The learned limit of requests in flight at one endpoint from this entry:
// grows while latency stays near its best, shrinks when it rises or the
// endpoint refuses. A plain value, one for each endpoint.
//
// It starts small, so that the best latency is learned while waiting behind
// others cannot explain it, and grows fast until latency first rises. When it
// has shrunk to its start and latency is still far from the best, the engine
// has become slower for good, and all is learned anew.
class ConcurrencyLimit {
 public:
  static constexpr int kNotCounted = -1;

  explicit ConcurrencyLimit(double start = 4, double least = 1,
                            double most = 1024);
  // `in_flight` counts the requests at the endpoint; a limit that is not made
  // use of does not grow. Where it is not known the limit grows all the same.
  void OnFirstToken(Duration latency, Instant now, int in_flight = kNotCounted);
  void OnRefused(Instant now);
  // What the endpoint says it works on at a time: the limit until latency or a
  // refusal speaks, and no fast growth beyond it.
  void Begin(double slots);
  // Whole requests that may be in flight.
  int Current() const;

 private:
  void Grow(double gradient, bool used);

  double m_start;
  double m_limit;
  double m_least;
  double m_most;
  double m_best_ms = 0;
  double m_recent_ms = 0;
  bool m_fast = true;  // until latency rises
  Instant m_last_change{};
};

}  // namespace dotterelshift::admission

#endif  // DOTTERELSHIFT_ADMISSION_FAIR_QUEUE_H_
