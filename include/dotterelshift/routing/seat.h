#ifndef DOTTERELSHIFT_ROUTING_SEAT_H_
#define DOTTERELSHIFT_ROUTING_SEAT_H_

#include <cstdint>  // for uint32_t
#include <string>   // for string

#include "dotterelshift/admission/fair_queue.h"  // for ConcurrencyLimit
#include "dotterelshift/base/ids.h"              // for EndpointId
#include "dotterelshift/base/time.h"             // for Instant
#include "dotterelshift/directory/directory.h"   // for Endpoint

namespace dotterelshift::routing {

// How long a request stays at an endpoint, from the time that requests were in
// flight there and the number that ended.
class HoldMeter {
 public:
  // The count of requests in flight is about to change.
  void OnChange(int in_flight, Instant now);
  void OnEnded();
  // Seconds one request holds its place; a guess before the first has ended.
  double Seconds() const;

 private:
  Instant m_last{};
  double m_busy_seconds = 0;
  double m_ended = 0;
};

// What an entry knows of one endpoint: its announcement, its lagged load
// report, and the entry's own evidence.
struct Seat {
  EndpointId id;
  uint32_t number = 0;  // never used again within one router
  uint64_t incarnation = 0;
  std::string address;
  bool usable = false;
  bool local = false;  // in the entry's own data centre
  double slots = 1;    // requests it works on at a time

  int in_flight = 0;  // this entry's own
  HoldMeter hold;
  admission::ConcurrencyLimit limit;

  // The work of others, by the last report, when it was seen first.
  double others = 0;
  Instant reported{};

  double first_token_ms = 0;  // moving average of the entry's own requests
  int samples = 0;
  int failures = 0;  // in a row
  Instant ejected_until{};
  int ejections = 0;  // in a row; each one is longer

  // Takes over a load report that is newer than the last one seen.
  void TakeReport(const directory::Endpoint& endpoint);
  // The work of others now: the older the report, the less it counts.
  double OthersNow(Instant now) const;
  // All requests at the endpoint, as far as is known.
  double Load(Instant now) const;
  // May take one more of this entry's requests.
  bool HasRoom() const { return in_flight < limit.Current(); }
  bool IsEjected(Instant now) const { return now < ejected_until; }
};

}  // namespace dotterelshift::routing

#endif  // DOTTERELSHIFT_ROUTING_SEAT_H_
