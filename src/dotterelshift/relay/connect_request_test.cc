#include "dotterelshift/relay/connect_request.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

namespace dotterelshift::relay {
namespace {

class ConnectRequestTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConnectRequestTest);
  CPPUNIT_TEST(CompleteHead);
  CPPUNIT_TEST(EveryPrefixIsIncomplete);
  CPPUNIT_TEST(MalformedHeadsAreBad);
  CPPUNIT_TEST(OversizedHeadIsBad);
  CPPUNIT_TEST_SUITE_END();

 public:
  void CompleteHead() {
    ConnectRequest request;
    const std::string head = kHead;
    CPPUNIT_ASSERT(ParseConnect(head + "early", &request) ==
                   ConnectParse::kComplete);
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:80"), request.target);
    CPPUNIT_ASSERT_EQUAL(std::string("abc"), request.token);
    CPPUNIT_ASSERT_EQUAL(head.size(), request.size);
  }

  void EveryPrefixIsIncomplete() {
    const std::string head = kHead;
    for (size_t size = 0; size < head.size(); ++size) {
      ConnectRequest request;
      CPPUNIT_ASSERT(ParseConnect(head.substr(0, size), &request) ==
                     ConnectParse::kIncomplete);
    }
  }

  void MalformedHeadsAreBad() {
    const std::string other_scheme =
        "CONNECT 10.0.0.1:80 HTTP/1.1\r\nProxy-Authorization: Basic x\r\n\r\n";
    for (const std::string& head :
         {std::string("GET / HTTP/1.1\r\n\r\n"),
          std::string("CONNECT name:80 HTTP/1.1\r\n\r\n"),
          std::string("CONNECT 10.0.0.1 HTTP/1.1\r\n\r\n"),
          std::string("\r\n\r\n"), other_scheme}) {
      ConnectRequest request;
      CPPUNIT_ASSERT_MESSAGE(
          head, ParseConnect(head, &request) == ConnectParse::kBad);
    }
  }

  void OversizedHeadIsBad() {
    ConnectRequest request;
    const std::string filler(kMaxConnectHeadBytes, 'x');
    CPPUNIT_ASSERT(ParseConnect("CONNECT " + filler, &request) ==
                   ConnectParse::kBad);
  }

 private:
  static constexpr char kHead[] =
      "CONNECT 10.0.0.1:80 HTTP/1.1\r\nHost: 10.0.0.1:80\r\n"
      "proxy-AUTHORIZATION:  Bearer abc\r\n\r\n";
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectRequestTest);

}  // namespace
}  // namespace dotterelshift::relay
