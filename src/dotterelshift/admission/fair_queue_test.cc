#include "dotterelshift/admission/fair_queue.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <map>     // for map
#include <string>  // for string

#include "dotterelshift/admission/wait_estimator.h"  // for WaitEstimator

namespace dotterelshift::admission {
namespace {

Instant At(Duration since) { return Instant(3600s) + since; }

Waiting Make(RequestId request, const TeamId& team, double cost = 1,
             uint32_t weight = 1, int priority = 0) {
  Waiting waiting;
  waiting.request = request;
  waiting.team = team;
  waiting.target = "m";
  waiting.weight = weight;
  waiting.priority = priority;
  waiting.cost = cost;
  waiting.deadline = At(60s);
  return waiting;
}

class FairQueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FairQueueTest);
  CPPUNIT_TEST(SharesFollowWeightAndCost);
  CPPUNIT_TEST(FloodOfOneTeamDoesNotDelayAnother);
  CPPUNIT_TEST(IdleTeamEarnsNoCredit);
  CPPUNIT_TEST(PriorityThenArrivalWithinATeam);
  CPPUNIT_TEST(EnforcesTeamAndQueueLimits);
  CPPUNIT_TEST(ExpiredRequestsLeaveTheQueue);
  CPPUNIT_TEST(BlockedTeamDoesNotDelayOthers);
  CPPUNIT_TEST(ManyBlockedTeamsAreTriedRoundRobin);
  CPPUNIT_TEST(CallbackMayPushAndRemove);
  CPPUNIT_TEST(CostAheadMatchesTheCostServedBefore);
  CPPUNIT_TEST(ExpectedWaitFollowsTheServiceRate);
  CPPUNIT_TEST(IdleTimeDoesNotSlowTheEstimate);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SharesFollowWeightAndCost() {
    struct Row {
      double cost;
      uint32_t weight;
      int served;  // out of 60 starts, against a team of cost 1 and weight 1
    };
    for (const Row& row : {Row{1, 1, 30}, Row{1, 2, 40}, Row{1, 5, 50},
                           Row{2, 1, 20}, Row{4, 2, 20}}) {
      m_queue = MakeFairQueue();
      for (RequestId i = 0; i < 100; ++i) {
        m_queue->Push(Make(i, "a"));
        m_queue->Push(Make(1000 + i, "b", row.cost, row.weight));
      }
      CPPUNIT_ASSERT_DOUBLES_EQUAL(row.served, Start(60)["b"], 1);
    }
  }

  void FloodOfOneTeamDoesNotDelayAnother() {
    for (RequestId i = 0; i < 200; ++i) m_queue->Push(Make(i, "flood"));
    Start(50);
    m_queue->Push(Make(1000, "quiet"));
    CPPUNIT_ASSERT_EQUAL(1, Start(2)["quiet"]);
  }

  void IdleTeamEarnsNoCredit() {
    for (RequestId i = 0; i < 200; ++i) m_queue->Push(Make(i, "a"));
    Start(100);
    for (RequestId i = 1000; i < 1100; ++i) m_queue->Push(Make(i, "b"));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(20, Start(40)["b"], 1);
  }

  void PriorityThenArrivalWithinATeam() {
    m_queue->Push(Make(1, "a", 1, 1, 5));
    m_queue->Push(Make(2, "a", 1, 1, 0));
    m_queue->Push(Make(3, "a", 1, 1, -10));
    m_queue->Push(Make(4, "a", 1, 1, 0));
    std::vector<RequestId> order;
    m_queue->Offer([&order](const Waiting& waiting) {
      order.push_back(waiting.request);
      return true;
    });
    CPPUNIT_ASSERT((order == std::vector<RequestId>{3, 2, 4, 1}));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_queue->Size());
  }

  void EnforcesTeamAndQueueLimits() {
    m_queue = MakeFairQueue({.max_waiting_per_team = 2, .max_waiting = 3});
    CPPUNIT_ASSERT(m_queue->Push(Make(1, "a")));
    CPPUNIT_ASSERT(m_queue->Push(Make(2, "a")));
    CPPUNIT_ASSERT(!m_queue->Push(Make(3, "a")));
    CPPUNIT_ASSERT(m_queue->Push(Make(4, "b")));
    CPPUNIT_ASSERT(!m_queue->Push(Make(5, "c")));
    m_queue->Remove(1);
    m_queue->Remove(1);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_queue->SizeOf("a"));
    CPPUNIT_ASSERT(m_queue->Push(Make(5, "c")));
    CPPUNIT_ASSERT(!m_queue->Push(Make(4, "d")));
  }

  void ExpiredRequestsLeaveTheQueue() {
    Waiting early = Make(1, "a");
    early.deadline = At(1s);
    m_queue->Push(Make(2, "a"));
    m_queue->Push(early);
    CPPUNIT_ASSERT(m_queue->NextDeadline() == At(1s));
    CPPUNIT_ASSERT(m_queue->TakeExpired(At(999ms)).empty());
    CPPUNIT_ASSERT(m_queue->TakeExpired(At(1s)) == std::vector<RequestId>{1});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_queue->Size());
  }

  void BlockedTeamDoesNotDelayOthers() {
    m_queue->Push(Make(1, "stuck"));
    m_queue->Push(Make(2, "free"));
    int started = 0;
    m_queue->Offer([&started](const Waiting& waiting) {
      if (waiting.team == "stuck") return false;
      ++started;
      return true;
    });
    CPPUNIT_ASSERT_EQUAL(1, started);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_queue->SizeOf("stuck"));
  }

  void ManyBlockedTeamsAreTriedRoundRobin() {
    for (RequestId i = 0; i < 100; ++i)
      m_queue->Push(Make(i, "stuck" + std::to_string(i)));
    m_queue->Push(Make(1000, "free"));
    int calls = 0;
    while (m_queue->SizeOf("free") > 0) {
      CPPUNIT_ASSERT(++calls <= 14);
      m_queue->Offer(
          [](const Waiting& waiting) { return waiting.team == "free"; });
    }
  }

  void CallbackMayPushAndRemove() {
    for (RequestId i = 0; i < 10; ++i) m_queue->Push(Make(i, "a"));
    int offered = 0;
    const auto start = [&](const Waiting& waiting) {
      ++offered;
      m_queue->Remove(waiting.request);
      if (offered == 1) m_queue->Push(Make(100, "b"));
      return offered % 2 == 0;
    };
    // Each call makes progress, whatever its callback does.
    for (int calls = 1; m_queue->Size() > 0; ++calls) {
      m_queue->Offer(start);
      CPPUNIT_ASSERT(offered >= calls);
    }
    CPPUNIT_ASSERT_EQUAL(11, offered);
  }

  void CostAheadMatchesTheCostServedBefore() {
    for (RequestId i = 0; i < 100; ++i) m_queue->Push(Make(i, "flood"));
    for (RequestId i = 200; i < 205; ++i) m_queue->Push(Make(i, "a", 2));
    m_queue->Push(Make(300, "a", 2, 1, 9));
    const Waiting next = Make(400, "a", 2);
    const double ahead = m_queue->CostAhead(next);
    m_queue->Push(next);
    double served = 0;
    bool found = false;
    m_queue->Offer([&](const Waiting& waiting) {
      found = found || waiting.request == next.request;
      if (!found) served += waiting.cost;
      return !found;
    });
    CPPUNIT_ASSERT_DOUBLES_EQUAL(served, ahead, 2);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0, m_queue->CostAhead(Make(1, "new")), 2);
  }

  void ExpectedWaitFollowsTheServiceRate() {
    WaitEstimator estimator;
    CPPUNIT_ASSERT(estimator.Expected("m", 1000, At(0s)) == 0s);
    estimator.OnWaiting("m", true, At(0s));
    for (int i = 1; i <= 100; ++i)
      estimator.OnStarted("m", 2, true, At(i * 50ms));
    // A cost of 40 is served per second.
    const Duration wait = estimator.Expected("m", 400, At(5s));
    CPPUNIT_ASSERT(wait > 9s && wait < 11s);
    CPPUNIT_ASSERT(!estimator.RefuseFor("m", 400, 15s, At(5s)));
    const auto refused = estimator.RefuseFor("m", 400, 2s, At(5s));
    CPPUNIT_ASSERT(refused && *refused > 7s && *refused < 10s);
    // The estimate grows while no request is started.
    CPPUNIT_ASSERT(estimator.Expected("m", 400, At(10s)) > 2 * wait);
  }

  void IdleTimeDoesNotSlowTheEstimate() {
    WaitEstimator estimator;
    estimator.OnWaiting("m", true, At(0s));
    for (int i = 1; i <= 20; ++i)
      estimator.OnStarted("m", 1, i < 20, At(i * 100ms));
    const Duration before = estimator.Expected("m", 100, At(2s));
    estimator.OnWaiting("m", true, At(3600s));
    CPPUNIT_ASSERT(estimator.Expected("m", 100, At(3600s)) == before);
  }

 private:
  // Starts this many requests; returns the count per team.
  std::map<TeamId, int> Start(int count) {
    std::map<TeamId, int> started;
    m_queue->Offer([&](const Waiting& waiting) {
      if (count == 0) return false;
      --count;
      ++started[waiting.team];
      return true;
    });
    return started;
  }

  std::unique_ptr<FairQueue> m_queue = MakeFairQueue();
};

CPPUNIT_TEST_SUITE_REGISTRATION(FairQueueTest);

}  // namespace
}  // namespace dotterelshift::admission
