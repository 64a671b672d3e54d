#include "dotterelshift/app/other_entries.h"

#include <cppunit/TestFixture.h>              // for TestFixture
#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <functional>  // for function
#include <utility>     // for move

#include "dotterelshift/directory/directory.h"  // for Directory
#include "dotterelshift/directory/spread.h"     // for PulseKey

namespace dotterelshift::app {
namespace {

peers::PeerInfo EntryOf(const DataCentreId& data_centre) {
  return {.run = {data_centre + "1", 1},
          .data_centre = data_centre,
          .address = data_centre + "1"};
}

// A connection to one entry of another data centre.
class OneEntryHub : public peers::Hub {
 public:
  explicit OneEntryHub(peers::PeerInfo peer) : m_peer(std::move(peer)) {}

  bool Send(const HostId&, const wire::FrameT& frame) override {
    if (on_frame) on_frame(frame);
    return true;
  }
  size_t Backlog(const HostId&) const override { return 0; }
  std::vector<peers::PeerInfo> Peers() const override { return {m_peer}; }
  void Dial(const std::string&) override {}
  uint16_t Port() const override { return 0; }
  const peers::HubCounters& Counters() const override { return m_counters; }

  std::function<void(const wire::FrameT& frame)> on_frame;

 private:
  const peers::PeerInfo m_peer;
  peers::HubCounters m_counters;
};

class OtherEntriesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OtherEntriesTest);
  CPPUNIT_TEST(RequestsThatDistantEntriesWereToldOfAreTakenBack);
  CPPUNIT_TEST(LateLoadUpdateOfADistantEntryIsNotTaken);
  CPPUNIT_TEST(ReplacedEndpointsAreToldOnce);
  CPPUNIT_TEST(WhatWasNoticedOfEndpointsIsTold);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    wire::EndpointRecordT record;
    record.id = "e";
    record.incarnation = 1;
    record.sequence = 1;
    record.address = record.id + ":80";
    record.services = {"llm"};
    record.slots = 8;
    m_directory.OnRecord(record, m_now);
    gateway::Service service;
    service.name = "llm";
    gateway::Routes routes;
    routes.services.push_back(service);
    for (gateway::FleetLoad* load : {&m_own, &m_distant}) {
      load->OnDirectory(m_directory);
      load->OnRoutes(gateway::RouteTable(routes));
    }
    m_hub.on_frame = [this](const wire::FrameT& frame) {
      const auto* notes = frame.body.AsLoadNotes();
      if (notes != nullptr)
        m_distant_others.OnLoadUpdates(EntryOf("a"), *notes, m_distant, m_now);
    };
  }

  // A fleet of 16 entries grows to 17. The connections to the entries of other
  // data centres stay, and load updates are changes: a request that was told
  // there and whose end is not would count as running for as long as the
  // connection lasts.
  void RequestsThatDistantEntriesWereToldOfAreTakenBack() {
    const auto placement = m_own.Choose("llm", {}, {}, m_now);
    CPPUNIT_ASSERT(placement.has_value());
    m_own.OnAssigned(*placement, {}, m_now);
    m_others.SendUpdates(m_own, m_origins, m_restarts, &m_replaced, m_now);
    CPPUNIT_ASSERT_EQUAL(uint32_t{1}, m_distant.Running(m_endpoint));
    m_others.SetOwnDataCentreOnly(true, m_own);
    m_distant_others.SetOwnDataCentreOnly(true, m_distant);
    m_own.OnEnded(placement->endpoint);
    m_others.SendUpdates(m_own, m_origins, m_restarts, &m_replaced, m_now);
    CPPUNIT_ASSERT_EQUAL(uint32_t{0}, m_distant.Running(m_endpoint));
  }

  // The other entry has not heard yet that the fleet has grown.
  void LateLoadUpdateOfADistantEntryIsNotTaken() {
    m_distant_others.SetOwnDataCentreOnly(true, m_distant);
    const auto placement = m_own.Choose("llm", {}, {}, m_now);
    m_own.OnAssigned(*placement, {}, m_now);
    m_others.SendUpdates(m_own, m_origins, m_restarts, &m_replaced, m_now);
    CPPUNIT_ASSERT_EQUAL(uint32_t{0}, m_distant.Running(m_endpoint));
  }

  void ReplacedEndpointsAreToldOnce() {
    std::vector<std::vector<EndpointKey>> told;
    m_hub.on_frame = [&told](const wire::FrameT& frame) {
      told.push_back(frame.body.AsLoadNotes()->replaced);
    };
    m_replaced = {m_endpoint};
    m_others.SendUpdates(m_own, m_origins, m_restarts, &m_replaced, m_now);
    m_others.SendUpdates(m_own, m_origins, m_restarts, &m_replaced, m_now);
    CPPUNIT_ASSERT(told == std::vector({std::vector({m_endpoint})}));
  }

  void WhatWasNoticedOfEndpointsIsTold() {
    std::vector<wire::ProcessNote> told;
    m_hub.on_frame = [&told](const wire::FrameT& frame) {
      told = frame.body.AsLoadNotes()->processes;
    };
    m_restarts.OnBroken(*m_own.Find(m_endpoint), m_now - 7ms);
    m_others.SendUpdates(m_own, m_origins, m_restarts, &m_replaced, m_now);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, told.size());
    CPPUNIT_ASSERT_EQUAL(m_endpoint, told[0].endpoint());
    CPPUNIT_ASSERT_EQUAL(uint32_t{7}, told[0].age_ms());
    // One that connects learns of it, too.
    told.clear();
    m_others.SendKnowledgeTo(EntryOf("b"), m_own, m_origins, m_restarts, m_now);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, told.size());
  }

 private:
  const EndpointKey m_endpoint = directory::PulseKey("e", 1);
  const Instant m_now{1000s};
  directory::Directory m_directory;
  origins::StreamOrigins m_origins;
  origins::RestartSuspects m_restarts{m_directory};
  std::vector<EndpointKey> m_replaced;
  gateway::FleetLoad m_own{gateway::FleetLoadOptions{"a"}};
  gateway::FleetLoad m_distant{gateway::FleetLoadOptions{"b"}};
  loop::Loop m_loop;
  OneEntryHub m_hub{EntryOf("b")};
  OneEntryHub m_distant_hub{EntryOf("a")};
  OtherEntries m_others{m_loop, m_hub, "a", {}};
  OtherEntries m_distant_others{m_loop, m_distant_hub, "b", {}};
};
CPPUNIT_TEST_SUITE_REGISTRATION(OtherEntriesTest);

}  // namespace
}  // namespace dotterelshift::app
