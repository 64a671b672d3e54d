#ifndef DOTTERELSHIFT_REPLICATION_MESSAGES_H_
#define DOTTERELSHIFT_REPLICATION_MESSAGES_H_

#include "dotterelshift/base/ids.h"               // for ReplicaId
#include "dotterelshift/wire/frames_generated.h"  // for FrameT

namespace dotterelshift::replication {

// The sender's id in a message between replicas; 0 for any other frame.
ReplicaId SenderOf(const wire::FrameT& frame);

}  // namespace dotterelshift::replication

#endif  // DOTTERELSHIFT_REPLICATION_MESSAGES_H_
