#ifndef DOTTERELSHIFT_ORIGINS_SERVICE_VERSIONS_H_
#define DOTTERELSHIFT_ORIGINS_SERVICE_VERSIONS_H_

#include <cstddef>   // for size_t
#include <cstdint>   // for uint64_t
#include <map>       // for map
#include <optional>  // for optional
#include <string>    // for string
#include <utility>   // for exchange
#include <vector>    // for vector

#include "dotterelshift/base/service_ids.h"     // for ServiceName, SoftwareKey
#include "dotterelshift/base/time.h"            // for Instant
#include "dotterelshift/directory/directory.h"  // for Directory
#include "dotterelshift/wire/frames_generated.h"  // for EndpointRecordT

namespace dotterelshift::origins {

SoftwareKey SoftwareKeyOf(const ServiceName& service,
                          const std::string& version);
// Of the endpoint that a record describes.
SoftwareKey SoftwareKeyOf(const wire::EndpointRecordT& record);

// A software version of a service got its first endpoint that serves, or its
// last one has left.
struct VersionChange {
  ServiceName service;
  std::string version;
  bool serves = false;
  size_t versions = 0;  // of the service that serve now
};

// Endpoints of a service that serve, of one software version.
struct VersionCount {
  ServiceName service;
  std::string version;
  size_t serving = 0;
};

// The software versions of each service, as this daemon knows them.
class ServiceVersions {
 public:
  // How long a version without endpoints is remembered: longer than any stream
  // and the attempts of its caller to resume it.
  static constexpr Duration kMemory = 60s;

  // Takes over the directory's state.
  void Update(const directory::Directory& directory, Instant now);

  // The software of a service if no other version of it was known within
  // `kMemory`; nullopt: there are several, or none.
  std::optional<SoftwareKey> Only(const ServiceName& service) const;
  // The software versions of a service that serve.
  std::vector<SoftwareKey> SoftwareOf(const ServiceName& service) const;
  // Whether an endpoint of this software serves.
  bool Serves(SoftwareKey software) const;
  // Name of a version for the log; empty: not known here.
  std::string NameOf(SoftwareKey software) const;
  // The service that a version belongs to; nullopt: not known here.
  std::optional<ServiceName> ServiceOf(SoftwareKey software) const;

  std::vector<VersionCount> Counts() const;
  std::vector<VersionChange> TakeChanges() {
    return std::exchange(m_changes, {});
  }

 private:
  struct Version {
    ServiceName service;
    std::string name;
    size_t serving = 0;         // endpoints
    size_t serving_before = 0;  // as of the previous update
    Instant known_until{};      // last time that an endpoint of it was known
  };

  size_t CountServing(const ServiceName& service) const;

  std::map<SoftwareKey, Version> m_versions;
  std::vector<VersionChange> m_changes;
};

}  // namespace dotterelshift::origins

#endif  // DOTTERELSHIFT_ORIGINS_SERVICE_VERSIONS_H_
