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

// One change of the group's members that an operator's confirmed plan asks for.
struct MemberChange {
  wire::ReplicaT replica;
  bool remove = false;
};

// The changes of members that confirmed plans ask for and that are not made
// yet, in order. A function of the applied log alone, so every replica has the
// same and a new leader carries on; it is kept with the snapshot of the state.
class MemberChanges {
 public:
  // Looks for newly confirmed plans in a batch. `version_before` is the
  // configuration's version before the batch: a resent confirm answers with an
  // older one and asks for nothing.
  void OnApplied(const wire::CommandBatchT& batch,
                 const std::vector<wire::CommandAnswerT>& answers,
                 const state::State& state, uint64_t version_before);

  // A membership is committed: drops what it fulfils.
  void OnMembershipCommitted(const wire::MembershipT& members);

  // The change to be proposed next.
  std::optional<MemberChange> Next() const;

  // Adds them to the bytes of a snapshot, and takes them out again; returns the
  // bytes of the state. Throws Error(kStorageDamaged) on bad bytes.
  void AppendTo(std::string& snapshot) const;
  std::string_view RestoreFrom(std::string_view snapshot);

 private:
  std::deque<MemberChange> m_pending_changes;
  wire::MembershipT m_members;  // the last one committed
};

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_APP_MEMBER_CHANGES_H_
