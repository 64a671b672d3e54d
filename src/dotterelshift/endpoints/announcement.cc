#include "dotterelshift/endpoints/announcement.h"

#include <arpa/inet.h>  // for inet_pton

#include <algorithm>          // for all_of
#include <charconv>           // for from_chars
#include <limits>             // for numeric_limits
#include <memory>             // for make_unique
#include <nlohmann/json.hpp>  // for json
#include <utility>            // for move

#include "dotterelshift/callers/prompt.h"  // for IsUtf8

namespace dotterelshift::endpoints {
namespace {

using callers::Refusal;
using nlohmann::json;

constexpr size_t kMaxNameBytes = 128;
constexpr size_t kMaxListed = 256;
constexpr size_t kMaxCacheEvents = 4096;

// Thrown at the first invalid field; caught in ParseAnnouncement.
struct Fault {
  Refusal refusal;
};

[[noreturn]] void Refuse(const std::string& field, const char* expected) {
  throw Fault{{ErrorKind::kBadField, field + ": " + expected}};
}

const json* FieldOf(const json& object, const char* name) {
  const auto found = object.find(name);
  return found == object.end() || found->is_null() ? nullptr : &*found;
}

std::string NameFrom(const json& value, const std::string& field) {
  if (!value.is_string()) Refuse(field, "a name");
  const auto& name = value.get_ref<const std::string&>();
  const bool visible = std::ranges::all_of(
      name, [](char c) { return static_cast<unsigned char>(c) > ' '; });
  if (name.empty() || name.size() > kMaxNameBytes || !visible)
    Refuse(field, "a name of 1 to 128 bytes without blanks");
  return name;
}

std::string RequiredName(const json& object, const char* name) {
  const json* value = FieldOf(object, name);
  if (value == nullptr) Refuse(name, "is missing");
  return NameFrom(*value, name);
}

std::string OptionalName(const json& object, const char* name) {
  const json* value = FieldOf(object, name);
  return value == nullptr ? std::string() : NameFrom(*value, name);
}

bool OptionalBool(const json& object, const char* name) {
  const json* value = FieldOf(object, name);
  if (value == nullptr) return false;
  if (!value->is_boolean()) Refuse(name, "true or false");
  return value->get<bool>();
}

uint64_t NumberFrom(const json& value, const std::string& field,
                    uint64_t max_allowed) {
  if (!value.is_number_unsigned() || value.get<uint64_t>() > max_allowed)
    Refuse(field, "a whole number within bounds");
  return value.get<uint64_t>();
}

uint64_t RequiredNumber(const json& object, const char* name) {
  const json* value = FieldOf(object, name);
  if (value == nullptr) Refuse(name, "is missing");
  return NumberFrom(*value, name, std::numeric_limits<uint64_t>::max());
}

uint32_t OptionalCount(const json& object, const char* name) {
  constexpr uint64_t kMaxCount = 1'000'000'000;
  const json* value = FieldOf(object, name);
  if (value == nullptr) return 0;
  return static_cast<uint32_t>(NumberFrom(*value, name, kMaxCount));
}

const json* OptionalList(const json& object, const char* name,
                         size_t max_allowed) {
  const json* value = FieldOf(object, name);
  if (value == nullptr) return nullptr;
  if (!value->is_array() || value->size() > max_allowed)
    Refuse(name, "a short list");
  return value;
}

bool IsPort(std::string_view text) {
  uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto [stop, fault] = std::from_chars(text.data(), end, port);
  return fault == std::errc() && stop == end && port > 0;
}

// Whether the text is IP:port, with an IPv6 address in brackets.
bool IsAddress(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos) return false;
  std::string host(text.substr(0, colon));
  if (!IsPort(text.substr(colon + 1))) return false;
  in6_addr v6{};
  in_addr v4{};
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
    return inet_pton(AF_INET6, host.c_str(), &v6) == 1;
  }
  return inet_pton(AF_INET, host.c_str(), &v4) == 1;
}

std::vector<std::string> NamesIn(const json& object, const char* name) {
  std::vector<std::string> names;
  if (const json* list = OptionalList(object, name, kMaxListed))
    for (const json& value : *list) names.push_back(NameFrom(value, name));
  return names;
}

std::unique_ptr<wire::ModelStateT> ModelFrom(const json& value) {
  if (!value.is_object()) Refuse("models", "each is an object");
  auto model = std::make_unique<wire::ModelStateT>();
  model->model = RequiredName(value, "model");
  model->version = OptionalName(value, "version");
  model->adapters = NamesIn(value, "adapters");
  return model;
}

void ReadLoad(const json& body, wire::EndpointRecordT* record) {
  record->slots = OptionalCount(body, "slots");
  record->running = OptionalCount(body, "running");
  record->waiting = OptionalCount(body, "waiting");
  record->tokens_per_second = OptionalCount(body, "tokens_per_second");
}

wire::EndpointRecordT RecordFrom(const json& body) {
  wire::EndpointRecordT record;
  record.id = RequiredName(body, "id");
  record.incarnation = RequiredNumber(body, "incarnation");
  record.sequence = RequiredNumber(body, "sequence");
  record.address = RequiredName(body, "address");
  if (!IsAddress(record.address)) Refuse("address", "IP:port");
  record.data_centre = RequiredName(body, "data_centre");
  record.role = OptionalName(body, "role");
  record.draining = OptionalBool(body, "draining");
  record.checks_fencing = OptionalBool(body, "checks_fencing");
  if (const json* models = OptionalList(body, "models", kMaxListed))
    for (const json& model : *models) record.models.push_back(ModelFrom(model));
  record.services = NamesIn(body, "services");
  ReadLoad(body, &record);
  return record;
}

wire::CacheEventT CacheEventFrom(const json& value,
                                 const wire::EndpointRecordT& record) {
  if (!value.is_object()) Refuse("cache_events", "each is an object");
  wire::CacheEventT event;
  event.endpoint = record.id;
  event.incarnation = record.incarnation;
  event.sequence = RequiredNumber(value, "sequence");
  event.prefix_hash = RequiredNumber(value, "prefix_hash");
  event.stored = OptionalBool(value, "stored");
  return event;
}

}  // namespace

std::variant<Announcement, Refusal> ParseAnnouncement(std::string_view text) {
  if (!callers::IsUtf8(text)) return Refusal{ErrorKind::kBadUtf8, ""};
  const json body = json::parse(text, nullptr, false);
  if (body.is_discarded()) return Refusal{ErrorKind::kBadJson, ""};
  if (!body.is_object())
    return Refusal{ErrorKind::kBadField, "the body is a JSON object"};
  try {
    Announcement announcement;
    announcement.record = RecordFrom(body);
    const json* events = OptionalList(body, "cache_events", kMaxCacheEvents);
    if (events == nullptr) return announcement;
    for (const json& event : *events) {
      announcement.cache_events.push_back(
          CacheEventFrom(event, announcement.record));
    }
    return announcement;
  } catch (const Fault& fault) {
    return fault.refusal;
  }
}

}  // namespace dotterelshift::endpoints
