// Load pattern: a release, one endpoint after the other. Streams that begin at
// the only endpoint of a version can't be resumed once it leaves.
#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <deque>  // for deque
#include <map>    // for map

#include "dotterelshift/directory/spread.h"      // for PulseKey
#include "dotterelshift/gateway/core_testing.h"  // for CoreFixture

namespace dotterelshift::gateway {
namespace {

class StreamsInReleaseTest : public CoreFixture {
  CPPUNIT_TEST_SUITE(StreamsInReleaseTest);
  CPPUNIT_TEST(NewStreamsBeginAtVersionsThatStay);
  CPPUNIT_TEST(OtherStreamsAreSpreadAsBefore);
  CPPUNIT_TEST(FullVersionThatStaysIsNotWaitedFor);
  CPPUNIT_TEST(VersionThatStaysIsNotPreferredIfItIsDear);
  CPPUNIT_TEST(OneVersionIsSpreadAsBefore);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    CoreFixture::setUp();
    Publish();
    for (const char* id : {"l1", "l2"}) SetState(id, "", true);
  }

  void NewStreamsBeginAtVersionsThatStay() {
    CPPUNIT_ASSERT_EQUAL(0, BegunAtLastEndpoints("/resume/"));
    CPPUNIT_ASSERT_EQUAL(0, m_refused);
  }

  // The schedule does reach last endpoints.
  void OtherStreamsAreSpreadAsBefore() {
    CPPUNIT_ASSERT(BegunAtLastEndpoints("/stream/") > 10);
    CPPUNIT_ASSERT_EQUAL(0, m_refused);
  }

  void FullVersionThatStaysIsNotWaitedFor() {
    OneLeftOfTwoVersions();
    for (int i = 0; i < 2 * kSlots; ++i)
      CPPUNIT_ASSERT_EQUAL(std::string("v2"), Begin("/resume/"));
    CPPUNIT_ASSERT_EQUAL(std::string("v1"), Begin("/resume/"));
    for (const char* id : {"new1", "new2"})
      m_load->OnOverloaded(directory::PulseKey(id, 1), m_now);
    CPPUNIT_ASSERT_EQUAL(std::string("v1"), Begin("/resume/"));
  }

  // A prompt is cached at the last endpoint, or others are queued elsewhere.
  void VersionThatStaysIsNotPreferredIfItIsDear() {
    OneLeftOfTwoVersions();
    for (const char* id : {"new1", "new2"}) {
      Placement placement;
      placement.endpoint = directory::PulseKey(id, 1);
      placement.tokens_to_prefill = 3'000;
      m_load->OnAssigned(placement, {}, m_now);
    }
    CPPUNIT_ASSERT_EQUAL(std::string("v1"), Begin("/resume/"));
  }

  void OneVersionIsSpreadAsBefore() {
    SetState("old1", "v1", false);
    CPPUNIT_ASSERT_EQUAL(std::string("v1"), Begin("/resume/"));
    SetState("old2", "v1", false);
    std::map<EndpointId, int> begun;
    for (int i = 0; i < 4; ++i) {
      Begin("/resume/");
      ++begun[m_endpoint];
    }
    CPPUNIT_ASSERT(begun["old1"] >= 1 && begun["old2"] >= 2);
  }

 private:
  static constexpr int kSlots = 6;

  void SetState(const EndpointId& id, const std::string& version,
                bool draining) {
    wire::EndpointRecordT record;
    record.id = id;
    record.incarnation = 1;
    record.sequence = ++m_sequence;
    record.address = record.id + ":80";
    record.data_centre = "dc";
    record.services = {"llm"};
    record.slots = kSlots;
    record.software_version = version;
    record.draining = draining;
    m_directory.OnRecord(record, m_now);
    m_core->OnEndpointsChanged(m_directory, m_now);
    m_core->TakeActions();
  }

  void OneLeftOfTwoVersions() {
    SetState("old1", "v1", false);
    SetState("new1", "v2", false);
    SetState("new2", "v2", false);
  }

  // Returns the version at which a stream begins; empty: it is not sent.
  std::string Begin(const std::string& path) {
    Request(path, 0, ++m_last_request);
    if (Count<StartAttempt>() == 0) {
      ++m_refused;
      return "";
    }
    const origins::EndpointContact endpoint = Only<StartAttempt>().endpoint;
    m_endpoint = endpoint.id;
    return endpoint.software_version;
  }

  // Six endpoints are replaced, one a second. Streams last half a second.
  // Returns how many began at a version of which no second endpoint served.
  int BegunAtLastEndpoints(const std::string& path) {
    constexpr int kEndpoints = 6;
    constexpr int kStreamsASecond = 24;
    int at_last = 0;
    std::deque<RequestId> open;
    std::map<std::string, int> serving;
    const auto set = [&](const std::string& version, int i, bool serves) {
      SetState(version + "-" + std::to_string(i), version, !serves);
      serving[version] += serves ? 1 : -1;
    };
    for (int i = 0; i < kEndpoints; ++i) set("v1", i, true);
    for (int i = 0; i < 2 * kEndpoints; ++i) {
      if (i % 2 == 0)
        set("v2", i / 2, true);
      else
        set("v1", i / 2, false);
      for (int n = 0; n < kStreamsASecond; ++n) {
        Advance(1000ms / kStreamsASecond);
        at_last += serving[Begin(path)] < 2 ? 1 : 0;
        open.push_back(m_last_request);
        if (open.size() <= kStreamsASecond / 2) continue;
        m_core->OnCallerGone(open.front(), m_now);
        open.pop_front();
      }
      for (const auto& [version, endpoints] : serving)
        for (int e = 0; e < kEndpoints; ++e) Repeat(version, e);
    }
    return at_last;
  }

  void Repeat(const std::string& version, int endpoint) {
    const EndpointId id = version + "-" + std::to_string(endpoint);
    const directory::Endpoint* known = m_directory.Find(id);
    if (known != nullptr) SetState(id, version, known->record.draining);
  }

  RequestId m_last_request = 0;
  EndpointId m_endpoint;
  int m_refused = 0;
};
CPPUNIT_TEST_SUITE_REGISTRATION(StreamsInReleaseTest);

}  // namespace
}  // namespace dotterelshift::gateway
