#include "dotterelshift/origins/service_versions.h"

#include <cppunit/TestFixture.h>              // for TestFixture
#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

namespace dotterelshift::origins {
namespace {

class ServiceVersionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServiceVersionsTest);
  CPPUNIT_TEST(FirstAndLastEndpointOfAVersionAreReported);
  CPPUNIT_TEST(VersionThatLeftIsRemembered);
  CPPUNIT_TEST(SameVersionOfAnotherServiceIsOtherSoftware);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FirstAndLastEndpointOfAVersionAreReported() {
    Announce("a", "v1");
    Announce("b", "v1");
    Announce("c", "v2");
    auto changes = Update();
    CPPUNIT_ASSERT_EQUAL(size_t{2}, changes.size());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, changes.front().versions);
    Announce("a", "v1", true);
    CPPUNIT_ASSERT(Update().empty());
    Announce("b", "v1", true);
    changes = Update();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, changes.size());
    CPPUNIT_ASSERT_EQUAL(std::string("v1"), changes.front().version);
    CPPUNIT_ASSERT(!changes.front().serves);
    CPPUNIT_ASSERT(!m_versions.Serves(SoftwareKeyOf("s", "v1")));
    CPPUNIT_ASSERT(m_versions.Serves(SoftwareKeyOf("s", "v2")));
  }

  void VersionThatLeftIsRemembered() {
    Announce("a", "v1", true);
    Announce("b", "v2");
    Update();
    m_now += ServiceVersions::kMemory;
    Announce("b", "v2");
    Update();
    CPPUNIT_ASSERT(!m_versions.Only("s").has_value());
    m_now += 1ms;
    Update();
    CPPUNIT_ASSERT(m_versions.Only("s") == SoftwareKeyOf("s", "v2"));
    CPPUNIT_ASSERT(!m_versions.Only("t").has_value());
  }

  void SameVersionOfAnotherServiceIsOtherSoftware() {
    CPPUNIT_ASSERT(SoftwareKeyOf("s", "v1") != SoftwareKeyOf("t", "v1"));
  }

 private:
  void Announce(const EndpointId& id, const std::string& version,
                bool draining = false) {
    wire::EndpointRecordT record;
    record.id = id;
    record.services = {"s"};
    record.software_version = version;
    record.draining = draining;
    record.sequence = ++m_sequence;
    m_directory.OnRecord(record, m_now);
  }

  std::vector<VersionChange> Update() {
    m_versions.Update(m_directory, m_now);
    return m_versions.TakeChanges();
  }

  Instant m_now{1000s};
  uint64_t m_sequence = 0;
  directory::Directory m_directory;
  ServiceVersions m_versions;
};
CPPUNIT_TEST_SUITE_REGISTRATION(ServiceVersionsTest);

}  // namespace
}  // namespace dotterelshift::origins
