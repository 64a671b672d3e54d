#include "dotterelshift/replication/messages.h"

namespace dotterelshift::replication {

ReplicaId SenderOf(const wire::FrameT& frame) {
  const wire::FrameBodyUnion& body = frame.body;
  switch (body.type) {
    case wire::FrameBody::VoteRequest:
      return body.AsVoteRequest()->from;
    case wire::FrameBody::VoteReply:
      return body.AsVoteReply()->from;
    case wire::FrameBody::AppendRequest:
      return body.AsAppendRequest()->from;
    case wire::FrameBody::AppendReply:
      return body.AsAppendReply()->from;
    case wire::FrameBody::SnapshotPiece:
      return body.AsSnapshotPiece()->from;
    case wire::FrameBody::SnapshotReply:
      return body.AsSnapshotReply()->from;
    default:
      return 0;
  }
}

}  // namespace dotterelshift::replication
