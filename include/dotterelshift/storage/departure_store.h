#ifndef DOTTERELSHIFT_STORAGE_DEPARTURE_STORE_H_
#define DOTTERELSHIFT_STORAGE_DEPARTURE_STORE_H_

#include <memory>   // for unique_ptr
#include <string>   // for string
#include <utility>  // for pair
#include <vector>   // for vector

#include "dotterelshift/base/time.h"  // for Duration, WallMs

namespace dotterelshift::storage {

struct DepartureStoreOptions {
  std::string folder;
  // How long a record is kept: longer than any daemon believes in an endpoint
  // that it hears nothing of, and than the clock may jump.
  Duration keep = std::chrono::minutes(10);
  // Above this size the file is written anew, without records that have passed.
  size_t max_bytes = 256 << 10;
};

// A record and when it was stored.
struct StoredDeparture {
  WallMs stored_at = 0;
  std::string record;
};

// The departures of endpoints that a control daemon has confirmed, in a file of
// its data folder.
class DepartureStore {
 public:
  virtual ~DepartureStore() = default;
  // Stores the records with one sync; they are durable on return. Throws
  // Error(kStorageFull), after which nothing of them is kept, and
  // Error(kStorageFailed).
  virtual void Append(const std::vector<std::string>& records, WallMs now) = 0;
};

// Opens the file and returns the records that have not passed; it is created
// with the first one. A torn write at its end is removed. Throws
// Error(kStorageDamaged) if it is damaged elsewhere, and Error(kStorageFailed).
std::pair<std::unique_ptr<DepartureStore>, std::vector<StoredDeparture>>
OpenDepartureStore(const DepartureStoreOptions& options, WallMs now);

}  // namespace dotterelshift::storage

#endif  // DOTTERELSHIFT_STORAGE_DEPARTURE_STORE_H_
