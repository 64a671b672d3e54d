#include "dotterelshift/endpoints/announcement.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <nlohmann/json.hpp>  // for json
#include <string>             // for string
#include <vector>             // for vector

namespace dotterelshift::endpoints {
namespace {

using callers::Refusal;
using nlohmann::json;

json ValidAnnouncement() {
  return json::parse(R"({
    "id": "e1", "incarnation": 5, "sequence": 9, "address": "10.0.0.1:8000",
    "data_centre": "fann", "role": "decode", "draining": true,
    "checks_fencing": true,
    "models": [{"model": "m", "version": "2", "adapters": ["a", "b"]}],
    "services": ["loans"], "slots": 8, "running": 3, "waiting": 1,
    "tokens_per_second": 700,
    "cache_events": [{"sequence": 4, "prefix_hash": 18446744073709551615,
                      "stored": true}]})");
}

// A change that makes a valid announcement invalid, and the field that the
// error must name.
struct Row {
  std::string path;
  json value;
  std::string field;
};

std::vector<Row> Rows() {
  const std::string long_name(129, 'x');
  std::vector<Row> rows;
  for (const char* field :
       {"id", "incarnation", "sequence", "address", "data_centre"})
    rows.push_back({std::string("/") + field, nullptr, field});
  for (const char* field : {"id", "data_centre", "role"})
    for (const json& value : {json(1), json(""), json("a b"), json(long_name)})
      rows.push_back({std::string("/") + field, value, field});
  for (const char* address :
       {"host:80", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:80x",
        ":80", "::1:80", "[::1:80", "10.0.0.256:80", "10.0.0.1:-1"})
    rows.push_back({"/address", address, "address"});
  for (const char* field : {"incarnation", "sequence", "slots", "running",
                            "waiting", "tokens_per_second"})
    for (const json& value : {json(-1), json(1.5), json("1"), json(true)})
      rows.push_back({std::string("/") + field, value, field});
  rows.push_back({"/slots", 4000000000U, "slots"});
  for (const char* field : {"draining", "checks_fencing"})
    rows.push_back({std::string("/") + field, "yes", field});
  rows.push_back({"/models", "m", "models"});
  rows.push_back({"/models/0", "m", "models"});
  rows.push_back({"/models/0/model", nullptr, "model"});
  rows.push_back({"/models/0/adapters", json::array({1}), "adapters"});
  rows.push_back({"/services", json::array({""}), "services"});
  rows.push_back(
      {"/services", json(std::vector<std::string>(257, "s")), "services"});
  rows.push_back({"/cache_events", json::object(), "cache_events"});
  rows.push_back({"/cache_events/0", 1, "cache_events"});
  rows.push_back({"/cache_events/0/prefix_hash", "ff", "prefix_hash"});
  rows.push_back({"/cache_events/0/sequence", nullptr, "sequence"});
  return rows;
}

class AnnouncementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AnnouncementTest);
  CPPUNIT_TEST(CompleteAnnouncementIsParsed);
  CPPUNIT_TEST(MinimalAnnouncementIsParsed);
  CPPUNIT_TEST(InvalidFieldIsNamedInTheError);
  CPPUNIT_TEST(InvalidTextIsRefusedWithItsKind);
  CPPUNIT_TEST_SUITE_END();

 public:
  void CompleteAnnouncementIsParsed() {
    const auto parsed = ParseAnnouncement(ValidAnnouncement().dump());
    const auto& announcement = std::get<Announcement>(parsed);
    const wire::EndpointRecordT& record = announcement.record;
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), record.id);
    CPPUNIT_ASSERT_EQUAL(uint64_t{5}, record.incarnation);
    CPPUNIT_ASSERT_EQUAL(uint64_t{9}, record.sequence);
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:8000"), record.address);
    CPPUNIT_ASSERT(record.draining && record.checks_fencing);
    CPPUNIT_ASSERT_EQUAL(std::string("2"), record.models.at(0)->version);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, record.models.at(0)->adapters.size());
    CPPUNIT_ASSERT_EQUAL(uint32_t{700}, record.tokens_per_second);
    const wire::CacheEventT& event = announcement.cache_events.at(0);
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), event.endpoint);
    CPPUNIT_ASSERT_EQUAL(uint64_t{18446744073709551615U}, event.prefix_hash);
    CPPUNIT_ASSERT(event.stored);
  }

  void MinimalAnnouncementIsParsed() {
    const auto parsed = ParseAnnouncement(
        R"({"id":"e","incarnation":1,"sequence":1,"address":"[::1]:80",
            "data_centre":"d"})");
    CPPUNIT_ASSERT(std::holds_alternative<Announcement>(parsed));
  }

  void InvalidFieldIsNamedInTheError() {
    for (const Row& row : Rows()) {
      json body = ValidAnnouncement();
      body[json::json_pointer(row.path)] = row.value;
      const auto parsed = ParseAnnouncement(body.dump());
      const std::string name = row.path + " = " + row.value.dump();
      const auto* refusal = std::get_if<Refusal>(&parsed);
      CPPUNIT_ASSERT_MESSAGE(name, refusal != nullptr);
      CPPUNIT_ASSERT_MESSAGE(name, refusal->kind == ErrorKind::kBadField);
      CPPUNIT_ASSERT_MESSAGE(name + ": " + refusal->detail,
                             refusal->detail.starts_with(row.field + ":"));
    }
  }

  void InvalidTextIsRefusedWithItsKind() {
    struct Case {
      std::string text;
      ErrorKind kind;
    };
    for (const Case& c : std::vector<Case>{{"", ErrorKind::kBadJson},
                                           {"{", ErrorKind::kBadJson},
                                           {"[]", ErrorKind::kBadField},
                                           {"\"\xff\"", ErrorKind::kBadUtf8}}) {
      const auto parsed = ParseAnnouncement(c.text);
      const auto* refusal = std::get_if<Refusal>(&parsed);
      CPPUNIT_ASSERT_MESSAGE(c.text, refusal != nullptr);
      CPPUNIT_ASSERT_MESSAGE(c.text, refusal->kind == c.kind);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnnouncementTest);

}  // namespace
}  // namespace dotterelshift::endpoints
