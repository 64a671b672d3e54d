#include "dotterelshift/serving/pending_command_table.h"

#include <algorithm>  // for any_of

namespace dotterelshift::serving {

PendingCommand* PendingCommandTable::Find(const wire::CommandIdT& id) {
  const bool ours =
      id.host == m_self.host && id.incarnation == m_self.incarnation;
  return ours ? Find(id.sequence) : nullptr;
}

PendingCommand* PendingCommandTable::Find(uint64_t sequence) {
  const auto it = m_pending.find(sequence);
  return it == m_pending.end() ? nullptr : &it->second;
}

bool PendingCommandTable::HasUnacknowledged(bool control_reachable) const {
  return std::any_of(m_pending.begin(), m_pending.end(), [&](const auto& item) {
    const PendingCommand& pending = item.second;
    if (pending.kind == PendingCommand::Kind::kSettle) return !pending.spooled;
    return control_reachable;
  });
}

}  // namespace dotterelshift::serving
