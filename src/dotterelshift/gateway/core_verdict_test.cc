// An endpoint may send a response once more, where the next one on that
// connection is due. It proves nothing about the request that is due, which
// runs meanwhile.
#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <string>  // for string, to_string

#include "dotterelshift/gateway/core_testing.h"  // for CoreFixture

namespace dotterelshift::gateway {
namespace {

constexpr char kOwn[] = "caller-1";
constexpr char kOther[] = "caller-0";
constexpr char kNone[] = "";

class CoreVerdictTest : public CoreFixture {
  CPPUNIT_TEST_SUITE(CoreVerdictTest);
  CPPUNIT_TEST(RefusalOfAnotherRequestIsNotBelieved);
  CPPUNIT_TEST(MisdirectedResponseToAnotherRequestCondemnsNoEndpoint);
  CPPUNIT_TEST(RefusalWithoutAnIdIsBelievedOnANewConnectionOnly);
  CPPUNIT_TEST(PromiseOfARequestThatRanIsNotPassedOn);
  CPPUNIT_TEST(IdempotentRequestIsRetriedAfterAPromiseThatItsRunBelies);
  CPPUNIT_TEST(StatusesThatPromiseNothingArePassedOn);
  CPPUNIT_TEST(TokensOfARunAreChargedThoughAnotherRefusalArrives);
  CPPUNIT_TEST(SuccessThatClaimsNotToHaveRunIsAResponse);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RefusalOfAnotherRequestIsNotBelieved() {
    for (const char* path : {"/once/", "/stream/"}) {
      for (const int status : {503, 429, 408, 400}) {
        for (const char* id : {kOther, kNone}) {
          const std::string what =
              path + std::to_string(status) + " answers " + id;
          Begin(path);
          Respond(status, id, true);
          CPPUNIT_ASSERT_EQUAL_MESSAGE(what, size_t{0}, Count<StartAttempt>());
          ExpectMayHaveRun(what);
        }
      }
    }
  }

  void MisdirectedResponseToAnotherRequestCondemnsNoEndpoint() {
    for (const char* id : {kOther, kNone}) {
      Begin("/once/");
      Respond(421, id, false);
      CPPUNIT_ASSERT(m_core->TakeReplaced().empty());
      ExpectMayHaveRun(id);
    }
  }

  // Only one request was ever sent on a new connection.
  void RefusalWithoutAnIdIsBelievedOnANewConnectionOnly() {
    Begin("/once/");
    m_core->OnConnected(m_attempt, m_now);
    Respond(503, kNone, true);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Count<StartAttempt>());
    Begin("/once/");
    m_core->OnConnected(m_attempt, m_now);
    Respond(421, kNone, false);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Count<StartAttempt>());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_core->TakeReplaced().size());
    Begin("/once/");
    m_core->OnConnected(m_attempt, m_now);
    Respond(503, kOther, true);
    ExpectMayHaveRun("another id");
  }

  void PromiseOfARequestThatRanIsNotPassedOn() {
    for (const char* path : {"/once/", "/stream/"}) {
      for (const int status : {503, 429, 408}) {
        Begin(path);
        Respond(status, kOwn, false);
        CPPUNIT_ASSERT_EQUAL(size_t{0}, Count<RelayResponse>());
        ExpectMayHaveRun(std::to_string(status));
      }
    }
  }

  void IdempotentRequestIsRetriedAfterAPromiseThatItsRunBelies() {
    for (const char* path : {"/safe/", "/resume/"}) {
      for (const int status : {503, 429, 408}) {
        Begin(path);
        Respond(status, kOwn, false);
        m_attempt = Only<StartAttempt>().attempt;
        Respond(status, kOwn, false);
        ExpectMayHaveRun(path + std::to_string(status));
      }
    }
  }

  void StatusesThatPromiseNothingArePassedOn() {
    for (const int status :
         {200, 204, 302, 400, 404, 409, 425, 500, 502, 504}) {
      Begin("/once/");
      Respond(status, kOwn, false);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(status), size_t{1},
                                   Count<RelayResponse>());
    }
  }

  void TokensOfARunAreChargedThoughAnotherRefusalArrives() {
    for (const char* id : {kOther, kNone, kOwn}) {
      CoreFixture::setUp();
      Publish(1'000'000);
      AnswerGrantRequest(10'000, 990'000);
      Request("/stream/", 100);
      m_attempt = Only<StartAttempt>().attempt;
      Respond(503, id, id != kOwn);
      CPPUNIT_ASSERT_EQUAL(Tokens{100}, m_core->TakeFinished().back().spent);
    }
  }

  // It contradicts itself: the caller gets what the endpoint made.
  void SuccessThatClaimsNotToHaveRunIsAResponse() {
    Begin("/once/");
    Respond(200, kOwn, true);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Count<RelayResponse>());
  }

 private:
  // Sends a request on a connection that was used before.
  void Begin(const std::string& path) {
    CoreFixture::setUp();
    Publish();
    Request(path, path == "/stream/" || path == "/resume/" ? 100 : 0);
    m_attempt = Only<StartAttempt>().attempt;
  }

  // The whole response arrives, unless its head is enough to leave.
  void Respond(int status, const std::string& id, bool states_not_run) {
    ResponseInfo response;
    response.echoed_id = id;
    response.not_run = states_not_run;
    response.address_reassigned = status == 421;
    response.has_proof = true;
    response.framed = true;
    m_core->OnHead(m_attempt, status, response, m_now);
    m_core->OnEnd(m_attempt, http::TransferEnd::kWhole, m_now);
    Collect();
  }

  void ExpectMayHaveRun(const std::string& what) {
    const ErrorRow& row = RowOf(Only<Refuse>().kind);
    CPPUNIT_ASSERT_MESSAGE(what, row.ran != Ran::kNo);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(what, 502, row.status);
  }

  AttemptId m_attempt = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CoreVerdictTest);

}  // namespace
}  // namespace dotterelshift::gateway
