#include "dotterelshift/storage/departure_store.h"

#include <cstring>  // for memcpy

#include "dotterelshift/storage/departure_file.h"  // for DepartureFile

namespace dotterelshift::storage {
namespace {

// Numbers are stored in the host's byte order, little endian.
template <typename Number>
void Put(Number number, std::string* bytes) {
  bytes->append(reinterpret_cast<const char*>(&number), sizeof number);
}

template <typename Number>
bool Take(std::string_view* bytes, Number* number) {
  if (bytes->size() < sizeof *number) return false;
  std::memcpy(number, bytes->data(), sizeof *number);
  bytes->remove_prefix(sizeof *number);
  return true;
}

}  // namespace

std::string EncodeDepartures(const std::vector<StoredDeparture>& departures) {
  std::string bytes;
  for (const StoredDeparture& departure : departures) {
    Put(departure.stored_at, &bytes);
    Put(static_cast<uint32_t>(departure.record.size()), &bytes);
    bytes += departure.record;
  }
  return bytes;
}

std::vector<StoredDeparture> DecodeDepartures(const std::string& file,
                                              const Block& block) {
  std::vector<StoredDeparture> departures;
  std::string_view left = block.payload;
  while (!left.empty()) {
    StoredDeparture departure;
    uint32_t size = 0;
    const bool is_read = Take(&left, &departure.stored_at) &&
                         Take(&left, &size) && left.size() >= size;
    if (!is_read) ThrowDamaged(file, block.offset, "a record is cut off");
    departure.record = left.substr(0, size);
    left.remove_prefix(size);
    departures.push_back(std::move(departure));
  }
  return departures;
}

std::pair<std::unique_ptr<DepartureStore>, std::vector<StoredDeparture>>
OpenDepartureStore(const DepartureStoreOptions& options, WallMs now) {
  static PosixFileSystem files;
  auto file = std::make_unique<DepartureFile<PosixFileSystem>>(files, options);
  std::vector<StoredDeparture> kept = file->Open(now);
  return {std::move(file), std::move(kept)};
}

}  // namespace dotterelshift::storage
