#ifndef DOTTERELSHIFT_ROUTING_ENDPOINT_STATE_H_
#define DOTTERELSHIFT_ROUTING_ENDPOINT_STATE_H_

#include <cstdint>  // for uint32_t
#include <string>   // for string

#include "dotterelshift/admission/fair_queue.h"  // for ConcurrencyLimit
#include "dotterelshift/base/ids.h"              // for EndpointId
#include "dotterelshift/base/time.h"             // for Instant
#include "dotterelshift/directory/directory.h"   // for Endpoint

namespace dotterelshift::routing {

// Estimates how long a request stays at an endpoint: the time that requests
// were in flight there divided by the number that ended.
class ServiceTimeMeter {
 public:
  // To be called before the count of requests in flight changes from
  // `in_flight`.
  void OnChange(int in_flight, Instant now);
  void OnEnded();
  // Mean time in seconds that a request occupies a slot; a default before the
  // first request has ended.
  double Seconds() const;

 private:
  Instant m_last{};
  double m_busy_seconds = 0;
  double m_ended = 0;
};

// What an entry knows of one endpoint: its announcement, its lagged load
// report, and the entry's own measurements.
struct EndpointState {
  EndpointId id;
  uint32_t number = 0;  // unique within one router, never reused
  uint64_t incarnation = 0;
  std::string address;
  bool usable = false;
  bool local = false;  // in the entry's own data centre
  double slots = 1;    // requests that it processes concurrently

  int in_flight = 0;  // requests of this entry
  ServiceTimeMeter service_time;
  admission::ConcurrencyLimit limit;

  // Requests of other entries, by the last report at the time of its receipt.
  double other_load = 0;
  Instant reported{};

  double first_token_ms = 0;  // moving average of the entry's own requests
  int samples = 0;
  int failures = 0;  // consecutive
  Instant ejected_until{};
  int ejections = 0;  // consecutive; each one lasts longer

  // Applies the endpoint's load report if it is newer than the last one.
  void TakeReport(const directory::Endpoint& endpoint);
  // Estimated requests of other entries now: the report's weight decays with
  // its age.
  double OtherLoadAt(Instant now) const;
  // Estimated number of all requests at the endpoint.
  double Load(Instant now) const;
  // Whether it may be given one more of this entry's requests.
  bool HasCapacity() const { return in_flight < limit.Current(); }
  bool IsEjected(Instant now) const { return now < ejected_until; }
};

}  // namespace dotterelshift::routing

#endif  // DOTTERELSHIFT_ROUTING_ENDPOINT_STATE_H_
