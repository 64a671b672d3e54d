#include "dotterelshift/gateway/event_scanner.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

namespace dotterelshift::gateway {
namespace {

class EventScannerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EventScannerTest);
  CPPUNIT_TEST(CompleteEventsPassForAnySplit);
  CPPUNIT_TEST(DuplicateEventsAreDropped);
  CPPUNIT_TEST(MissingEventsAreDetected);
  CPPUNIT_TEST(EventsInManySmallPiecesAreFoundOnce);
  CPPUNIT_TEST_SUITE_END();

  void CompleteEventsPassForAnySplit() {
    const std::string stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n";
    for (size_t cut = 0; cut <= stream.size(); ++cut) {
      EventScanner scanner;
      std::string passed = scanner.Take(stream.substr(0, cut));
      CPPUNIT_ASSERT(passed.empty() || passed.ends_with("\n"));
      passed += scanner.Take(stream.substr(cut));
      CPPUNIT_ASSERT_EQUAL(stream, passed);
      CPPUNIT_ASSERT_EQUAL(uint64_t{2}, scanner.Events());
      CPPUNIT_ASSERT_EQUAL(uint64_t{2}, *scanner.LastId());
      CPPUNIT_ASSERT(scanner.PartialEvent().empty());
    }
  }

  void DuplicateEventsAreDropped() {
    EventScanner scanner;
    scanner.Take("id: 4\ndata: a\n\nid: 5\nda");
    CPPUNIT_ASSERT_EQUAL(std::string("id: 5\nda"), scanner.PartialEvent());
    scanner.Reset();
    CPPUNIT_ASSERT_EQUAL(std::string("id: 5\ndata: b\n\n"),
                         scanner.Take("id: 4\ndata: a\n\nid: 5\ndata: b\n\n"));
    CPPUNIT_ASSERT(!scanner.HasGap());
  }

  void MissingEventsAreDetected() {
    EventScanner scanner;
    scanner.Take("id: 4\ndata: a\n\n");
    scanner.Take("id: 6\ndata: c\n\n");
    CPPUNIT_ASSERT(scanner.HasGap());
  }

  // Lines that were searched before are not searched again.
  void EventsInManySmallPiecesAreFoundOnce() {
    const std::string events =
        "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\ndata: "
        "d\r\n\n";
    const std::string partial = "id: 4\ndata: e";
    const std::string stream = events + partial;
    for (size_t size = 1; size <= stream.size(); ++size) {
      EventScanner scanner;
      std::string passed;
      for (size_t at = 0; at < stream.size(); at += size)
        passed += scanner.Take(stream.substr(at, size));
      CPPUNIT_ASSERT_EQUAL(events, passed);
      CPPUNIT_ASSERT_EQUAL(partial, scanner.PartialEvent());
      CPPUNIT_ASSERT_EQUAL(uint64_t{3}, scanner.Events());
      // A line that was searched before the reset is not skipped after it.
      scanner.Reset();
      CPPUNIT_ASSERT_EQUAL(std::string("id: 4\n\n"), scanner.Take("id: 4\n\n"));
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(EventScannerTest);

}  // namespace
}  // namespace dotterelshift::gateway
