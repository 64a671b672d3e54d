// What it costs, and how long it takes, to look up the origins of streams in a
// large fleet: in peace, in storms, and while entries do not answer.
#include "scenarios/origin_fleet.h"

#include <cppunit/TestFixture.h>              // for TestFixture
#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <string>  // for to_string
#include <vector>  // for vector

namespace dotterelshift::testing {
namespace {

constexpr Duration kMostDelay = 100ms;
constexpr Duration kMostDelayOf99Percent = 50ms;
constexpr uint64_t kMostQuietBytesASecond = 1000;

class OriginFleetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OriginFleetTest);
  CPPUNIT_TEST(FleetInWhichNothingIsResumedElsewhereSendsNothing);
  CPPUNIT_TEST(FewResumptionsCostLittle);
  CPPUNIT_TEST(FewResumptionsCostNoEntryOfALargerFleetMuch);
  CPPUNIT_TEST(StreamsOfAHostThatDiedAreFound);
  CPPUNIT_TEST(StreamsOfADataCentreThatDiedAreRefusedInTime);
  CPPUNIT_TEST(DataCentreThatIsCutOffDelaysNobodyForLong);
  CPPUNIT_TEST(EntryThatHasJustStartedHidesNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_fleet.Run(5s);
    m_fleet.TakeTotals();
  }

  void FleetInWhichNothingIsResumedElsewhereSendsNothing() {
    m_fleet.Begin(0, 100);
    m_fleet.Run(10s);
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, m_fleet.TakeTotals().Bytes());
  }

  void FewResumptionsCostLittle() { ExpectCheap(m_fleet, kOptions); }

  void FewResumptionsCostNoEntryOfALargerFleetMuch() {
    constexpr OriginFleetOptions kLarge = {
        .seed = 3, .entries = 373, .data_centres = 7};
    OriginFleet fleet(kLarge);
    ExpectCheap(fleet, kLarge);
  }

  void StreamsOfAHostThatDiedAreFound() {
    const auto streams = m_fleet.Begin(kEntryIn1, 100);
    m_fleet.Fail(kEntryIn1);
    m_fleet.ResumeElsewhere(streams, 1, 1s);
    m_fleet.Run(2s);
    ExpectAllLearned(m_fleet.TakeTotals(), streams.size());
  }

  // Those who knew them are dead.
  void StreamsOfADataCentreThatDiedAreRefusedInTime() {
    const auto lost = BeginIn(0);
    const auto others = BeginIn(1);
    for (size_t i = 0; i < kOptions.entries; ++i)
      if (m_fleet.DataCentreOf(i) == 0) m_fleet.Fail(i);
    m_fleet.ResumeElsewhere(lost, 0, 1s);
    m_fleet.ResumeElsewhere(others, 1, 1s);
    m_fleet.Run(2s);
    const OriginFleetTotals totals = m_fleet.TakeTotals();
    CPPUNIT_ASSERT_EQUAL(lost.size() + others.size(), totals.Ended());
    CPPUNIT_ASSERT_EQUAL(others.size(), totals.Learned());
    CPPUNIT_ASSERT(totals.TookAt(1) <= kMostDelay);
  }

  void DataCentreThatIsCutOffDelaysNobodyForLong() {
    // Enough for each entry to have asked all of that data centre.
    std::vector<origins::StreamKey> cut_off;
    for (int i = 0; i < 5; ++i) {
      const auto begun = BeginIn(0);
      cut_off.insert(cut_off.end(), begun.begin(), begun.end());
    }
    const auto others = BeginIn(1);
    m_fleet.CutOff(0);
    m_fleet.ResumeElsewhere(cut_off, 0, 1s);
    m_fleet.Run(1500ms);
    CPPUNIT_ASSERT(m_fleet.TakeTotals().TookAt(1) <= kMostDelay);
    m_fleet.ResumeElsewhere(others, 1, 1s);
    m_fleet.Run(1500ms);
    ExpectAllLearned(m_fleet.TakeTotals(), others.size());
    // Nobody waits for it any more.
    m_fleet.ResumeElsewhere(BeginIn(0), 0, 1s);
    m_fleet.Run(1500ms);
    const OriginFleetTotals totals = m_fleet.TakeTotals();
    CPPUNIT_ASSERT(totals.Ended() > 0);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, totals.Learned());
    CPPUNIT_ASSERT(totals.TookAt(1) < kMostDelay);
  }

  void EntryThatHasJustStartedHidesNothing() {
    const auto streams = BeginIn(1);
    m_fleet.Start(kEntryIn1);
    m_fleet.ResumeElsewhere(streams, 1, 1s);
    m_fleet.Run(2s);
    ExpectAllLearned(m_fleet.TakeTotals(), streams.size());
  }

 private:
  static constexpr size_t kEntryIn1 = 1;  // in data centre 1
  static constexpr OriginFleetOptions kOptions = {
      .seed = 3, .entries = 73, .data_centres = 4};

  std::vector<origins::StreamKey> BeginIn(size_t data_centre) {
    std::vector<origins::StreamKey> streams;
    for (size_t i = data_centre; i < kOptions.entries;
         i += kOptions.data_centres) {
      const auto begun = m_fleet.Begin(i, 20);
      streams.insert(streams.end(), begun.begin(), begun.end());
    }
    return streams;
  }

  // Each entry begins six streams a second, of which one in 100 is resumed
  // elsewhere; measured once connections have become as many as they will be.
  static void ExpectCheap(OriginFleet& fleet,
                          const OriginFleetOptions& options) {
    constexpr uint64_t kSeconds = 50;
    const size_t resumed = 3 * options.entries / options.data_centres;
    for (int round = 0; round < 2; ++round) {
      fleet.TakeTotals();
      for (size_t i = 0; i < options.data_centres; ++i)
        fleet.ResumeElsewhere(fleet.Begin(i, resumed), i, 50s);
      fleet.Run(50s);
    }
    const OriginFleetTotals totals = fleet.TakeTotals();
    ExpectAllLearned(totals, resumed * options.data_centres);
    const uint64_t most = totals.MostBytesOfEntry() / kSeconds;
    CPPUNIT_ASSERT_MESSAGE(std::to_string(most) + " bytes a second",
                           most < kMostQuietBytesASecond);
  }

  static void ExpectAllLearned(const OriginFleetTotals& totals, size_t count) {
    CPPUNIT_ASSERT_EQUAL(count, totals.Ended());
    CPPUNIT_ASSERT_EQUAL(count, totals.Learned());
    CPPUNIT_ASSERT(totals.TookAt(0.99) <= kMostDelayOf99Percent);
    CPPUNIT_ASSERT(totals.TookAt(1) <= kMostDelay);
  }

  OriginFleet m_fleet{kOptions};
};

CPPUNIT_TEST_SUITE_REGISTRATION(OriginFleetTest);

}  // namespace
}  // namespace dotterelshift::testing
