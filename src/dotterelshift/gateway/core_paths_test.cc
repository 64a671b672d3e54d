// An entry that cannot reach endpoints itself sends through another entry.
#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <set>  // for set

#include "dotterelshift/directory/spread.h"      // for PulseKey
#include "dotterelshift/gateway/core_testing.h"  // for CoreFixture

namespace dotterelshift::gateway {
namespace {

using http::TransferEnd;

class CorePathsTest : public CoreFixture {
  CPPUNIT_TEST_SUITE(CorePathsTest);
  CPPUNIT_TEST(UnsentRequestGoesByRelayOnceThePathIsInDoubt);
  CPPUNIT_TEST(EndpointBehindAFailedPathIsNotAvoided);
  CPPUNIT_TEST(EndpointThatTheRelayCannotReachIsAvoided);
  CPPUNIT_TEST(FailedRelayIsReplacedAtTheSameEndpoint);
  CPPUNIT_TEST(UnsentRequestsUseNoRetryBudget);
  CPPUNIT_TEST(LostRelayAfterTheHandOverMayHaveRun);
  CPPUNIT_TEST(StuckIdempotentRequestIsRepeatedByRelay);
  CPPUNIT_TEST(StuckRequestThatMayRunOnceIsNot);
  CPPUNIT_TEST(AttemptsThatAreNotHandedOverAreWithdrawn);
  CPPUNIT_TEST(WithoutARelayEndpointsAreAvoidedAsBefore);
  CPPUNIT_TEST(RequestIsRefusedAtOnceWhileAllEntriesAreCutOff);
  CPPUNIT_TEST(OfferEndsTheAvoidance);
  CPPUNIT_TEST(ConnectionRestoresTheDirectPath);
  CPPUNIT_TEST(PathOfAnAttemptIsLogged);
  CPPUNIT_TEST(CrashesInSeriesLeaveTheOtherEndpointsInUse);
  CPPUNIT_TEST(RelayThatCannotReachTheEndpointEitherEndsItsUse);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    CoreFixture::setUp();
    m_paths.emplace(EndpointPathsOptions{"dc"});
    m_core = MakeCore(CoreOptions(), Parts(nullptr, &*m_paths));
    Publish();
  }

  void UnsentRequestGoesByRelayOnceThePathIsInDoubt() {
    Offer("other");
    Request("/once/");
    FailToConnect();
    FailToConnect();
    CPPUNIT_ASSERT_EQUAL(HostId("other"), Only<StartAttempt>().relay->host);
  }

  void EndpointBehindAFailedPathIsNotAvoided() {
    Offer("other");
    CutOff();
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_load->CountOf("plain", m_now).avoided);
  }

  void EndpointThatTheRelayCannotReachIsAvoided() {
    Offer("other");
    CutOff();
    const AttemptId attempt = Only<StartAttempt>().attempt;
    End(attempt, TransferEnd::kNotSent);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_load->CountOf("plain", m_now).avoided);
    CPPUNIT_ASSERT(Only<StartAttempt>().relay.has_value());
  }

  void FailedRelayIsReplacedAtTheSameEndpoint() {
    Offer("other");
    Offer("third");
    CutOff();
    const StartAttempt first = Only<StartAttempt>();
    End(first.attempt, TransferEnd::kRelayFailed);
    const StartAttempt second = Only<StartAttempt>();
    CPPUNIT_ASSERT(first.relay->host != second.relay->host);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_load->CountOf("plain", m_now).avoided);
  }

  void UnsentRequestsUseNoRetryBudget() {
    *m_retries = RetryShare(RetryShareOptions{.ratio = 0, .slack = 0});
    Offer("other");
    CutOff();
    End(Only<StartAttempt>().attempt, TransferEnd::kRelayFailed);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Count<StartAttempt>());
  }

  void LostRelayAfterTheHandOverMayHaveRun() {
    Offer("other");
    CutOff();
    End(Only<StartAttempt>().attempt, TransferEnd::kFailedBeforeHead);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Count<StartAttempt>());
    CPPUNIT_ASSERT(Only<Refuse>().kind == ErrorKind::kEndpointFailed);
  }

  void StuckIdempotentRequestIsRepeatedByRelay() {
    Offer("other");
    Request("/safe/", 0, 7);
    const AttemptId stuck = Only<StartAttempt>().attempt;
    CutOff();
    m_core->OnUnacknowledged(stuck, m_now);
    Collect();
    CPPUNIT_ASSERT_EQUAL(stuck, Only<CancelAttempt>().attempt);
    CPPUNIT_ASSERT(Only<StartAttempt>().relay.has_value());
  }

  void StuckRequestThatMayRunOnceIsNot() {
    Offer("other");
    Request("/once/", 0, 7);
    const AttemptId stuck = Only<StartAttempt>().attempt;
    CutOff();
    m_core->OnUnacknowledged(stuck, m_now);
    Collect();
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Count<CancelAttempt>());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Count<StartAttempt>());
  }

  void AttemptsThatAreNotHandedOverAreWithdrawn() {
    Offer("other");
    Request("/once/", 0, 7);
    const AttemptId connecting = Only<StartAttempt>().attempt;
    Request("/once/");
    FailToConnect();
    FailToConnect();
    bool withdrawn = false;
    for (const Action& action : m_last) {
      const auto* withdraw = std::get_if<WithdrawAttempt>(&action);
      withdrawn |= withdraw != nullptr && withdraw->attempt == connecting;
    }
    CPPUNIT_ASSERT(withdrawn);
    m_core->OnWithdrawn(connecting, m_now);
    Collect();
    CPPUNIT_ASSERT(Only<StartAttempt>().relay.has_value());
  }

  void WithoutARelayEndpointsAreAvoidedAsBefore() {
    Request("/once/");
    FailToConnect();
    FailToConnect();
    CPPUNIT_ASSERT_EQUAL(size_t{2}, m_load->CountOf("plain", m_now).avoided);
  }

  void RequestIsRefusedAtOnceWhileAllEntriesAreCutOff() {
    Offer("other");
    CutOff();
    m_paths->OnRelay({"other", "dc", "10.0.0.2:80", "token", {"plain"}});
    m_core->OnRelayOffered(m_now);
    Request("/safe/", 0, 9);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Count<StartAttempt>());
    Advance(100ms);
    CPPUNIT_ASSERT_EQUAL(RequestId{9}, Only<Refuse>().request);
  }

  void OfferEndsTheAvoidance() {
    WithoutARelayEndpointsAreAvoidedAsBefore();
    Offer("other");
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_load->CountOf("plain", m_now).avoided);
  }

  void ConnectionRestoresTheDirectPath() {
    Offer("other");
    CutOff();
    for (const EndpointPaths::Probe& probe : m_paths->TakeProbes(m_now))
      m_paths->OnProbeEnded(probe.endpoint, true, m_now);
    m_core->OnPathsChanged(m_now);
    Collect();
    Request("/once/", 0, 9);
    CPPUNIT_ASSERT(!Only<StartAttempt>().relay);
  }

  void PathOfAnAttemptIsLogged() {
    Offer("other");
    CutOff();
    size_t changes = 0;
    bool sent_by_relay = false;
    for (const Decision& line : m_log_lines) {
      changes += line.event == "path_changed" ? 1 : 0;
      if (line.event != "sent") continue;
      for (const auto& [name, value] : line.inputs)
        sent_by_relay |= name == "relay" && value == "other";
    }
    CPPUNIT_ASSERT_EQUAL(size_t{3}, changes);
    CPPUNIT_ASSERT(sent_by_relay);
  }

  // Two endpoints crash together, and the relay suspects its own paths as well.
  void CrashesInSeriesLeaveTheOtherEndpointsInUse() {
    Offer("other");
    Request("/safe/");
    const std::set<EndpointId> crashed = {CrashEndpointInUse(),
                                          CrashEndpointInUse()};
    const EndpointId reached = PlayUntilReached(crashed);
    CPPUNIT_ASSERT_MESSAGE("ended without trying the endpoint that runs",
                           !reached.empty());
  }

  void RelayThatCannotReachTheEndpointEitherEndsItsUse() {
    Offer("other");
    Request("/safe/");
    const std::set<EndpointId> crashed = {CrashEndpointInUse(),
                                          CrashEndpointInUse()};
    PlayUntilReached(crashed);
    // What follows is not sent to them again.
    for (RequestId id = 2; id < 8; ++id) {
      Request("/safe/", 0, id);
      CPPUNIT_ASSERT(!crashed.contains(Only<StartAttempt>().endpoint.id));
    }
  }

 private:
  // The endpoint that got the last attempt refuses connections from now on.
  EndpointId CrashEndpointInUse() {
    const StartAttempt start = Only<StartAttempt>();
    End(start.attempt, TransferEnd::kNotSent);
    return start.endpoint.id;
  }

  // Plays a tenth of a second: probes and connections to the crashed endpoints
  // are refused, directly and by the relay, which does not try. Returns the
  // endpoint that the open request was sent to; empty: it ended without.
  EndpointId PlayUntilReached(const std::set<EndpointId>& crashed) {
    for (int step = 0; step < 20; ++step) {
      if (Count<Refuse>() > 0) return {};
      if (Count<StartAttempt>() > 0) {
        const StartAttempt start = Only<StartAttempt>();
        if (!crashed.contains(start.endpoint.id)) return start.endpoint.id;
        End(start.attempt,
            start.relay ? TransferEnd::kRelayFailed : TransferEnd::kNotSent);
        continue;
      }
      for (const EndpointPaths::Probe& probe : m_paths->TakeProbes(m_now)) {
        const origins::EndpointContact* contact = m_load->Find(probe.endpoint);
        m_paths->OnProbeEnded(probe.endpoint, !crashed.contains(contact->id),
                              m_now);
      }
      m_core->OnPathsChanged(m_now);
      Advance(5ms);
    }
    return {};
  }

  void Offer(const HostId& host) {
    m_paths->OnRelay({host, "dc", "10.0.0.2:80", "token", {}});
    m_core->OnRelayOffered(m_now);
  }

  // No answer to a connection request.
  void FailToConnect() {
    m_now += 150ms;
    End(Only<StartAttempt>().attempt, TransferEnd::kNotSent);
  }

  // Leaves a request under way by relay.
  void CutOff() {
    Request("/once/");
    FailToConnect();
    FailToConnect();
  }

  std::optional<EndpointPaths> m_paths;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CorePathsTest);

}  // namespace
}  // namespace dotterelshift::gateway
