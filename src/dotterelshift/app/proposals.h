#ifndef DOTTERELSHIFT_APP_PROPOSALS_H_
#define DOTTERELSHIFT_APP_PROPOSALS_H_

#include <cstdint>  // for uint64_t
#include <map>      // for map
#include <string>   // for string
#include <vector>   // for vector

#include "dotterelshift/app/control_replica.h"      // for ProposalCallback
#include "dotterelshift/wire/commands_generated.h"  // for CommandBatchT

namespace dotterelshift::app {

// The bytes that the log holds for a batch.
std::string EncodeBatch(const wire::CommandBatchT& batch);

// The batch of a log entry. Throws Error(kStorageDamaged) on other bytes.
wire::CommandBatchT DecodeBatch(const std::vector<uint8_t>& bytes);

// Proposals that wait to be put into a batch, and batches that wait to be
// committed.
class Proposals {
 public:
  // A batch and the callers that its commands belong to.
  struct Batch {
    wire::CommandBatchT content;
    std::vector<std::pair<size_t, ProposalCallback>>
        callbacks;  // commands of each
  };

  void Add(std::vector<wire::CommandT> commands, ProposalCallback callback);
  bool HasUnbatched() const { return !m_waiting.empty(); }
  size_t CountUnbatched() const;  // commands that wait to be put into a batch
  size_t CountPending() const;  // commands in batches that wait to be committed

  // All that waits, in batches of at most this many commands; a proposal is
  // never split.
  std::vector<Batch> TakeUnbatched(size_t max_commands);

  // A batch has been put into the log.
  void OnProposed(uint64_t index, uint64_t term, Batch batch);

  // The batch that was proposed for this entry; empty when the entry is of
  // another leader, and then the callers are told.
  std::optional<Batch> TakeCommitted(uint64_t index, uint64_t term);

  // Gives each caller its answers.
  static void Answer(const Batch& batch,
                     const std::vector<wire::CommandAnswerT>& answers);

  // Tells all callers that nothing of theirs is known to be accepted.
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
