// Guards against requests that are run although another reader would take them
// for the body of the one before, and against headers of the system's own that
// pass in disguise.
#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <memory>    // for unique_ptr
#include <optional>  // for optional
#include <random>    // for mt19937_64
#include <string>    // for string
#include <vector>    // for vector

// With sanitizers, GCC takes an empty function of the library for one that is
// called. Clang does not know the warning.
#pragma GCC diagnostic push
#ifndef __clang__
#pragma GCC diagnostic ignored "-Wmaybe-uninitialized"
#endif
#include <regex>  // for regex
#pragma GCC diagnostic pop

#include "dotterelshift/http/server.h"           // for MakeServer
#include "dotterelshift/http/test_connection.h"  // for TestConnection
#include "dotterelshift/loop/loop.h"             // for Loop

namespace dotterelshift::http {
namespace {

// What a handler sees of a request.
struct Seen {
  std::string path;
  std::string body;
  bool operator==(const Seen&) const = default;
};

const std::string kInner = "POST /inner HTTP/1.1\r\nHost: h\r\n\r\n";

std::string Outer(const std::string& lines, const std::string& body) {
  return "POST /outer HTTP/1.1\r\nHost: h\r\n" + lines + "\r\n" + body;
}

std::string Length() { return std::to_string(kInner.size()); }

std::string OneChunk(const std::string& data) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", data.size());
  return size + data + "\r\n0\r\n\r\n";
}

// A strict reader for the test alone. It knows one way of reading a request and
// stops at the first byte that is not part of it.
class StrictReader {
 public:
  explicit StrictReader(std::string bytes) : m_bytes(std::move(bytes)) {}

  std::vector<Seen> All() {
    std::vector<Seen> all;
    while (const std::optional<Seen> seen = Next()) all.push_back(*seen);
    return all;
  }

 private:
  std::optional<Seen> Next() {
    while (m_bytes.starts_with("\r\n")) m_bytes.erase(0, 2);
    const size_t end = m_bytes.find("\r\n\r\n");
    if (end == std::string::npos) return std::nullopt;
    const std::string head = m_bytes.substr(0, end + 2);
    m_bytes.erase(0, end + 4);
    static const std::regex whole(
        "[A-Z-]+ [^\\x00-\\x20\\x7f]+ HTTP/1\\.[01]\\r\\n"
        "([!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\\x00-\\x08\\x0a-\\x1f\\x7f]*\\r\\n)*");
    if (!std::regex_match(head, whole)) return std::nullopt;
    Seen seen{head.substr(head.find(' ') + 1), ""};
    seen.path.resize(seen.path.find(' '));
    return TakeBody(head, &seen.body) ? std::optional(seen) : std::nullopt;
  }

  static std::vector<std::string> ValuesOf(const std::string& head,
                                           const std::string& name) {
    const std::regex line("\\r\\n" + name + ":[ \\t]*([^\\r]*?)[ \\t]*(?=\\r)",
                          std::regex::icase);
    std::vector<std::string> values;
    for (std::sregex_iterator at(head.begin(), head.end(), line), none;
         at != none; ++at)
      values.push_back((*at)[1]);
    return values;
  }

  bool TakeBody(const std::string& head, std::string* body) {
    const auto lengths = ValuesOf(head, "content-length");
    const auto codings = ValuesOf(head, "transfer-encoding");
    const auto hosts = ValuesOf(head, "host");
    const bool is_old = head.find(" HTTP/1.0\r\n") < head.find("\r\n");
    if (hosts.size() > 1 || (hosts.empty() && !is_old)) return false;
    if (lengths.size() + codings.size() > 1) return false;
    if (!lengths.empty()) return TakeLength(lengths.front(), body);
    if (codings.empty()) {
      // Nothing behind a POST without a framing is read.
      if (head.starts_with("POST ")) m_bytes.clear();
      return true;
    }
    static const std::regex chunked("chunked", std::regex::icase);
    return !is_old && std::regex_match(codings.front(), chunked) &&
           TakeChunks(body);
  }

  bool TakeLength(const std::string& text, std::string* body) {
    static const std::regex digits("0*[0-9]{1,9}");
    if (!std::regex_match(text, digits)) return false;
    const size_t size = std::stoul(text);
    if (m_bytes.size() < size) return false;
    *body = m_bytes.substr(0, size);
    m_bytes.erase(0, size);
    return true;
  }

  bool TakeChunks(std::string* body) {
    static const std::regex size_line(
        "([0-9A-Fa-f]{1,8})(;[!#$%&'*+.^_`|~0-9A-Za-z-]+"
        "(=([!#$%&'*+.^_`|~0-9A-Za-z-]+|\"([^\"\\\\\\x00-\\x08\\x0a-\\x1f\\x7f]"
        "|\\\\[^\\x00-\\x08\\x0a-\\x1f\\x7f])*\"))?)*\\r\\n");
    while (true) {
      const size_t end = m_bytes.find('\n');
      if (end == std::string::npos) return false;
      std::smatch match;
      const std::string line = m_bytes.substr(0, end + 1);
      if (!std::regex_match(line, match, size_line)) return false;
      const size_t size = std::stoul(match[1], nullptr, 16);
      m_bytes.erase(0, end + 1);
      if (size == 0) return TakeTrailers();
      if (m_bytes.size() < size + 2 || m_bytes.substr(size, 2) != "\r\n")
        return false;
      *body += m_bytes.substr(0, size);
      m_bytes.erase(0, size + 2);
    }
  }

  bool TakeTrailers() {
    static const std::regex trailer(
        "[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\\x00-\\x08\\x0a-\\x1f\\x7f]*\\r\\n");
    while (!m_bytes.starts_with("\r\n")) {
      const size_t end = m_bytes.find('\n');
      if (end == std::string::npos) return false;
      if (!std::regex_match(m_bytes.substr(0, end + 1), trailer)) return false;
      m_bytes.erase(0, end + 1);
    }
    m_bytes.erase(0, 2);
    return true;
  }

  std::string m_bytes;
};

class RequestFramingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestFramingTest);
  CPPUNIT_TEST(ProperRequestsOfUnusualFormAreServed);
  CPPUNIT_TEST(RequestInsideAnAmbiguousOneIsNotRun);
  CPPUNIT_TEST(NameInDisguiseIsRejected);
  CPPUNIT_TEST(NothingBehindARejectedRequestIsRead);
  CPPUNIT_TEST(DrawnRequestsAreReadInOneWay);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ProperRequestsOfUnusualFormAreServed() {
    const std::vector<Seen> whole = {{"/outer", kInner}};
    for (const std::string& lines :
         {"Content-Length: " + Length() + "\r\n",
          "content-length:" + Length() + "\r\n",
          "Content-Length: " + Length() + " \t\r\n",
          "Content-Length: \t000" + Length() + "\r\n",
          "X!#$%&'*+-.^_`|~9: v\r\nContent-Length: " + Length() + "\r\n",
          "X-Empty:\r\nX-Colons: a:b : c\r\nX-Word: caf\xc3\xa9\r\n"
          "Content-Length: " +
              Length() + "\r\n"})
      ExpectSeen(whole, Outer(lines, kInner));
    const std::string chunked = "TRANSFER-ENCODING: Chunked\r\n";
    ExpectSeen(whole, Outer(chunked, OneChunk(kInner)));
    ExpectSeen({{"/outer", "1234567890"}},
               Outer(chunked,
                     "000A;a=b;c=\"d e\"\r\n1234567890\r\n00\r\n"
                     "X-Sum: 1\r\n\r\n"));
  }

  void RequestInsideAnAmbiguousOneIsNotRun() {
    const std::string n = "Content-Length: " + Length() + "\r\n";
    const std::string small = "Content-Length: 4\r\n";
    const std::string chunk = OneChunk(kInner);
    for (const std::string& lines :
         {"Content-Length: 5\r\n" + n, n + "Content-Length: 5\r\n", n + n,
          std::string("Content-Length: +5\r\n"),
          std::string("Content-Length: 5, 5\r\n"),
          std::string("Content-Length:\r\n 5\r\n"),
          "X-A: b\nContent-Length: 5\r\n" + n,
          "X-A: b\rContent-Length: 5\r\n" + n, "Content-Length : 5\r\n" + n,
          "Content-Length\t: 5\r\n" + n, std::string("X-A: b\0c\r\n", 10) + n,
          "Host: other\r\n" + n})
      ExpectSeen({}, Outer(lines, kInner));
    for (const std::string& lines :
         {small + "Transfer-Encoding: chunked\r\n",
          "Transfer-Encoding : chunked\r\n" + small,
          "Transfer-Encoding:\r\n chunked\r\n" + small,
          "Transfer-Encoding: identity\r\n" + small,
          std::string("Transfer-Encoding: gzip, chunked\r\n"),
          std::string("Transfer-Encoding: chunked\r\n"
                      "Transfer-Encoding: chunked\r\n")})
      ExpectSeen({}, Outer(lines, chunk));
    for (const char* begin :
         {"0x5\r\n12345\r\n", "+5\r\n12345\r\n", " 5\r\n12345\r\n",
          "5 \r\n12345\r\n", "5g\r\n12345\r\n", "5;\n\r\n12345\r\n",
          "5;a\rb\r\n12345\r\n", "5\r\n12345\n",
          "10000000000000005\r\n12345\r\n"})
      ExpectSeen({}, Outer("Transfer-Encoding: chunked\r\n",
                           begin + ("0\r\n\r\n" + kInner)));
  }

  void NameInDisguiseIsRejected() {
    for (const char* name : {"X-Tenant", "X-Hold", "X-Api-Key"}) {
      for (const std::string_view between : {" :", "\t:", "\x0b:", "\x01:"}) {
        std::string line = name;
        line.append(between).append(" b\r\n");
        ExpectSeen({}, Outer(line, ""));
        const bool is_space = between == " :" || between == "\t:";
        CPPUNIT_ASSERT_EQUAL(std::string(is_space ? "name" : "control"), m_why);
      }
    }
  }

  void NothingBehindARejectedRequestIsRead() {
    ExpectSeen({}, Outer("X-A : b\r\n", "") + kInner);
    CPPUNIT_ASSERT(m_answer.starts_with("HTTP/1.1 400"));
    CPPUNIT_ASSERT(m_answer.find("Connection: close") != std::string::npos);
    CPPUNIT_ASSERT(m_answer.find("HTTP/1.1", 1) == std::string::npos);
  }

  void DrawnRequestsAreReadInOneWay() {
    constexpr int kDrawn = 400;
    std::mt19937_64 random(7);
    for (int i = 0; i < kDrawn; ++i) {
      const std::string sent = Draw(random);
      ExpectSeen(StrictReader(sent).All(), sent);
    }
  }

 private:
  static std::string Draw(std::mt19937_64& random) {
    const std::vector<std::string> lines = {
        "Content-Length: " + Length() + "\r\n",
        "Content-Length: 5\r\n",
        "Transfer-Encoding: chunked\r\n",
        "Host: h\r\n",
        "X-A: b\r\n",
        " folded\r\n",
        "X-B : c\r\n",
        "Content-Length:\r\n"};
    const std::vector<std::string> bodies = {
        kInner, OneChunk(kInner), "5\r\n12345\r\n0\r\n\r\n" + kInner,
        "3;a\r\nabc\r\n0\r\nX-T: 1\r\n\r\n"};
    const std::string odd("\0\x01\t\v\r\n :;,+0x5\x7f\xff", 16);
    std::string head;
    for (uint64_t n = random() % 3; n > 0; --n)
      head += lines.at(random() % lines.size());
    std::string sent = Outer(head, bodies.at(random() % bodies.size()));
    for (uint64_t n = random() % 3; n > 0; --n)
      sent.at(random() % sent.size()) = odd.at(random() % odd.size());
    return sent;
  }

  // Sends the bytes and expects that exactly these requests are handed over.
  void ExpectSeen(const std::vector<Seen>& expected, const std::string& sent) {
    m_seen.clear();
    m_why.clear();
    TestConnection caller(m_server->Port());
    caller.Send(sent);
    constexpr int kQuietTurns = 30;
    size_t seen = 0;
    for (int quiet = 0; quiet < kQuietTurns && !caller.Closed(); ++quiet) {
      ev_run(m_loop.Raw(), EVRUN_NOWAIT);
      caller.Receive();
      if (m_seen.size() != seen || !caller.AllArrived()) quiet = 0;
      seen = m_seen.size();
    }
    m_answer = caller.Received();
    CPPUNIT_ASSERT_MESSAGE(sent, expected == m_seen);
  }

  loop::Loop m_loop;
  std::vector<Seen> m_seen;
  std::string m_why;
  std::string m_answer;
  std::unique_ptr<Server> m_server = MakeServer(
      m_loop, {.on_malformed = [this](std::string_view why) { m_why = why; }},
      [this](const std::shared_ptr<Exchange>& exchange) {
        const Request& request = exchange->GetRequest();
        m_seen.push_back({request.path, request.body});
        exchange->Answer(200, {}, "ok");
      });
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestFramingTest);

}  // namespace
}  // namespace dotterelshift::http
