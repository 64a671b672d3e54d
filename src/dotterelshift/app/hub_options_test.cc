#include "dotterelshift/app/hub_options.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

namespace dotterelshift::app {
namespace {

class HubOptionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HubOptionsTest);
  CPPUNIT_TEST(HttpAddressIsAdvertised);
  CPPUNIT_TEST(SeedsAreDialledAtTheConfiguredPeerPort);
  CPPUNIT_TEST_SUITE_END();

  // A follower redirects operators to this address.
  void HttpAddressIsAdvertised() {
    settings::Settings settings;
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:81"),
                         HttpAddressOf(settings, 81));
    settings.listen = "10.0.0.4:8080";
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.4:8080"),
                         HttpAddressOf(settings, 8080));
  }

  void SeedsAreDialledAtTheConfiguredPeerPort() {
    settings::Settings settings;
    settings.peer_port = 7400;
    settings.seeds = {"10.0.0.1:8229", "10.0.0.2:8229"};
    const auto options = MakeHubOptions(settings, "a secret", 1, 80);
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:7400"), options.dial.at(0));
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.2:7400"), options.dial.at(1));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(HubOptionsTest);

}  // namespace
}  // namespace dotterelshift::app
