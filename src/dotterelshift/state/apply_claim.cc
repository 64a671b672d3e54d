#include "dotterelshift/state/apply.h"     // for Apply
#include "dotterelshift/state/requests.h"  // for FindClaim

namespace dotterelshift::state {
namespace {

wire::ClaimState StateOf(const Context& context, const ClaimEntry& claim,
                         const wire::ClaimT& command) {
  if (claim.body_hash != command.body_hash)
    return wire::ClaimState::BodyDiffers;
  // The attempt that holds the claim may claim again, as it is dispatched at
  // most once.
  const bool own = claim.run == context.run && claim.attempt == command.attempt;
  switch (claim.progress) {
    case ClaimProgress::kRunning:
      if (own) return wire::ClaimState::Granted;
      return context.tables.runs[claim.run].dead
                 ? wire::ClaimState::OutcomeUnknown
                 : wire::ClaimState::Running;
    case ClaimProgress::kRan:
      return wire::ClaimState::AlreadyRan;
    case ClaimProgress::kUnknown:
      break;
  }
  return wire::ClaimState::OutcomeUnknown;
}

}  // namespace

void Apply(Context& context, const wire::ClaimT& command,
           wire::CommandAnswerT& answer) {
  Tables& tables = context.tables;
  const RequestDigest digest = DigestOf(command.team, command.request_key);
  wire::ClaimAnswerT body;
  const ClaimEntry* claim = FindClaim(tables, digest);
  if (claim != nullptr) {
    body.state = StateOf(context, *claim, command);
    body.holder = tables.runs[claim->run].id.host;
  } else if (IsExpired(tables, digest)) {
    body.state = wire::ClaimState::Expired;
    answer.error = static_cast<uint16_t>(ErrorKind::kKeyExpired);
  } else {
    body.state = wire::ClaimState::Granted;
    body.holder = context.id.host;
    AddClaim(tables, digest, command.request_key,
             {command.body_hash, command.attempt, context.run,
              ClaimProgress::kRunning});
  }
  Answer(answer, std::move(body));
}

}  // namespace dotterelshift::state
