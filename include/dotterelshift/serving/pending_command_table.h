#ifndef DOTTERELSHIFT_SERVING_PENDING_COMMAND_TABLE_H_
#define DOTTERELSHIFT_SERVING_PENDING_COMMAND_TABLE_H_

#include <cstdint>        // for uint64_t
#include <memory>         // for unique_ptr
#include <unordered_map>  // for unordered_map
#include <utility>        // for move

#include "dotterelshift/base/ids.h"                 // for RequestId
#include "dotterelshift/budget/ledger.h"            // for BudgetHandle
#include "dotterelshift/wire/commands_generated.h"  // for CommandT

namespace dotterelshift::serving {

// The purpose of a command that control has not answered yet.
struct PendingCommand {
  enum class Kind { kRequestGrant, kReturn, kOpen, kSettle, kClaim, kOther };
  Kind kind = Kind::kOther;
  RequestId request = 0;
  AttemptId attempt = 0;
  budget::BudgetHandle budget = 0;
  // For a claim: the settlement that releases it if it is granted after its
  // attempt was abandoned.
  std::unique_ptr<wire::SettleT> undo;
  // For a settlement: a copy, kept for spooling until it is answered.
  std::unique_ptr<wire::CommandT> command;
  bool spooling = false;  // handed over for spooling
  bool spooled = false;   // stored on a replica's disk
};

// Numbers the commands of one incarnation and keeps the purpose of each pending
// one. A command is proposed once; the adapter resends it until it is answered.
class PendingCommandTable {
 public:
  explicit PendingCommandTable(HostRun self) : m_self(std::move(self)) {}

  // Returns a command with the body and a new id, and records its purpose.
  template <typename Body>
  wire::CommandT Add(Body body, PendingCommand pending) {
    wire::CommandT command;
    command.id = std::make_unique<wire::CommandIdT>();
    command.id->host = m_self.host;
    command.id->incarnation = m_self.incarnation;
    command.id->sequence = ++m_last_sequence;
    command.body.Set(std::move(body));
    m_pending.emplace(m_last_sequence, std::move(pending));
    return command;
  }

  // The pending command with this id; null when the id belongs to another host
  // or incarnation, or when the command was answered.
  PendingCommand* Find(const wire::CommandIdT& id);
  PendingCommand* Find(uint64_t sequence);
  void Erase(uint64_t sequence) { m_pending.erase(sequence); }

  // Whether a pending command would be lost if this process ended. Settlements
  // count until they are answered or spooled; other commands count only while
  // control is reachable.
  bool HasUnacknowledged(bool control_reachable) const;
  size_t size() const { return m_pending.size(); }
  uint64_t LastSequence() const { return m_last_sequence; }

 private:
  HostRun m_self;
  uint64_t m_last_sequence = 0;
  std::unordered_map<uint64_t, PendingCommand> m_pending;
};

}  // namespace dotterelshift::serving

#endif  // DOTTERELSHIFT_SERVING_PENDING_COMMAND_TABLE_H_
