// Guards against responses whose status two readers take for different ones:
// they were passed on, or ended the caller's connection without an answer.
#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <memory>    // for unique_ptr
#include <optional>  // for optional
#include <string>    // for string

#include "dotterelshift/http/client.h"         // for MakeClient
#include "dotterelshift/http/test_listener.h"  // for TestListener
#include "dotterelshift/loop/loop.h"           // for Loop

namespace dotterelshift::http {
namespace {

class StatusLineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StatusLineTest);
  CPPUNIT_TEST(LineThatIsNoStatusIsAFailedResponse);
  CPPUNIT_TEST(TheSameBehindAnInterimHead);
  CPPUNIT_TEST(HeadersThatCanBeReadInTwoWaysAreRefused);
  CPPUNIT_TEST(ProperStatusesAreTaken);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LineThatIsNoStatusIsAFailedResponse() {
    for (const char* line :
         {"HTTP/1.1 000 X", "HTTP/1.1 0 X", "HTTP/1.1 099 X", "HTTP/1.1 20 X",
          "HTTP/1.1 2000 X", "HTTP/1.1 600 X", "HTTP/1.1 999 X",
          "HTTP/1.1 abc X", "HTTP/1.1 -20 X", "HTTP/1.1  200 OK",
          "http/1.1 200 OK", "HTTP/1.1 0200 OK", "HTTP/1.1\t200 OK",
          "HTTP/2 200 OK", "HTTP/3.0 200 OK", "HTTP/1.1 200\tOK",
          "HTTP/1.1 101 Switching Protocols"})
      ExpectRefused(line, "Content-Length: 4\r\n");
  }

  void TheSameBehindAnInterimHead() {
    for (const char* line : {"HTTP/1.1 000 X", "HTTP/1.1  200 OK"})
      ExpectRefused("HTTP/1.1 100 Continue\r\n\r\n" + std::string(line),
                    "Content-Length: 4\r\n");
  }

  void HeadersThatCanBeReadInTwoWaysAreRefused() {
    for (const char* lines :
         {"Content-Length: 4\r\nContent-Length: 4\r\n",
          "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
          "Content-Length : 4\r\n", "X-Id : 1\r\n",
          "X-A: b\r\n folded\r\nContent-Length: 4\r\n",
          "X-A: b\x01\r\nContent-Length: 4\r\n"})
      ExpectRefused("HTTP/1.1 200 OK", lines);
  }

  void ProperStatusesAreTaken() {
    for (const char* line :
         {"HTTP/1.1 200 OK", "HTTP/1.1 200", "HTTP/1.0 503 "}) {
      const std::string sent(line);
      const int status = StatusOf(sent + "\r\nContent-Length: 4\r\n\r\nbody");
      CPPUNIT_ASSERT_EQUAL(sent.substr(9, 3), std::to_string(status));
    }
    CPPUNIT_ASSERT(m_end == TransferEnd::kWhole);
  }

 private:
  void ExpectRefused(const std::string& line, const std::string& headers) {
    const int status = StatusOf(line + "\r\n" + headers + "\r\nbody");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(line + " " + headers, 0, status);
    CPPUNIT_ASSERT_MESSAGE(line, m_end == TransferEnd::kFailedBeforeHead);
  }

  // The status that the client reports for these bytes; 0: none.
  int StatusOf(const std::string& sent) {
    const TestListener listener(1);
    int status = 0;
    std::optional<TransferEnd> end;
    ClientRequest request;
    request.url = "http://127.0.0.1:" + std::to_string(listener.Port()) + "/";
    TransferCallbacks callbacks;
    callbacks.on_head = [&](int code, const Headers&) { status = code; };
    callbacks.on_end = [&](TransferEnd how) { end = how; };
    m_client->Start(std::move(request), std::move(callbacks));
    RunUntil([&] { return listener.HasConnection(); });
    {
      TestPeer peer = listener.Accept();
      RunUntil([&] { return peer.Waiting() > 0; });
      (void)peer.ReadSome();
      peer.Send(sent);
    }
    RunUntil([&] { return end.has_value(); });
    m_end = *end;
    return status;
  }

  template <typename Condition>
  void RunUntil(const Condition& condition) {
    while (!condition()) ev_run(m_loop.Raw(), EVRUN_ONCE);
  }

  loop::Loop m_loop;
  std::unique_ptr<Client> m_client = MakeClient(m_loop);
  TransferEnd m_end = TransferEnd::kNotSent;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StatusLineTest);

}  // namespace
}  // namespace dotterelshift::http
