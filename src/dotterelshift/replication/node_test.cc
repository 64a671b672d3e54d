#include "dotterelshift/replication/node.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <memory>  // for make_unique

#include "dotterelshift/replication/membership.h"  // for WithMember

namespace dotterelshift::replication {
namespace {

wire::ReplicaT VoterOf(ReplicaId id) {
  wire::ReplicaT replica;
  replica.id = id;
  replica.host = "control-" + std::to_string(id);
  replica.voter = true;
  return replica;
}

RestoredLog NewGroup(ReplicaId self, const std::vector<ReplicaId>& voters) {
  RestoredLog restored;
  restored.self = self;
  for (const ReplicaId id : voters)
    restored.snapshot.membership =
        WithMember(restored.snapshot.membership, VoterOf(id));
  return restored;
}

class NodeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NodeTest);
  CPPUNIT_TEST(GroupOfOneCommitsOnlyWhatIsSynced);
  CPPUNIT_TEST(SingleVoterOfThreeIsNotElected);
  CPPUNIT_TEST(StalledLeaderChecksQuorumLater);
  CPPUNIT_TEST(LeaderWithoutOpenRoundsKeepsLeading);
  CPPUNIT_TEST(NonVoterForgetsSilentLeader);
  CPPUNIT_TEST_SUITE_END();

 public:
  void GroupOfOneCommitsOnlyWhatIsSynced() {
    const Instant now{};
    const auto node = MakeNode({}, NewGroup(1, {1}), now);
    CPPUNIT_ASSERT(node->TakeReady().hard_state.has_value());
    CPPUNIT_ASSERT(node->Role() == NodeRole::kCandidate);
    node->OnSynced(now);
    CPPUNIT_ASSERT(node->Role() == NodeRole::kLeader);
    const auto index = node->Propose("payload", now);
    CPPUNIT_ASSERT(index == 2);
    const Ready written = node->TakeReady();
    CPPUNIT_ASSERT_EQUAL(size_t{2}, written.append.size());
    CPPUNIT_ASSERT(written.committed.empty());
    CPPUNIT_ASSERT(node->TakeReady().committed.empty());
    const auto token = node->ConfirmLeadership(now);
    CPPUNIT_ASSERT(node->TakeReady().reads_confirmed.empty());
    node->OnSynced(now);
    const Ready applied = node->TakeReady();
    CPPUNIT_ASSERT_EQUAL(size_t{2}, applied.committed.size());
    CPPUNIT_ASSERT(applied.reads_confirmed == std::vector{*token});
    CPPUNIT_ASSERT(node->LeaseUntil() > now);
  }

  void SingleVoterOfThreeIsNotElected() {
    Instant now{};
    const auto node = MakeNode({}, NewGroup(1, {1, 2, 3}), now);
    for (int i = 0; i < 10; ++i) {
      now = node->NextTimer();
      node->OnTimer(now);
      const Ready ready = node->TakeReady();
      CPPUNIT_ASSERT_EQUAL(size_t{2}, ready.messages.size());
      // A pre-vote does not increase the term.
      CPPUNIT_ASSERT(!ready.HasWrites());
      CPPUNIT_ASSERT(!node->Propose("payload", now).has_value());
    }
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, node->Term());
  }

  // A busy leader's timer fires late repeatedly, but every round that it
  // started has been acknowledged.
  void LeaderWithoutOpenRoundsKeepsLeading() {
    Instant now{};
    const auto node = MakeLeader(now);
    AnswerAll(*node, now);
    for (const Duration late : {150ms, 600ms, 150ms, 600ms}) {
      now = node->NextTimer() + late;
      node->OnTimer(now);
      CPPUNIT_ASSERT(node->Role() == NodeRole::kLeader);
      AnswerAll(*node, now);
      CPPUNIT_ASSERT(node->LeaseUntil() > now);
    }
    // A round that stays unacknowledged counts, no matter how many rounds are
    // started after it.
    const Instant silent_from = now;
    while (node->Role() == NodeRole::kLeader) {
      now += 1ms;
      node->ConfirmLeadership(now);
      node->OnTimer(now);
      node->TakeReady();
      CPPUNIT_ASSERT(now - silent_from <=
                     2 * NodeOptions().min_election_timeout);
    }
  }

  void StalledLeaderChecksQuorumLater() {
    Instant now{};
    const auto node = MakeLeader(now);
    now += 1s;  // replies that arrived meanwhile are still unread
    node->OnTimer(now);
    CPPUNIT_ASSERT(node->Role() == NodeRole::kLeader);
    CPPUNIT_ASSERT(node->LeaseUntil() < now);
    now = node->NextTimer();
    node->OnTimer(now);  // there were no replies
    CPPUNIT_ASSERT(node->Role() == NodeRole::kFollower);
  }

  // The addition of a new replica may be lost together with the leader that
  // proposed it. The replica must then be able to report that it has no leader.
  void NonVoterForgetsSilentLeader() {
    Instant now{};
    RestoredLog fresh;
    fresh.self = 4;
    const auto node = MakeNode({}, std::move(fresh), now);
    wire::AppendRequestT append;
    append.from = 1;
    append.to = 4;
    append.term = 1;
    wire::FrameT frame;
    frame.body.Set(std::move(append));
    node->OnMessage(frame, now);
    CPPUNIT_ASSERT_EQUAL(ReplicaId{1}, node->Leader());
    now = node->NextTimer();
    node->OnTimer(now);
    CPPUNIT_ASSERT_EQUAL(ReplicaId{0}, node->Leader());
    CPPUNIT_ASSERT(node->TakeReady().leadership_changed);
  }

 private:
  // The first of three voters, just elected.
  static std::unique_ptr<Node> MakeLeader(Instant& now) {
    auto node = MakeNode({}, NewGroup(1, {1, 2, 3}), now);
    now = node->NextTimer();
    node->OnTimer(now);
    node->OnMessage(VoteFrom(2, true), now);
    CPPUNIT_ASSERT(node->TakeReady().hard_state.has_value());
    node->OnSynced(now);
    node->OnMessage(VoteFrom(2, false), now);
    CPPUNIT_ASSERT(node->Role() == NodeRole::kLeader);
    return node;
  }

  // Both followers acknowledge what the leader has sent.
  static void AnswerAll(Node& node, Instant now) {
    Ready ready = node.TakeReady();
    node.OnSynced(now);
    for (auto& [to, frame] : ready.messages) {
      const auto* request = frame.body.AsAppendRequest();
      if (request == nullptr) continue;
      wire::AppendReplyT reply;
      reply.from = to;
      reply.to = 1;
      reply.term = request->term;
      reply.accepted = true;
      reply.match_index = request->previous_index + request->entries.size();
      reply.round = request->round;
      wire::FrameT answer;
      answer.body.Set(reply);
      node.OnMessage(answer, now);
    }
  }

  static wire::FrameT VoteFrom(ReplicaId from, bool pre_vote) {
    wire::VoteReplyT vote;
    vote.from = from;
    vote.to = 1;
    vote.term = 1;
    vote.granted = true;
    vote.pre_vote = pre_vote;
    wire::FrameT frame;
    frame.body.Set(vote);
    return frame;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodeTest);

}  // namespace
}  // namespace dotterelshift::replication
