#include "dotterelshift/replication/node.h"

#include "dotterelshift/replication/raft.h"  // for Raft

namespace dotterelshift::replication {

std::unique_ptr<Node> MakeNode(const NodeOptions& options, RestoredLog restored,
                               Instant now) {
  return std::make_unique<Raft<StandardRules>>(options, std::move(restored),
                                               now);
}

}  // namespace dotterelshift::replication
