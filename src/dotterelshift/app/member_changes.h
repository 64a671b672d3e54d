#ifndef DOTTERELSHIFT_APP_MEMBER_CHANGES_H_
#define DOTTERELSHIFT_APP_MEMBER_CHANGES_H_

#include <deque>        // for deque
#include <optional>     // for optional
#include <string>       // for string
#include <string_view>  // for string_view

#include "dotterelshift/state/state.h"              // for State
#include "dotterelshift/wire/commands_generated.h"  // for CommandBatchT
#include "dotterelshift/wire/frames_generated.h"    // for MembershipT

namespace dotterelshift::app {

// One membership change that an operator's confirmed plan requests.
struct MemberChange {
  wire::ReplicaT replica;
  bool remove = false;
};

// The membership changes that confirmed plans request and that are not yet
// committed, in order. They depend on the applied log alone, so all replicas
// hold the same list and a new leader can continue it. They are stored with the
// snapshot of the state.
class MemberChanges {
 public:
  // Adds the changes of plans that a batch newly confirms. `version_before` is
  // the configuration version before the batch: a resent confirmation is
  // answered with a version that is not newer and adds nothing.
  void OnApplied(const wire::CommandBatchT& batch,
                 const std::vector<wire::CommandAnswerT>& answers,
                 const state::State& state, uint64_t version_before);

  // Drops the changes that a committed membership already contains.
  void OnMembershipCommitted(const wire::MembershipT& members);

  // The change to propose next; empty if there is none.
  std::optional<MemberChange> Next() const;

  // Appends the pending changes to the bytes of a snapshot.
  void AppendTo(std::string& snapshot) const;
  // Restores the pending changes from a snapshot and returns the bytes of the
  // state. Throws Error(kStorageDamaged) on malformed bytes.
  std::string_view RestoreFrom(std::string_view snapshot);

 private:
  std::deque<MemberChange> m_pending_changes;
  wire::MembershipT m_members;  // the newest committed one
};

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_APP_MEMBER_CHANGES_H_
