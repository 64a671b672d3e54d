#include "dotterelshift/app/origin_exchange.h"

#include <cppunit/TestFixture.h>              // for TestFixture
#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <utility>  // for exchange

#include "dotterelshift/app/recording_hub_testing.h"  // for RecordingHub

namespace dotterelshift::app {
namespace {

// One entry with its origins.
struct Entry {
  Entry(loop::Loop& loop, const HostId& host) : exchange(loop, origins) {
    self.run = {host, 1};
    self.data_centre = host;
    self.address = host + ":1";
    exchange.Connect(&hub, [](const std::string&) { return true; });
  }

  peers::PeerInfo self;
  origins::StreamOrigins origins;
  RecordingHub hub;
  OriginExchange exchange;
};

// Two entries of different data centres.
class OriginExchangeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OriginExchangeTest);
  CPPUNIT_TEST(OriginIsAskedForAndTaken);
  CPPUNIT_TEST(OriginOfALateAnswerIsKnown);
  CPPUNIT_TEST(OtherFramesAreLeftToOthers);
  CPPUNIT_TEST_SUITE_END();

 public:
  void OriginIsAskedForAndTaken() {
    m_asked.origins.OnBegun(kStream, origins::SoftwareKeyOf("engine", "v1"),
                            m_loop.Now());
    m_asking.exchange.SetEntries({{m_asked.self.address, "b"}});
    CPPUNIT_ASSERT(m_asking.exchange.Lookup().Start(kStream, m_loop.Now()));
    CPPUNIT_ASSERT(m_asking.exchange.Exchange().empty());
    CPPUNIT_ASSERT(m_asking.hub.dials ==
                   std::vector<std::string>{m_asked.self.address});
    m_asking.exchange.OnUp(m_asked.self);
    CPPUNIT_ASSERT(m_asking.exchange.Exchange().empty());
    Deliver(m_asking, m_asked);
    m_asked.exchange.Exchange();
    Deliver(m_asked, m_asking);
    const auto ended = m_asking.exchange.Exchange();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, ended.size());
    CPPUNIT_ASSERT(ended.front().outcome == origins::LookupOutcome::kLearned);
    CPPUNIT_ASSERT(m_asking.origins.Find(kStream, m_loop.Now()).state ==
                   origins::OriginState::kKnown);
  }

  // Its lookup has ended, but the caller may come again.
  void OriginOfALateAnswerIsKnown() {
    wire::OriginAnswerT answer;
    answer.origins.emplace_back(kStream, 1);
    m_asking.exchange.OnFrame(m_asked.self, peers::MakeFrame(answer));
    const auto known = m_asking.origins.Find(kStream, m_loop.Now());
    CPPUNIT_ASSERT(known.state == origins::OriginState::kKnown);
    CPPUNIT_ASSERT_EQUAL(SoftwareKey{1}, known.software);
  }

  void OtherFramesAreLeftToOthers() {
    CPPUNIT_ASSERT(!m_asking.exchange.OnFrame(
        m_asked.self, peers::MakeFrame(wire::LoadNotesT())));
  }

 private:
  static constexpr origins::StreamKey kStream = 7;

  static void Deliver(Entry& from, Entry& to) {
    const auto frames = std::exchange(from.hub.sent, {});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, frames.size());
    CPPUNIT_ASSERT_EQUAL(to.self.run.host, frames.front().first);
    CPPUNIT_ASSERT(to.exchange.OnFrame(from.self, frames.front().second));
  }

  loop::Loop m_loop;
  Entry m_asking{m_loop, "a"};
  Entry m_asked{m_loop, "b"};
};

CPPUNIT_TEST_SUITE_REGISTRATION(OriginExchangeTest);

}  // namespace
}  // namespace dotterelshift::app
