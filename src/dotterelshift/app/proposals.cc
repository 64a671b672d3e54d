#include "dotterelshift/app/proposals.h"

#include <iterator>  // for make_move_iterator
#include <memory>    // for make_unique
#include <utility>   // for move

#include "dotterelshift/base/error.h"  // for Error

namespace dotterelshift::app {

namespace {

void FailBatch(const Proposals::Batch& batch, ErrorKind error) {
  for (const auto& [commands, callback] : batch.callbacks)
    if (callback) callback(error, {});
}

}  // namespace

std::string EncodeBatch(const wire::CommandBatchT& batch) {
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(wire::CommandBatch::Pack(builder, &batch));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

wire::CommandBatchT DecodeBatch(const std::vector<uint8_t>& bytes) {
  constexpr flatbuffers::uoffset_t kMaxDepth = 64;
  constexpr flatbuffers::uoffset_t kMaxTables = 100'000'000;
  flatbuffers::Verifier verifier(bytes.data(), bytes.size(), kMaxDepth,
                                 kMaxTables);
  if (bytes.empty() || !verifier.VerifyBuffer<wire::CommandBatch>(nullptr))
    throw Error(ErrorKind::kStorageDamaged,
                "log entry is not a valid command batch");
  wire::CommandBatchT batch;
  flatbuffers::GetRoot<wire::CommandBatch>(bytes.data())->UnPackTo(&batch);
  return batch;
}

size_t Proposals::CountUnbatched() const {
  size_t count = 0;
  for (const auto& [commands, callback] : m_waiting) count += commands.size();
  return count;
}

size_t Proposals::CountPending() const {
  size_t count = 0;
  for (const auto& [index, entry] : m_pending)
    count += entry.batch.content.commands.size();
  return count;
}

void Proposals::Add(std::vector<wire::CommandT> commands,
                    ProposalCallback callback) {
  m_waiting.emplace_back(std::move(commands), std::move(callback));
}

std::vector<Proposals::Batch> Proposals::TakeUnbatched(size_t max_commands) {
  std::vector<Batch> batches;
  for (auto& [commands, callback] : std::exchange(m_waiting, {})) {
    const bool full =
        batches.empty() ||
        batches.back().content.commands.size() + commands.size() > max_commands;
    if (full) batches.emplace_back();
    Batch& batch = batches.back();
    batch.callbacks.emplace_back(commands.size(), std::move(callback));
    for (wire::CommandT& command : commands)
      batch.content.commands.push_back(
          std::make_unique<wire::CommandT>(std::move(command)));
  }
  return batches;
}

void Proposals::OnProposed(uint64_t index, uint64_t term, Batch batch) {
  m_pending.insert_or_assign(index, Pending{term, std::move(batch)});
}

std::optional<Proposals::Batch> Proposals::TakeCommitted(uint64_t index,
                                                         uint64_t term) {
  const auto found = m_pending.find(index);
  if (found == m_pending.end()) return std::nullopt;
  Pending pending = std::move(found->second);
  m_pending.erase(found);
  if (pending.term == term) return std::move(pending.batch);
  FailBatch(pending.batch, ErrorKind::kNotLeader);
  return std::nullopt;
}

void Proposals::Answer(const Batch& batch,
                       const std::vector<wire::CommandAnswerT>& answers) {
  auto next = answers.begin();
  for (const auto& [commands, callback] : batch.callbacks) {
    const auto end = next + static_cast<std::ptrdiff_t>(commands);
    if (callback) callback(ErrorKind::kNone, {next, end});
    next = end;
  }
}

void Proposals::FailAll(ErrorKind error) {
  // The callbacks may propose again.
  const auto waiting = std::exchange(m_waiting, {});
  const auto pending = std::exchange(m_pending, {});
  for (const auto& [index, entry] : pending) FailBatch(entry.batch, error);
  for (const auto& [commands, callback] : waiting)
    if (callback) callback(error, {});
}

}  // namespace dotterelshift::app
