#ifndef DOTTERELSHIFT_APP_PROPOSALS_H_
#define DOTTERELSHIFT_APP_PROPOSALS_H_

#include <cstdint>  // for uint64_t
#include <map>      // for map
#include <string>   // for string
#include <vector>   // for vector

#include "dotterelshift/app/control_replica.h"      // for ProposalCallback
#include "dotterelshift/wire/commands_generated.h"  // for CommandBatchT

namespace dotterelshift::app {

// Encodes a batch as the payload of a log entry.
std::string EncodeBatch(const wire::CommandBatchT& batch);

// Decodes the payload of a log entry. Throws Error(kStorageDamaged) if it is
// not a valid batch.
wire::CommandBatchT DecodeBatch(const std::vector<uint8_t>& bytes);

// Proposals that are not yet in a batch, and batches that are not yet
// committed.
class Proposals {
 public:
  // A batch with the callbacks of the proposals that its commands belong to.
  struct Batch {
    wire::CommandBatchT content;
    std::vector<std::pair<size_t, ProposalCallback>>
        callbacks;  // command counts
  };

  void Add(std::vector<wire::CommandT> commands, ProposalCallback callback);
  bool HasUnbatched() const { return !m_waiting.empty(); }
  size_t CountUnbatched() const;  // commands not yet in a batch
  size_t CountPending() const;    // commands in uncommitted batches

  // Takes all waiting proposals in batches of at most `max_commands` commands.
  // A proposal is never split, so a larger one makes a larger batch of its own.
  std::vector<Batch> TakeUnbatched(size_t max_commands);

  // Records that a batch was appended to the log.
  void OnProposed(uint64_t index, uint64_t term, Batch batch);

  // Takes the batch that was proposed at this index. Empty if there is none or
  // if the committed entry has another term; in that case the batch fails with
  // kNotLeader.
  std::optional<Batch> TakeCommitted(uint64_t index, uint64_t term);

  // Calls back each proposal with its answers.
  static void Answer(const Batch& batch,
                     const std::vector<wire::CommandAnswerT>& answers);

  // Fails all proposals; none of them is known to be accepted.
  void FailAll(ErrorKind error);

 private:
  struct Pending {
    uint64_t term = 0;
    Batch batch;
  };
  std::vector<std::pair<std::vector<wire::CommandT>, ProposalCallback>>
      m_waiting;
  std::map<uint64_t, Pending> m_pending;  // by index
};

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_APP_PROPOSALS_H_
