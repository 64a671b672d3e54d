#include "dotterelshift/gateway/endpoint_paths.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <set>  // for set

#include "dotterelshift/directory/spread.h"  // for PulseKey

namespace dotterelshift::gateway {
namespace {

constexpr int kEngines = 6;
constexpr Duration kConnectTime = 300ms;

EndpointKey KeyOf(const EndpointId& id) { return directory::PulseKey(id, 1); }

EndpointId Engine(int number) { return "llm" + std::to_string(number); }

class EndpointPathsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndpointPathsTest);
  CPPUNIT_TEST(CrashOfOneEndpointChangesNoPath);
  CPPUNIT_TEST(TwoFailuresInARowAreTheEntrysOwn);
  CPPUNIT_TEST(FailuresWithAConnectionBetweenAreTheEndpoints);
  CPPUNIT_TEST(OldFailuresDoNotCount);
  CPPUNIT_TEST(OtherServiceIsNotAffected);
  CPPUNIT_TEST(UnacknowledgedBytesAreEvidence);
  CPPUNIT_TEST(ResponseRefutesUnacknowledgedBytes);
  CPPUNIT_TEST(ResponseOnAnOpenConnectionDoesNotRefuteARefusedOne);
  CPPUNIT_TEST(AnnouncementAfterAFailureShowsThatOnlyThePathFailed);
  CPPUNIT_TEST(ProbesRestoreEachPathByItself);
  CPPUNIT_TEST(EndpointThatStartsAgainHasThePathOfItsAddress);
  CPPUNIT_TEST(FailedProbesArePaced);
  CPPUNIT_TEST(ProbesOfLeftEndpointsAreNotCounted);
  CPPUNIT_TEST(RelaysInTheSameDataCentreArePreferred);
  CPPUNIT_TEST(EndpointsAreSpreadOverRelays);
  CPPUNIT_TEST(RelaysThatAreCutOffThemselvesAreNotUsed);
  CPPUNIT_TEST(FailedRelayIsAvoidedForAWhile);
  CPPUNIT_TEST(WithoutARelayTheDirectPathIsUsed);
  CPPUNIT_TEST(RefusedConnectionsAreCheckedBeforeOthersAreMistrusted);
  CPPUNIT_TEST(CheckThatReachesAnEndpointChangesNoPath);
  CPPUNIT_TEST(CheckThatReachesNoneRelaysAll);
  CPPUNIT_TEST(CheckWithoutAnAnswerRelaysAllSoon);
  CPPUNIT_TEST(EndpointsThatAreHeardMeanwhileStayDirect);
  CPPUNIT_TEST(CrashesInSeriesCauseFewChecks);
  CPPUNIT_TEST(ProbesOfBrokenAttemptsDoNotEndACheck);
  CPPUNIT_TEST(ProbeForAServiceWithoutEndpoints);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_now = Instant(1000s);
    m_directory = directory::Directory();
    for (int i = 0; i < kEngines; ++i) Announce(Engine(i), "llm");
    for (const char* id : {"p0", "p1"}) Announce(id, "plain");
    EndpointPathsOptions options;
    options.data_centre = "dc";
    m_paths.emplace(options);
    m_paths->OnDirectory(m_directory, m_now);
  }

  void CrashOfOneEndpointChangesNoPath() {
    for (int i = 0; i < 5; ++i) TimeOut(KeyOf("llm1"));
    CPPUNIT_ASSERT(m_paths->TakeChanges().empty());
  }

  void TwoFailuresInARowAreTheEntrysOwn() {
    CutOffFromEngines();
    const std::vector<PathChange> changes = m_paths->TakeChanges();
    CPPUNIT_ASSERT_EQUAL(size_t{kEngines}, changes.size());
    for (int i = 0; i < kEngines; ++i)
      CPPUNIT_ASSERT(m_paths->IsRelayed(KeyOf(Engine(i))));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_paths->UnreachableServices().size());
  }

  void FailuresWithAConnectionBetweenAreTheEndpoints() {
    TimeOut(KeyOf("llm0"));
    m_now += 100ms;
    m_paths->OnConnected(KeyOf("llm2"), m_now);
    m_now += 100ms;
    TimeOut(KeyOf("llm1"));
    CPPUNIT_ASSERT(m_paths->TakeChanges().empty());
  }

  void OldFailuresDoNotCount() {
    TimeOut(KeyOf("llm0"));
    m_now += EndpointPathsOptions().max_evidence_age + 1ms;
    TimeOut(KeyOf("llm1"));
    CPPUNIT_ASSERT(m_paths->TakeChanges().empty());
  }

  void OtherServiceIsNotAffected() {
    CutOffFromEngines();
    CPPUNIT_ASSERT(!m_paths->IsRelayed(KeyOf("p0")));
  }

  void UnacknowledgedBytesAreEvidence() {
    m_paths->OnUnacknowledged(KeyOf("llm0"), m_now - kConnectTime, m_now);
    m_paths->OnUnacknowledged(KeyOf("llm1"), m_now - kConnectTime, m_now);
    CPPUNIT_ASSERT(m_paths->IsRelayed(KeyOf("llm2")));
  }

  // An endpoint that is silent for a second goes on.
  void ResponseRefutesUnacknowledgedBytes() {
    m_paths->OnUnacknowledged(KeyOf("llm0"), m_now - kConnectTime, m_now);
    m_paths->OnBytes(KeyOf("llm0"), m_now);
    m_paths->OnUnacknowledged(KeyOf("llm1"), m_now - kConnectTime, m_now);
    CPPUNIT_ASSERT(m_paths->TakeChanges().empty());
  }

  // Open connections may live on while new ones are refused.
  void ResponseOnAnOpenConnectionDoesNotRefuteARefusedOne() {
    TimeOut(KeyOf("llm0"));
    m_paths->OnBytes(KeyOf("llm0"), m_now);
    TimeOut(KeyOf("llm1"));
    CPPUNIT_ASSERT(m_paths->IsRelayed(KeyOf("llm0")));
  }

  void AnnouncementAfterAFailureShowsThatOnlyThePathFailed() {
    TimeOut(KeyOf("llm0"));
    m_now += 100ms;
    Announce("llm0", "llm");
    m_paths->OnTimer(m_directory, m_now);
    CPPUNIT_ASSERT(!m_paths->IsRelayed(KeyOf("llm0")));
    m_now += EndpointPathsOptions().announcement_margin;
    Announce("llm0", "llm");
    m_paths->OnTimer(m_directory, m_now);
    CPPUNIT_ASSERT(m_paths->IsRelayed(KeyOf("llm0")));
    CPPUNIT_ASSERT(!m_paths->IsRelayed(KeyOf("llm1")));
    CPPUNIT_ASSERT(m_paths->UnreachableServices().empty());
  }

  void ProbesRestoreEachPathByItself() {
    CutOffFromEngines();
    (void)m_paths->TakeChanges();
    const auto probes = m_paths->TakeProbes(m_now);
    CPPUNIT_ASSERT_EQUAL(EndpointPathsOptions().max_open_probes, probes.size());
    m_paths->OnProbeEnded(probes[0].endpoint, true, m_now);
    m_paths->OnProbeEnded(probes[1].endpoint, false, m_now);
    CPPUNIT_ASSERT(!m_paths->IsRelayed(probes[0].endpoint));
    CPPUNIT_ASSERT(m_paths->IsRelayed(probes[1].endpoint));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_paths->TakeChanges().size());
    // The next ones follow at once.
    CPPUNIT_ASSERT_EQUAL(size_t{2}, m_paths->TakeProbes(m_now).size());
  }

  void EndpointThatStartsAgainHasThePathOfItsAddress() {
    CutOffFromEngines();
    AnnounceAt("llm0:80", "next", "llm");
    Announce("other", "llm");
    m_paths->OnDirectory(m_directory, m_now);
    CPPUNIT_ASSERT(m_paths->IsRelayed(KeyOf("next")));
    CPPUNIT_ASSERT(!m_paths->IsRelayed(KeyOf("other")));
    m_paths->OnConnected(KeyOf("next"), m_now);
    CPPUNIT_ASSERT(!m_paths->IsRelayed(KeyOf("next")));
  }

  void FailedProbesArePaced() {
    CutOffFromEngines();
    int probes = 0;
    for (int step = 0; step < 1000; ++step) {
      m_now += 10ms;
      for (const auto& probe : m_paths->TakeProbes(m_now)) {
        ++probes;
        m_paths->OnProbeEnded(probe.endpoint, false, m_now);
      }
    }
    // Ten seconds: at most one a second for each, after the first few.
    CPPUNIT_ASSERT(probes <= kEngines * (10 + 4));
    CPPUNIT_ASSERT(probes >= kEngines * 10);
  }

  void ProbesOfLeftEndpointsAreNotCounted() {
    CutOffFromEngines();
    const auto probes = m_paths->TakeProbes(m_now);
    m_directory = directory::Directory();
    Announce("other", "llm");
    m_paths->OnDirectory(m_directory, m_now);
    for (const auto& probe : probes)
      m_paths->OnProbeEnded(probe.endpoint, false, m_now);
    TimeOut(KeyOf("other"));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_paths->TakeProbes(m_now).size());
  }

  void RelaysInTheSameDataCentreArePreferred() {
    CutOffFromEngines();
    Offer("far", "other");
    CPPUNIT_ASSERT_EQUAL(HostId("far"), RelayOf("llm0"));
    Offer("near", "dc");
    for (int i = 0; i < kEngines; ++i)
      CPPUNIT_ASSERT_EQUAL(HostId("near"), RelayOf(Engine(i)));
    m_paths->OnRelayGone("near");
    CPPUNIT_ASSERT_EQUAL(HostId("far"), RelayOf("llm0"));
  }

  void EndpointsAreSpreadOverRelays() {
    CutOffFromEngines();
    for (const char* host : {"a", "b", "c"}) Offer(host, "dc");
    std::set<HostId> used;
    for (int i = 0; i < kEngines; ++i) used.insert(RelayOf(Engine(i)));
    CPPUNIT_ASSERT(used.size() > 1);
  }

  void RelaysThatAreCutOffThemselvesAreNotUsed() {
    CutOffFromEngines();
    Offer("near", "dc", {"llm"});
    Offer("far", "other");
    CPPUNIT_ASSERT_EQUAL(HostId("far"), RelayOf("llm0"));
    Offer("near", "dc");
    CPPUNIT_ASSERT_EQUAL(HostId("near"), RelayOf("llm0"));
  }

  void FailedRelayIsAvoidedForAWhile() {
    CutOffFromEngines();
    Offer("near", "dc");
    Offer("far", "other");
    m_paths->OnRelayFailed("near", KeyOf("llm0"), m_now);
    CPPUNIT_ASSERT_EQUAL(HostId("far"), RelayOf("llm1"));
    m_now += EndpointPathsOptions().relay_avoid_time;
    CPPUNIT_ASSERT_EQUAL(HostId("near"), RelayOf("llm1"));
  }

  void RefusedConnectionsAreCheckedBeforeOthersAreMistrusted() {
    CPPUNIT_ASSERT_EQUAL(size_t{kEngines - 2}, RefuseTwo().size());
    CPPUNIT_ASSERT(m_paths->TakeChanges().empty());
    CPPUNIT_ASSERT(m_paths->IsBeingChecked(KeyOf("llm3"), m_now));
    CPPUNIT_ASSERT(!m_paths->IsBeingChecked(KeyOf("p0"), m_now));
  }

  void CheckThatReachesAnEndpointChangesNoPath() {
    const auto probes = RefuseTwo();
    m_paths->OnProbeEnded(probes[0].endpoint, false, m_now);
    m_paths->OnProbeEnded(probes[1].endpoint, true, m_now);
    CPPUNIT_ASSERT(!m_paths->IsBeingChecked(KeyOf("llm3"), m_now));
    m_paths->OnProbeEnded(probes[2].endpoint, false, m_now);
    m_paths->OnProbeEnded(probes[3].endpoint, false, m_now);
    CPPUNIT_ASSERT(m_paths->TakeChanges().empty());
  }

  void CheckThatReachesNoneRelaysAll() {
    for (const auto& probe : RefuseTwo())
      m_paths->OnProbeEnded(probe.endpoint, false, m_now);
    CPPUNIT_ASSERT_EQUAL(size_t{kEngines}, m_paths->TakeChanges().size());
  }

  void CheckWithoutAnAnswerRelaysAllSoon() {
    (void)RefuseTwo();
    m_now += EndpointPathsOptions().check_time;
    (void)m_paths->TakeProbes(m_now);
    CPPUNIT_ASSERT_EQUAL(size_t{kEngines}, m_paths->TakeChanges().size());
  }

  // Two crashed hosts do not answer connection requests.
  void EndpointsThatAreHeardMeanwhileStayDirect() {
    m_now += kConnectTime;
    m_paths->OnBytes(KeyOf("llm2"), m_now - kConnectTime);
    m_paths->OnBytes(KeyOf("llm3"), m_now - 10ms);
    CutOffFromEngines();
    CPPUNIT_ASSERT(m_paths->IsRelayed(KeyOf("llm2")));
    CPPUNIT_ASSERT(!m_paths->IsRelayed(KeyOf("llm3")));
  }

  void CrashesInSeriesCauseFewChecks() {
    for (int step = 0; step < 100; ++step) {
      m_now += 10ms;
      for (const auto& probe : RefuseTwo())
        m_paths->OnProbeEnded(probe.endpoint, true, m_now);
    }
    const auto validity = EndpointPathsOptions().check_validity;
    CPPUNIT_ASSERT(m_paths->Doubts() <= uint64_t(1s / validity) + 1);
    CPPUNIT_ASSERT(m_paths->TakeChanges().empty());
  }

  void ProbesOfBrokenAttemptsDoNotEndACheck() {
    const size_t checked = RefuseTwo().size();
    for (size_t i = 0; i < checked; ++i) {
      m_paths->ProbeNow(KeyOf("llm0"), "llm", m_now);
      for (const EndpointPaths::Probe& probe : m_paths->TakeProbes(m_now))
        m_paths->OnProbeEnded(probe.endpoint, false, m_now);
    }
    CPPUNIT_ASSERT(m_paths->IsBeingChecked(KeyOf("llm3"), m_now));
    CPPUNIT_ASSERT(m_paths->TakeChanges().empty());
  }

  // The last announcement may have taken the service from the endpoint.
  void ProbeForAServiceWithoutEndpoints() {
    m_paths->ProbeNow(KeyOf("llm0"), "withdrawn", m_now);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_paths->TakeProbes(m_now).size());
  }

  void WithoutARelayTheDirectPathIsUsed() {
    CutOffFromEngines();
    CPPUNIT_ASSERT(!m_paths->RelayTo(KeyOf("llm0"), m_now));
  }

 private:
  void Announce(const EndpointId& id, const ServiceName& service) {
    AnnounceAt(id + ":80", id, service);
  }
  void AnnounceAt(const std::string& address, const EndpointId& id,
                  const ServiceName& service) {
    wire::EndpointRecordT record;
    record.id = id;
    record.incarnation = 1;
    record.sequence = ++m_sequence;
    record.address = address;
    record.services = {service};
    m_directory.OnRecord(record, m_now);
  }

  // No answer to a connection request.
  void TimeOut(EndpointKey endpoint) {
    m_paths->OnConnectFailed(endpoint, m_now - kConnectTime, m_now);
  }
  void Refuse(EndpointKey endpoint) {
    m_paths->OnConnectFailed(endpoint, m_now, m_now);
  }
  // Two engines refuse connections. Returns the probes of the check.
  std::vector<EndpointPaths::Probe> RefuseTwo() {
    Refuse(KeyOf("llm0"));
    Refuse(KeyOf("llm1"));
    return m_paths->TakeProbes(m_now);
  }

  void CutOffFromEngines() {
    TimeOut(KeyOf("llm0"));
    TimeOut(KeyOf("llm1"));
  }

  void Offer(const HostId& host, const DataCentreId& data_centre,
             const std::vector<ServiceName>& unreachable = {}) {
    m_paths->OnRelay({host, data_centre, "10.0.0.2:80", "token", unreachable});
  }

  HostId RelayOf(const EndpointId& id) {
    const auto relay = m_paths->RelayTo(KeyOf(id), m_now);
    return relay ? relay->host : HostId();
  }

  Instant m_now;
  uint64_t m_sequence = 0;
  directory::Directory m_directory;
  std::optional<EndpointPaths> m_paths;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointPathsTest);

}  // namespace
}  // namespace dotterelshift::gateway
