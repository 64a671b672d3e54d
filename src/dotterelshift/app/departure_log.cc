#include "dotterelshift/app/departure_log.h"

#include <flatbuffers/flatbuffers.h>  // for FlatBufferBuilder, Verifier

#include <algorithm>  // for clamp
#include <utility>    // for exchange, move

#include "dotterelshift/directory/departures.h"  // for DepartureKey
#include "dotterelshift/telemetry/log.h"         // for Log

namespace dotterelshift::app {
namespace {

// Bounds on the age that a restored departure is given. It is older than what
// the endpoint's successor at its address has announced, and is told to others
// for half a minute at least.
constexpr Duration kMinRestoredAge = 10s;
constexpr Duration kMaxRestoredAge = 30s;

// Endpoints that leave announce it again within some heartbeats. The store
// keeps the records for longer.
constexpr Duration kRemember = 300s;

std::string Encode(const wire::EndpointRecordT& record) {
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(wire::EndpointRecord::Pack(builder, &record));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

wire::EndpointRecordT Decode(const std::string& bytes) {
  const auto* const data = reinterpret_cast<const uint8_t*>(bytes.data());
  flatbuffers::Verifier verifier(data, bytes.size());
  if (!verifier.VerifyBuffer<wire::EndpointRecord>(nullptr))
    throw Error(ErrorKind::kStorageDamaged, "a stored departure is unreadable");
  wire::EndpointRecordT record;
  flatbuffers::GetRoot<wire::EndpointRecord>(data)->UnPackTo(&record);
  return record;
}

}  // namespace

DepartureLog::DepartureLog(loop::Loop& loop, const std::string& folder)
    : m_loop(loop), m_timer(loop, [this] { Write(); }) {
  auto [store, kept] = storage::OpenDepartureStore(
      storage::DepartureStoreOptions{.folder = folder}, loop.WallNow());
  m_store = std::move(store);
  Restore(kept);
}

DepartureLog::DepartureLog(loop::Loop& loop,
                           std::unique_ptr<storage::DepartureStore> store,
                           const std::vector<storage::StoredDeparture>& kept)
    : m_loop(loop),
      m_store(std::move(store)),
      m_timer(loop, [this] { Write(); }) {
  Restore(kept);
}

void DepartureLog::Restore(const std::vector<storage::StoredDeparture>& kept) {
  const WallMs now = m_loop.WallNow();
  for (const storage::StoredDeparture& departure : kept) {
    wire::EndpointRecordT record = Decode(departure.record);
    const WallMs age =
        std::clamp<WallMs>(now - departure.stored_at, ToMs(kMinRestoredAge),
                           ToMs(kMaxRestoredAge));
    record.age_ms = static_cast<uint32_t>(age);
    m_durable[directory::DepartureKey(record)] = departure.stored_at;
    m_restored.push_back(std::move(record));
  }
  if (kept.empty()) return;
  telemetry::Log(telemetry::LogLevel::kInfo, "departures_restored",
                 {{"departures", std::to_string(kept.size())}});
}

std::vector<wire::EndpointRecordT> DepartureLog::TakeRestored() {
  return std::exchange(m_restored, {});
}

void DepartureLog::Keep(const std::vector<wire::EndpointRecordT>& records,
                        std::function<void(ErrorKind)> callback) {
  for (const wire::EndpointRecordT& record : records) {
    const uint64_t key = directory::DepartureKey(record);
    if (m_durable.contains(key)) continue;
    m_waiting_keys.push_back(key);
    m_waiting.push_back(Encode(record));
  }
  m_callbacks.push_back(std::move(callback));
  m_timer.ArmIn(0ms);
}

void DepartureLog::Write() {
  const std::vector<std::string> records = std::exchange(m_waiting, {});
  const std::vector<uint64_t> keys = std::exchange(m_waiting_keys, {});
  const auto callbacks = std::exchange(m_callbacks, {});
  const ErrorKind error = records.empty() ? ErrorKind::kNone : Store(records);
  if (error == ErrorKind::kNone) Remember(keys);
  for (const auto& callback : callbacks) callback(error);
}

void DepartureLog::Remember(const std::vector<uint64_t>& keys) {
  const WallMs now = m_loop.WallNow();
  std::erase_if(m_durable, [now](const auto& item) {
    return now - item.second >= ToMs(kRemember);
  });
  for (const uint64_t key : keys) m_durable[key] = now;
}

ErrorKind DepartureLog::Store(const std::vector<std::string>& records) {
  const Instant start = m_loop.Now();
  try {
    m_store->Append(records, m_loop.WallNow());
  } catch (const Error& error) {
    telemetry::Log(telemetry::LogLevel::kError, "departures_not_stored",
                   {{"departures", std::to_string(records.size())},
                    {"detail", error.what()}});
    return error.Kind();
  }
  telemetry::Log(telemetry::LogLevel::kInfo, "departures_stored",
                 {{"departures", std::to_string(records.size())},
                  {"took_ms", std::to_string(ToMs(m_loop.Now() - start))}});
  return ErrorKind::kNone;
}

}  // namespace dotterelshift::app
