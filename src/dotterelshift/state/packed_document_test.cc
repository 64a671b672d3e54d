#include "dotterelshift/state/packed_document.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include "dotterelshift/base/error.h"                     // for Error
#include "dotterelshift/state/routes_document_testing.h"  // for RoutesDocument

namespace dotterelshift::state {
namespace {

class PackedDocumentTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PackedDocumentTest);
  CPPUNIT_TEST(PackedSizeFollowsTheChange);
  CPPUNIT_TEST(AnyDocumentRoundTrips);
  CPPUNIT_TEST(AnotherBaseIsRefused);
  CPPUNIT_TEST(DamagedBytesAreRefused);
  CPPUNIT_TEST_SUITE_END();

  static bool IsRefused(const std::vector<uint8_t>& packed,
                        std::string_view base) {
    try {
      UnpackDocument(packed, base);
    } catch (const Error& error) {
      return error.Kind() == ErrorKind::kBadFrame;
    }
    return false;
  }

  void PackedSizeFollowsTheChange() {
    constexpr size_t kMaxBytes = 2 << 10;
    for (const size_t routes : {10, 1'400, 19'000}) {
      const std::string base = RoutesDocument({.version = 7, .routes = routes});
      const std::string next = RoutesDocument(
          {.version = 8, .routes = routes, .changed = routes / 2});
      const auto packed = PackDocument(next, base);
      CPPUNIT_ASSERT(packed.size() <= kMaxBytes);
      CPPUNIT_ASSERT(UnpackDocument(packed, base) == next);
    }
  }

  void AnyDocumentRoundTrips() {
    const std::string large = RoutesDocument({.routes = 100});
    const std::string documents[] = {"", "x", "{}", large, large + large};
    for (const std::string& base : documents) {
      for (const std::string& document : documents) {
        CPPUNIT_ASSERT(UnpackDocument(PackDocument(document, base), base) ==
                       document);
      }
    }
  }

  void AnotherBaseIsRefused() {
    const std::string base = RoutesDocument({.version = 7, .routes = 100});
    const std::string other = RoutesDocument({.version = 6, .routes = 100});
    const auto packed = PackDocument("nothing of the base", base);
    CPPUNIT_ASSERT(IsRefused(packed, other));
    CPPUNIT_ASSERT(IsRefused(packed, ""));
  }

  void DamagedBytesAreRefused() {
    const std::string base = RoutesDocument({.version = 7, .routes = 20});
    const std::string next =
        RoutesDocument({.version = 8, .routes = 20, .changed = 3});
    const auto packed = PackDocument(next, base);
    for (size_t i = 0; i < packed.size(); ++i) {
      const std::vector<uint8_t> cut(packed.data(), packed.data() + i);
      CPPUNIT_ASSERT(IsRefused(cut, base));
      for (int bit = 0; bit < 8; ++bit) {
        std::vector<uint8_t> flipped = packed;
        flipped[i] ^= static_cast<uint8_t>(1 << bit);
        // Flipping a bit that the library ignores leaves the document intact.
        CPPUNIT_ASSERT(IsRefused(flipped, base) ||
                       UnpackDocument(flipped, base) == next);
      }
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(PackedDocumentTest);

}  // namespace
}  // namespace dotterelshift::state
