#include "dotterelshift/app/spool_sender.h"

#include "dotterelshift/base/error.h"  // for Error

namespace dotterelshift::app {

namespace {

constexpr size_t kMaxAtOnce = 512;

// Whether the log itself gave the answer, rather than a failure to commit.
bool IsLogDecision(const wire::CommandAnswerT& answer) {
  const auto error = static_cast<ErrorKind>(answer.error);
  return error != ErrorKind::kNotLeader && error != ErrorKind::kNoQuorum &&
         error != ErrorKind::kStorageFull && error != ErrorKind::kStorageFailed;
}

}  // namespace

std::string EncodeSpool(const wire::SpoolT& spool) {
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(wire::Spool::Pack(builder, &spool));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

wire::SpoolT DecodeSpool(const std::string& bytes) {
  const auto* data = reinterpret_cast<const uint8_t*>(bytes.data());
  flatbuffers::Verifier verifier(data, bytes.size());
  if (bytes.empty() || !verifier.VerifyBuffer<wire::Spool>(nullptr))
    throw Error(ErrorKind::kStorageDamaged, "a spool record cannot be read");
  wire::SpoolT spool;
  flatbuffers::GetRoot<wire::Spool>(data)->UnPackTo(&spool);
  return spool;
}

void SpoolSender::Add(const wire::SpoolT& spool) {
  for (const auto& command : spool.commands)
    if (command->id != nullptr)
      m_waiting.insert_or_assign(KeyOf(*command->id), *command);
}

std::vector<wire::CommandT> SpoolSender::Some() const {
  std::vector<wire::CommandT> some;
  for (const auto& [key, command] : m_waiting) {
    if (some.size() == kMaxAtOnce) break;
    some.push_back(command);
  }
  return some;
}

bool SpoolSender::OnAnswers(const std::vector<wire::CommandAnswerT>& answers) {
  const bool had_some = !m_waiting.empty();
  for (const wire::CommandAnswerT& answer : answers)
    if (answer.id != nullptr && IsLogDecision(answer))
      m_waiting.erase(KeyOf(*answer.id));
  return had_some && m_waiting.empty();
}

}  // namespace dotterelshift::app
