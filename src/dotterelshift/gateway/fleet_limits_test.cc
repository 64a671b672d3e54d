#include "dotterelshift/gateway/fleet_limits.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include "dotterelshift/directory/spread.h"  // for PulseKey

namespace dotterelshift::gateway {
namespace {

const EndpointId kEndpoint = "e";
constexpr Duration kAge = 700ms;

EndpointKey KeyOf(uint64_t incarnation) {
  return directory::PulseKey(kEndpoint, incarnation);
}

class FleetLimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetLimitsTest);
  CPPUNIT_TEST(LimitOfAnIncarnationNeverKnownHoldsForTheNext);
  CPPUNIT_TEST(TheSameWhenTheNoteComesFirst);
  CPPUNIT_TEST(NoteOfAnIncarnationBeforeDoesNotReviveALimit);
  CPPUNIT_TEST(RestartedEndpointGetsNoExtraPermit);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    wire::EndpointRecordT record;
    record.id = kEndpoint;
    record.incarnation = 2;
    record.sequence = 1;
    record.address = record.id + ":80";
    record.data_centre = "dc";
    record.services = {"llm"};
    m_directory.OnRecord(record, m_now);
    m_load.OnDirectory(m_directory);
    m_limits.emplace(FleetLimitsOptions{"h", "dc"}, m_load, m_now);
  }

  // An entry that has just started sent to it without a permit.
  void LimitOfAnIncarnationNeverKnownHoldsForTheNext() {
    m_limits->OnArrival(KeyOf(2), kEndpoint, m_now);
    CPPUNIT_ASSERT(!m_limits->IsLimited(KeyOf(2)));
    m_limits->OnNotes({NoteOf(1, 3)}, "control", m_now);
    CPPUNIT_ASSERT(m_limits->IsLimited(KeyOf(2)));
    m_limits->OnResponse(KeyOf(2), {}, m_now);
    CPPUNIT_ASSERT(!m_limits->IsLimited(KeyOf(2)));
  }

  void TheSameWhenTheNoteComesFirst() {
    m_limits->OnNotes({NoteOf(1, 3)}, "control", m_now);
    m_limits->OnArrival(KeyOf(2), kEndpoint, m_now);
    CPPUNIT_ASSERT(m_limits->IsLimited(KeyOf(2)));
    // Others are told of which endpoint it is.
    m_limits->OnEntryUp("o", "dc", m_now);
    for (const auto& [host, message] : m_limits->TakeMessages())
      for (const wire::LimitNote& note : message.notes)
        CPPUNIT_ASSERT_EQUAL(EndpointIdKeyOf(kEndpoint), note.endpoint_id());
  }

  void NoteOfAnIncarnationBeforeDoesNotReviveALimit() {
    m_limits->OnArrival(KeyOf(2), kEndpoint, m_now);
    m_limits->OnNotes({NoteOf(1, 3), NoteOf(2, -1)}, "control", m_now);
    CPPUNIT_ASSERT(!m_limits->IsLimited(KeyOf(2)));
    m_limits->OnNotes({NoteOf(1, 4)}, "o", m_now + 1s);
    CPPUNIT_ASSERT(!m_limits->IsLimited(KeyOf(2)));
  }

  void RestartedEndpointGetsNoExtraPermit() {
    FleetCount alone;
    alone.in_data_centre = 1;
    alone.counted_for = 60s;
    alone.confirmed = m_now;
    m_limits->OnCount(alone, m_now);
    m_limits->OnNotes({NoteOf(1, 1)}, "o", m_now);
    // The lease begins, and one spacing passes.
    Instant now = m_now;
    for (; now < m_now + 5s; now += 100ms) m_limits->OnTimer(now);
    CPPUNIT_ASSERT(AskFor(1, now) == PermitState::kGranted);
    m_limits->Use(1);
    m_limits->OnArrival(KeyOf(2), kEndpoint, now);
    CPPUNIT_ASSERT(AskFor(2, now) == PermitState::kDenied);
  }

 private:
  // Each request has the number of the incarnation that it is for.
  PermitState AskFor(uint64_t incarnation, Instant now) {
    PermitDemand demand;
    demand.request = incarnation;
    demand.endpoint = KeyOf(incarnation);
    demand.time_left = 3s;
    return m_limits->Ask(demand, now);
  }

  // A negative limit: none is named.
  static wire::LimitNote NoteOf(uint64_t incarnation, double limit) {
    return {KeyOf(incarnation), EndpointIdKeyOf(kEndpoint), limit, UINT32_MAX,
            static_cast<uint32_t>(ToMs(kAge))};
  }

  const Instant m_now{1000s};
  directory::Directory m_directory;
  FleetLoad m_load{FleetLoadOptions{"dc"}};
  std::optional<FleetLimits> m_limits;
};
CPPUNIT_TEST_SUITE_REGISTRATION(FleetLimitsTest);

}  // namespace
}  // namespace dotterelshift::gateway
