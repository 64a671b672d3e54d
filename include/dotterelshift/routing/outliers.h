#ifndef DOTTERELSHIFT_ROUTING_OUTLIERS_H_
#define DOTTERELSHIFT_ROUTING_OUTLIERS_H_

#include <vector>  // for vector

#include "dotterelshift/routing/seat.h"  // for Seat

namespace dotterelshift::routing {

struct OutlierOptions {
  double slow_factor = 3;      // times the median first token of its kin
  double slow_margin_ms = 50;  // and slower by at least this
  int enough_samples = 8;
  int failures = 3;              // in a row
  Duration first_ejection = 2s;  // doubled each time in a row
  Duration longest_ejection = 60s;
  double most_ejected = 0.34;  // of the seats that serve the same target
};

// An answer's first token came after this time.
void NoteFirstToken(Seat* seat, double milliseconds);

// An attempt ended. Failures in a row eject the seat.
void NoteEnd(Seat* seat, bool failed, const OutlierOptions& options,
             Instant now);

// Takes the slow ones among seats that serve the same target out for a time,
// never so many that the others could not carry the work. An ejected seat comes
// back without a record and has to show anew how fast it is.
void EjectSlow(const std::vector<Seat*>& kin, const OutlierOptions& options,
               Instant now);

}  // namespace dotterelshift::routing

#endif  // DOTTERELSHIFT_ROUTING_OUTLIERS_H_
