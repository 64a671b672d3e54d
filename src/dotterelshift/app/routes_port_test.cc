#include "dotterelshift/app/routes_port.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <deque>  // for deque

#include "dotterelshift/app/leader_testing.h"     // for MockReplica
#include "dotterelshift/operators/test_mocks.h"   // for MockBackend
#include "dotterelshift/state/packed_document.h"  // for PackDocument
#include "dotterelshift/state/state_testing.h"    // for TestSender

namespace dotterelshift::app {
namespace {

// A backend whose proposals are committed or failed when the test says so.
class DeferredBackend : public operators::MockBackend {
 public:
  explicit DeferredBackend(state::State& state) : m_run(&state, "control", 1) {}

  using Callback = std::function<void(ErrorKind, wire::CommandAnswerT)>;
  void Propose(wire::CommandT command, Callback callback) override {
    ++proposals;
    m_proposed.emplace_back(std::move(command), std::move(callback));
  }
  void CommitNext() {
    auto [command, callback] = TakeNext();
    callback(ErrorKind::kNone, m_run.Send(*command.body.AsPublishRoutes(), 1));
  }
  void FailNext(ErrorKind error) { TakeNext().second(error, {}); }

  int proposals = 0;

 private:
  std::pair<wire::CommandT, Callback> TakeNext() {
    CPPUNIT_ASSERT(!m_proposed.empty());
    auto next = std::move(m_proposed.front());
    m_proposed.pop_front();
    return next;
  }

  state::TestSender m_run;
  std::deque<std::pair<wire::CommandT, Callback>> m_proposed;
};

class RoutesPortTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RoutesPortTest);
  CPPUNIT_TEST(OnlyTheNewestOfManyPublicationsIsProposed);
  CPPUNIT_TEST(InterveningChangeOfAnotherLeaderIsUsedAsBase);
  CPPUNIT_TEST(FailureIsReportedToAllWaiting);
  CPPUNIT_TEST(AnOlderVersionIsAcknowledgedAndChangesNothing);
  CPPUNIT_TEST(DepartureNeedsAMajorityOfTheGroup);
  CPPUNIT_TEST_SUITE_END();

  void Publish(uint64_t version) {
    m_routes->Publish(
        version, DocumentOf(version), {},
        [this, version](ErrorKind error) { m_answers[version] = error; });
  }
  static std::string DocumentOf(uint64_t version) {
    return "document of version " + std::to_string(version);
  }
  void AssertInForce(uint64_t version) {
    const state::PublishedRoutes published = m_replica.state->GetPublished();
    CPPUNIT_ASSERT_EQUAL(version, published.version);
    CPPUNIT_ASSERT_EQUAL(DocumentOf(version), std::string(published.document));
  }
  using Answers = std::map<uint64_t, ErrorKind>;

  void OnlyTheNewestOfManyPublicationsIsProposed() {
    for (const uint64_t version : {2, 4, 7, 5}) Publish(version);
    m_backend.CommitNext();
    CPPUNIT_ASSERT(m_answers == (Answers{{2, ErrorKind::kNone}}));
    m_backend.CommitNext();
    CPPUNIT_ASSERT_EQUAL(size_t{4}, m_answers.size());
    CPPUNIT_ASSERT_EQUAL(2, m_backend.proposals);
    AssertInForce(7);
  }

  void InterveningChangeOfAnotherLeaderIsUsedAsBase() {
    Publish(2);
    m_backend.CommitNext();
    Publish(5);
    state::TestSender other(m_replica.state.get(), "other", 1);
    other.Send(
        RoutesCommand(3, DocumentOf(3), {}, m_replica.state->GetPublished()),
        1);
    m_backend.CommitNext();
    CPPUNIT_ASSERT(!m_answers.contains(5));
    AssertInForce(3);
    m_backend.CommitNext();
    CPPUNIT_ASSERT(m_answers.at(5) == ErrorKind::kNone);
    AssertInForce(5);
  }

  void FailureIsReportedToAllWaiting() {
    Publish(2);
    Publish(3);
    m_backend.FailNext(ErrorKind::kNotLeader);
    CPPUNIT_ASSERT(m_answers == (Answers{{2, ErrorKind::kNotLeader},
                                         {3, ErrorKind::kNotLeader}}));
    Publish(3);
    m_backend.CommitNext();
    AssertInForce(3);
  }

  void AnOlderVersionIsAcknowledgedAndChangesNothing() {
    Publish(4);
    m_backend.CommitNext();
    m_routes->Publish(4, "other content", {},
                      [this](ErrorKind error) { m_answers[100] = error; });
    m_backend.CommitNext();
    Publish(3);
    m_backend.CommitNext();
    CPPUNIT_ASSERT(m_answers.at(100) == ErrorKind::kNone);
    CPPUNIT_ASSERT(m_answers.at(3) == ErrorKind::kNone);
    AssertInForce(4);
  }

  // Of five voters only this one is there.
  void DepartureNeedsAMajorityOfTheGroup() {
    MockReplica of_five(5);
    const auto in_group = MakeRoutesControl(m_loop, of_five, m_backend,
                                            m_directory, [](Incarnation) {});
    wire::EndpointRecordT record;
    record.id = "e";
    record.incarnation = 1;
    record.sequence = 1;
    const auto announce = [&](RoutesControl& control) {
      ErrorKind answer = ErrorKind::kInternal;
      control.OnAnnounced(record, [&](ErrorKind error) { answer = error; });
      return answer;
    };
    CPPUNIT_ASSERT(announce(*in_group) == ErrorKind::kNone);
    ++record.sequence;
    record.draining = true;
    CPPUNIT_ASSERT(announce(*in_group) == ErrorKind::kNoQuorum);
    CPPUNIT_ASSERT(announce(*m_routes) == ErrorKind::kNone);
  }

  loop::Loop m_loop;
  MockReplica m_replica;
  DeferredBackend m_backend{*m_replica.state};
  DirectoryExchange m_directory{
      m_loop, "control", {[] {}, [](const std::vector<wire::CacheEventT>&) {}}};
  std::unique_ptr<RoutesControl> m_routes = MakeRoutesControl(
      m_loop, m_replica, m_backend, m_directory, [](Incarnation) {});
  Answers m_answers;
};
CPPUNIT_TEST_SUITE_REGISTRATION(RoutesPortTest);

}  // namespace
}  // namespace dotterelshift::app
