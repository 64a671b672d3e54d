#include "dotterelshift/origins/service_versions.h"

#include <xxhash.h>  // for XXH3_64bits

#include <algorithm>  // for count_if, max

namespace dotterelshift::origins {
namespace {

ServiceName ServiceOfRecord(const wire::EndpointRecordT& record) {
  return record.services.empty() ? ServiceName() : record.services.front();
}

bool IsServing(const wire::EndpointRecordT& record) {
  return !record.draining && !record.gone && !record.silent;
}

}  // namespace

SoftwareKey SoftwareKeyOf(const ServiceName& service,
                          const std::string& version) {
  const std::string text = service + '\0' + version;
  return XXH3_64bits(text.data(), text.size());
}

SoftwareKey SoftwareKeyOf(const wire::EndpointRecordT& record) {
  return SoftwareKeyOf(ServiceOfRecord(record), record.software_version);
}

void ServiceVersions::Update(const directory::Directory& directory,
                             Instant now) {
  for (auto& [software, version] : m_versions)
    version.serving_before = std::exchange(version.serving, 0);
  for (const auto& [id, endpoint] : directory.All()) {
    const wire::EndpointRecordT& record = endpoint.record;
    const bool serving = IsServing(record);
    Version& version = m_versions[SoftwareKeyOf(record)];
    version.service = ServiceOfRecord(record);
    version.name = record.software_version;
    version.serving += serving ? 1 : 0;
    version.known_until =
        std::max(version.known_until, serving ? now : endpoint.last_news);
  }
  for (const auto& [software, version] : m_versions) {
    const bool serves = version.serving > 0;
    if (serves == (version.serving_before > 0)) continue;
    m_changes.push_back(
        {version.service, version.name, serves, CountServing(version.service)});
  }
  std::erase_if(m_versions, [now](const auto& item) {
    return now - item.second.known_until > kMemory;
  });
}

size_t ServiceVersions::CountServing(const ServiceName& service) const {
  return std::ranges::count_if(m_versions, [&service](const auto& item) {
    return item.second.service == service && item.second.serving > 0;
  });
}

std::optional<SoftwareKey> ServiceVersions::Only(
    const ServiceName& service) const {
  std::optional<SoftwareKey> only;
  for (const auto& [software, version] : m_versions) {
    if (version.service != service) continue;
    if (only) return std::nullopt;
    only = software;
  }
  return only;
}

bool ServiceVersions::Serves(SoftwareKey software) const {
  const auto found = m_versions.find(software);
  return found != m_versions.end() && found->second.serving > 0;
}

std::string ServiceVersions::NameOf(SoftwareKey software) const {
  const auto found = m_versions.find(software);
  return found == m_versions.end() ? "" : found->second.name;
}

std::optional<ServiceName> ServiceVersions::ServiceOf(
    SoftwareKey software) const {
  const auto found = m_versions.find(software);
  if (found == m_versions.end()) return std::nullopt;
  return found->second.service;
}

std::vector<SoftwareKey> ServiceVersions::SoftwareOf(
    const ServiceName& service) const {
  std::vector<SoftwareKey> serving;
  for (const auto& [software, version] : m_versions)
    if (version.service == service && version.serving > 0)
      serving.push_back(software);
  return serving;
}

std::vector<VersionCount> ServiceVersions::Counts() const {
  std::vector<VersionCount> counts;
  for (const auto& [software, version] : m_versions)
    counts.push_back({version.service, version.name, version.serving});
  return counts;
}

}  // namespace dotterelshift::origins
