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
  std::string target;   // model or service that the request needs
  uint32_t weight = 1;  // weight of the team
  int priority = 0;     // within the team, lower first
  double cost = 1;      // expected work, charged to the team
  Instant deadline;
};

// Requests that wait for an endpoint. Scheduling is fair between teams by
// weight and cost, and ordered by priority and then arrival within a team.
class FairQueue {
 public:
  virtual ~FairQueue() = default;
  // Returns false if the team's queue or the whole queue is full.
  virtual bool Push(const Waiting& waiting) = 0;
  virtual void Remove(RequestId request) = 0;
  // Offers queued requests in fair order. `try_start` returns whether it
  // started the offered request. Once a request of a team could not be started,
  // that team is not offered again for the same target in this call.
  virtual void Offer(const std::function<bool(const Waiting&)>& try_start) = 0;
  // Removes the requests whose deadline has passed and returns them.
  virtual std::vector<RequestId> TakeExpired(Instant now) = 0;
  virtual std::optional<Instant> NextDeadline() const = 0;
  virtual size_t Size() const = 0;
  virtual size_t SizeOf(const TeamId& team) const = 0;
  // The cost of the requests that would be served before this one if it were
  // pushed now. The wait estimator uses it.
  virtual double CostAhead(const Waiting& waiting) const = 0;
};

std::unique_ptr<FairQueue> MakeFairQueue(const QueueOptions& options = {});

// Adaptive limit on the requests that this entry has in flight at one endpoint.
// It grows while latency stays near its best and shrinks when latency rises or
// the endpoint refuses. There is one object per endpoint.
//
// It starts small, so that the best latency is measured before queueing can
// inflate it, and grows fast until latency first rises. If latency is still far
// from the best after the limit has shrunk to its start value, the engine has
// become permanently slower, and the best latency is measured again.
class ConcurrencyLimit {
 public:
  static constexpr int kUnknownInFlight = -1;

  explicit ConcurrencyLimit(double start = 4, double min_limit = 1,
                            double max_limit = 1024);
  // `in_flight` is the number of requests at the endpoint. The limit does not
  // grow while it is underused; with kUnknownInFlight it grows regardless.
  void OnFirstToken(Duration latency, Instant now,
                    int in_flight = kUnknownInFlight);
  void OnRefused(Instant now);
  // Sets the limit to the number of requests that the endpoint says it runs in
  // parallel, and ends the fast growth phase. Latency and refusals adjust the
  // limit from there.
  void Begin(double slots);
  // The limit, rounded down.
  int Current() const;

 private:
  void Grow(double gradient, bool used);

  double m_start;
  double m_limit;
  double m_min_limit;
  double m_max_limit;
  double m_best_ms = 0;
  double m_recent_ms = 0;
  bool m_fast_growth = true;  // until latency first rises
  Instant m_last_change{};
};

}  // namespace dotterelshift::admission

#endif  // DOTTERELSHIFT_ADMISSION_FAIR_QUEUE_H_
