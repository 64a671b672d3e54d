#include "dotterelshift/memory/account.h"

#include <algorithm>  // for max, min
#include <utility>    // for exchange

namespace dotterelshift::memory {
namespace {

// Shares of the limit up to which memory is granted, by claim. The rest is for
// requests that were sent on, and for what the allocator cannot use.
constexpr std::array<double, kClaims> kShares = {0.55, 0.62, 0.66, 0.70};

// Callers may always use so much, by the same shares: where the rest of the
// process needs more than its limit, closing their connections helps nobody.
constexpr uint64_t kLeastForCallers = 8'000'000;

}  // namespace

std::string_view NameOf(Use use) {
  constexpr std::array<std::string_view, kUses> kNames = {
      "connections", "heads",     "bodies", "unread",
      "transfers",   "responses", "peers",  "rest"};
  return kNames.at(static_cast<size_t>(use));
}

void Account::Add(Use use, size_t bytes) {
  m_bytes.at(static_cast<size_t>(use)) += bytes;
  m_total += bytes;
  m_peak = std::max(m_peak, m_total);
}

void Account::Remove(Use use, size_t bytes) {
  uint64_t& held = m_bytes.at(static_cast<size_t>(use));
  const uint64_t removed = std::min<uint64_t>(held, bytes);
  held -= removed;
  m_total -= removed;
}

void Account::Set(Use use, size_t bytes) {
  Remove(use, Of(use));
  Add(use, bytes);
}

void Account::SetAllocated(size_t bytes) {
  // Unread bytes are the system's, not the allocator's.
  const uint64_t explained = m_total - Of(Use::kRest) - Of(Use::kUnread);
  Set(Use::kRest, bytes - std::min<uint64_t>(bytes, explained));
}

bool Account::MayHold(Claim claim, size_t bytes) const {
  const double share = kShares.at(static_cast<size_t>(claim));
  const uint64_t callers = m_total - Of(Use::kRest) - Of(Use::kPeers);
  const auto fits = [&](uint64_t held, uint64_t limit) {
    return static_cast<double>(held + bytes) <=
           share * static_cast<double>(limit);
  };
  return fits(m_total, m_limit_bytes) || fits(callers, kLeastForCallers);
}

bool Account::MakeRoom(Claim claim, size_t bytes) {
  while (!MayHold(claim, bytes)) {
    IdleConnections* const oldest =
        claim == Claim::kLargeRequest ? nullptr : FindOldestIdle();
    if (oldest == nullptr) {
      ++m_denied.at(static_cast<size_t>(claim));
      return false;
    }
    oldest->CloseOldestIdle();
    ++m_idle_closed;
  }
  return true;
}

void Account::Register(IdleConnections* connections) {
  m_idle.push_back(connections);
}

void Account::Unregister(IdleConnections* connections) {
  std::erase(m_idle, connections);
}

IdleConnections* Account::FindOldestIdle() const {
  IdleConnections* found = nullptr;
  std::optional<Instant> oldest;
  for (IdleConnections* const connections : m_idle) {
    const std::optional<Instant> since = connections->OldestIdle();
    if (!since || (oldest && *oldest <= *since)) continue;
    oldest = since;
    found = connections;
  }
  return found;
}

void Holding::Set(size_t bytes) {
  const size_t before = std::exchange(m_bytes, bytes);
  if (m_account == nullptr) return;
  if (bytes > before) m_account->Add(m_use, bytes - before);
  if (bytes < before) m_account->Remove(m_use, before - bytes);
}

}  // namespace dotterelshift::memory
