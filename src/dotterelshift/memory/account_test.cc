#include "dotterelshift/memory/account.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <deque>   // for deque
#include <random>  // for mt19937_64

namespace dotterelshift::memory {
namespace {

constexpr uint64_t kLimit = 100'000'000;

// Connections of one listener that hold `bytes` each, idle since the times
// given.
class FakeConnections : public IdleConnections {
 public:
  FakeConnections(Account& account, size_t bytes, std::deque<Instant> since)
      : m_account(account), m_bytes(bytes), m_since(std::move(since)) {
    for (size_t i = 0; i < m_since.size(); ++i)
      m_account.Add(Use::kConnections, m_bytes);
    m_account.Register(this);
  }
  ~FakeConnections() override { m_account.Unregister(this); }

  std::optional<Instant> OldestIdle() const override {
    if (m_since.empty()) return std::nullopt;
    return m_since.front();
  }
  void CloseOldestIdle() override {
    m_since.pop_front();
    m_account.Remove(Use::kConnections, m_bytes);
  }
  size_t Left() const { return m_since.size(); }

 private:
  Account& m_account;
  const size_t m_bytes;
  std::deque<Instant> m_since;
};

Instant At(int seconds) { return Instant{} + std::chrono::seconds(seconds); }

class MemoryAccountTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MemoryAccountTest);
  CPPUNIT_TEST(ClaimsAreDeniedInTheirOrder);
  CPPUNIT_TEST(IdleConnectionsOfAllListenersYieldOldestFirst);
  CPPUNIT_TEST(NothingIsClosedWhileThereIsRoom);
  CPPUNIT_TEST(WhatTheAllocatorHoldsBesidesCounts);
  CPPUNIT_TEST(CallersAreServedWhereTheRestNeedsAll);
  CPPUNIT_TEST(HoldingsAreReturned);
  CPPUNIT_TEST(CrowdNeverHoldsMoreThanItsShare);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ClaimsAreDeniedInTheirOrder() {
    Account account(kLimit);
    for (size_t denied = 0; denied < kClaims; ++denied) {
      while (account.MayHold(static_cast<Claim>(denied), 1))
        account.Add(Use::kResponses, 100'000);
      for (size_t later = denied + 1; later < kClaims; ++later)
        CPPUNIT_ASSERT(account.MayHold(static_cast<Claim>(later), 1));
    }
    CPPUNIT_ASSERT(account.Total() < kLimit);
  }

  void IdleConnectionsOfAllListenersYieldOldestFirst() {
    Account account(kLimit);
    FakeConnections front(account, 10'000'000, {At(1), At(4)});
    FakeConnections health(account, 10'000'000, {At(2), At(3)});
    CPPUNIT_ASSERT(account.MakeRoom(Claim::kNewConnection, 40'000'000));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, front.Left());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, health.Left());
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, account.IdleClosed());
    CPPUNIT_ASSERT(!account.MakeRoom(Claim::kLargeRequest, 90'000'000));
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, account.Denied(Claim::kLargeRequest));
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, account.IdleClosed());
  }

  void NothingIsClosedWhileThereIsRoom() {
    Account account(kLimit);
    const FakeConnections front(account, 1000, {At(1), At(2)});
    account.TrimIdle();
    CPPUNIT_ASSERT(account.MakeRoom(Claim::kRequest, 1'000'000));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, front.Left());
  }

  void WhatTheAllocatorHoldsBesidesCounts() {
    Account account(kLimit);
    account.Add(Use::kBodies, 10'000'000);
    account.Add(Use::kUnread, 5'000'000);
    account.SetAllocated(30'000'000);
    CPPUNIT_ASSERT_EQUAL(uint64_t{20'000'000}, account.Of(Use::kRest));
    account.SetAllocated(30'000'000);
    CPPUNIT_ASSERT_EQUAL(uint64_t{35'000'000}, account.Total());
    account.SetAllocated(1'000'000);
    CPPUNIT_ASSERT_EQUAL(uint64_t{15'000'000}, account.Total());
  }

  void CallersAreServedWhereTheRestNeedsAll() {
    Account account(kLimit);
    account.SetAllocated(2 * kLimit);
    CPPUNIT_ASSERT(account.MayHold(Claim::kIdleConnection, 1'000'000));
    CPPUNIT_ASSERT(!account.MayHold(Claim::kRequest, 10'000'000));
  }

  void HoldingsAreReturned() {
    Account account(kLimit);
    {
      Holding holding(&account, Use::kHeads);
      holding.Set(700);
      holding.Set(300);
      CPPUNIT_ASSERT_EQUAL(uint64_t{300}, account.Total());
      Holding uncounted(nullptr, Use::kHeads);
      uncounted.Set(1000);
    }
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, account.Total());
    CPPUNIT_ASSERT_EQUAL(uint64_t{700}, account.Peak());
  }

  // Whatever comes at the same time, a part of the memory stays free.
  void CrowdNeverHoldsMoreThanItsShare() {
    constexpr int kSteps = 5000;
    std::mt19937_64 random(3);
    for (const uint64_t limit : {64'000'000, 110'000'000, 260'000'000}) {
      Account account(limit);
      account.SetAllocated(12'000'000);
      for (int i = 0; i < kSteps; ++i) {
        const auto claim = static_cast<Claim>(random() % kClaims);
        const size_t bytes = random() % 4'000'000;
        if (account.MakeRoom(claim, bytes)) account.Add(Use::kBodies, bytes);
        if (random() % 4 == 0)
          account.Remove(Use::kBodies, random() % 4'000'000);
      }
      CPPUNIT_ASSERT(account.Peak() < limit * 3 / 4);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemoryAccountTest);

}  // namespace
}  // namespace dotterelshift::memory
