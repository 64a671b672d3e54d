#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <iostream>  // for cout

#include "dotterelshift/replication/healing_world.h"  // for HealingWorld

namespace dotterelshift::replication {
namespace {

// explore_membership runs many more schedules.
constexpr uint64_t kSchedules = 1500;
constexpr int kSteps = 1500;
// Seeds above kSchedules that once failed: a replica never became a member if
// its addition was lost together with the leader that had proposed it.
constexpr uint64_t kFormerFaults[] = {7460, 9018, 14064};

// Bootstraps a group without waiting for the other first members.
class FoundsWithoutAll : public MemberDiscovery {
 public:
  explicit FoundsWithoutAll(const MemberDiscoveryOptions& options)
      : MemberDiscovery(AloneWith(options)) {}

 private:
  static MemberDiscoveryOptions AloneWith(MemberDiscoveryOptions options) {
    if (!options.first_members.empty()) options.first_members = {options.self};
    return options;
  }
};
struct FoundingWithoutAll : HealingRules {
  using Discovery = FoundsWithoutAll;
};

// Bootstraps a group although another host reports that it is already in one.
class FoundsBesideAGroup : public MemberDiscovery {
 public:
  using MemberDiscovery::MemberDiscovery;
  bool OnHello(const HostId& from, const wire::ReplicaHelloT& hello,
               const GroupView& view) {
    wire::ReplicaHelloT fresh = hello;
    fresh.in_group = false;
    return MemberDiscovery::OnHello(from, fresh, view);
  }
};
struct FoundingBesideAGroup : HealingRules {
  using Discovery = FoundsBesideAGroup;
};

// Removes any member that has been silent for longer than the timeout.
class RemovesTheSilent : public MemberKeeper {
 public:
  using MemberKeeper::MemberKeeper;
  void OnHeard(ReplicaId replica, Instant now) {
    m_heard_last[replica] = now;
    MemberKeeper::OnHeard(replica, now);
  }
  std::optional<KeptMember> Next(const wire::MembershipT& members,
                                 const std::vector<wire::ReplicaT>& waiting,
                                 Instant now) {
    for (const auto& member : members.replicas) {
      const auto heard = m_heard_last.find(member->id);
      const bool silent =
          heard != m_heard_last.end() &&
          now - heard->second > MemberKeeperOptions().lost_after;
      if (silent) return KeptMember{*member, true};
    }
    return MemberKeeper::Next(members, waiting, now);
  }

 private:
  std::map<ReplicaId, Instant> m_heard_last;
};
struct RemovalOfTheSilent : HealingRules {
  using Keeper = RemovesTheSilent;
};

template <typename Rules>
std::string FirstViolation() {
  for (uint64_t seed = 1; seed <= kSchedules; ++seed) {
    try {
      HealingWorld<Rules>(seed).Run(kSteps);
    } catch (const Violation& violation) {
      return "seed " + std::to_string(seed) + ": " + violation.what();
    }
  }
  return "";
}

class HealingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HealingTest);
  CPPUNIT_TEST(GroupsFoundAndHealThemselves);
  CPPUNIT_TEST(FoundingWithoutAllIsCaught);
  CPPUNIT_TEST(FoundingBesideAGroupIsCaught);
  CPPUNIT_TEST(RemovalOfTheSilentIsCaught);
  CPPUNIT_TEST_SUITE_END();

  void GroupsFoundAndHealThemselves() {
    HealingCounts sum;
    for (uint64_t seed = 1; seed <= kSchedules; ++seed) sum.Add(Play(seed));
    for (const uint64_t seed : kFormerFaults) Play(seed);
    CPPUNIT_ASSERT(sum.founded >= kSchedules);
    CPPUNIT_ASSERT(sum.committed > kSchedules * 10);
    CPPUNIT_ASSERT(sum.wipes > kSchedules);
    CPPUNIT_ASSERT(sum.removals > kSchedules / 2);
    CPPUNIT_ASSERT(sum.additions > kSchedules);
  }

  static HealingCounts Play(uint64_t seed) {
    try {
      return HealingWorld<HealingRules>(seed).Run(kSteps);
    } catch (const Violation& violation) {
      CPPUNIT_FAIL("seed " + std::to_string(seed) + ": " + violation.what());
    }
    return {};
  }

  void FoundingWithoutAllIsCaught() { ExpectCaught<FoundingWithoutAll>(); }
  void FoundingBesideAGroupIsCaught() { ExpectCaught<FoundingBesideAGroup>(); }
  void RemovalOfTheSilentIsCaught() { ExpectCaught<RemovalOfTheSilent>(); }

  template <typename Rules>
  static void ExpectCaught() {
    const std::string violation = FirstViolation<Rules>();
    std::cout << "caught by " << violation << "\n";
    CPPUNIT_ASSERT(!violation.empty());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(HealingTest);

}  // namespace
}  // namespace dotterelshift::replication
