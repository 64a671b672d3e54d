#ifndef DOTTERELSHIFT_MEMORY_ACCOUNT_H_
#define DOTTERELSHIFT_MEMORY_ACCOUNT_H_

#include <array>        // for array
#include <cstddef>      // for size_t
#include <cstdint>      // for uint8_t, uint64_t
#include <optional>     // for optional
#include <string_view>  // for string_view
#include <vector>       // for vector

#include "dotterelshift/base/time.h"  // for Instant

namespace dotterelshift::memory {

// What holds the bytes of a process.
enum class Use : uint8_t {
  kConnections,  // of callers, whether or not they carry a request
  kHeads,        // of requests, received in part or whole
  kBodies,       // of requests, received or about to be
  kUnread,       // arrived at the system, as their bodies have to wait
  kTransfers,    // requests that were sent on, without their bodies
  kResponses,    // of endpoints, held or not yet written to callers
  kPeers,        // queued for other daemons
  kRest,         // all else, as the allocator reports it
};
inline constexpr size_t kUses = 8;
std::string_view NameOf(Use use);

// What memory is wanted for. A claim further down is granted when one further
// up no longer is.
enum class Claim : uint8_t {
  kLargeRequest,    // a large body, or a large head in part
  kIdleConnection,  // a caller's that is kept for its next request
  kNewConnection,
  kRequest,  // with a small body or none
};
inline constexpr size_t kClaims = 4;

// Connections that can be closed without loss, to free their memory.
class IdleConnections {
 public:
  virtual ~IdleConnections() = default;
  // Since when the one that is idle for longest has been so. nullopt: there is
  // none.
  virtual std::optional<Instant> OldestIdle() const = 0;
  // Closes it, which returns its bytes to the account.
  virtual void CloseOldestIdle() = 0;
};

// The account of a process's memory, and what may still be added to it.
//
// Load pattern: a crowd of callers sends one request each and keeps its
// connection, or sends large bodies at the same time. Each of these is within
// its own bounds, and all of them together need more memory than the machine
// has, which ends the process and all that it carries. So everything that holds
// bytes is counted in one sum, and what may be added to it depends on what it
// is for: large requests wait first, or are refused, then idle connections are
// closed, then new connections are closed unread, then requests are refused.
// What was sent on to an endpoint never yields: a part of the memory is left to
// it and to what is lost between the allocator's blocks.
class Account {
 public:
  // The memory that the process may use, in bytes.
  explicit Account(uint64_t limit_bytes) : m_limit_bytes(limit_bytes) {}

  void Add(Use use, size_t bytes);
  void Remove(Use use, size_t bytes);
  // Replaces what is counted for a use.
  void Set(Use use, size_t bytes);
  // All bytes that the allocator has handed out. What no other use explains is
  // counted as kRest.
  void SetAllocated(size_t bytes);

  uint64_t Limit() const { return m_limit_bytes; }
  uint64_t Total() const { return m_total; }
  // The largest total so far.
  uint64_t Peak() const { return m_peak; }
  uint64_t Of(Use use) const { return m_bytes.at(static_cast<size_t>(use)); }

  // Whether so many more bytes may be added for this purpose.
  bool MayHold(Claim claim, size_t bytes) const;
  // The same, after idle connections were closed where that helps, those that
  // are idle for longest first. None is closed for a large request: it would
  // take hundreds of them.
  bool MakeRoom(Claim claim, size_t bytes);
  // Closes idle connections while there are more than memory is left for.
  void TrimIdle() { MakeRoom(Claim::kIdleConnection, 0); }

  uint64_t IdleClosed() const { return m_idle_closed; }
  uint64_t Denied(Claim claim) const {
    return m_denied.at(static_cast<size_t>(claim));
  }

  // The connections must outlive their registration.
  void Register(IdleConnections* connections);
  void Unregister(IdleConnections* connections);

 private:
  // The registered connections with the one that is idle for longest.
  IdleConnections* FindOldestIdle() const;

  const uint64_t m_limit_bytes;
  std::array<uint64_t, kUses> m_bytes{};
  uint64_t m_total = 0;
  uint64_t m_peak = 0;
  std::vector<IdleConnections*> m_idle;
  uint64_t m_idle_closed = 0;
  std::array<uint64_t, kClaims> m_denied{};
};

// Bytes that are counted in an account while this object lives.
class Holding {
 public:
  // Without an account nothing is counted.
  Holding(Account* account, Use use) : m_account(account), m_use(use) {}
  ~Holding() { Set(0); }
  Holding(const Holding&) = delete;
  Holding& operator=(const Holding&) = delete;

  void Set(size_t bytes);
  size_t Bytes() const { return m_bytes; }

 private:
  Account* const m_account;
  const Use m_use;
  size_t m_bytes = 0;
};

}  // namespace dotterelshift::memory

#endif  // DOTTERELSHIFT_MEMORY_ACCOUNT_H_
