#include "dotterelshift/app/process_memory.h"

#include <malloc.h>       // for mallinfo2
#include <sys/sysinfo.h>  // for sysinfo
#include <unistd.h>       // for sysconf

#include <algorithm>  // for min
#include <fstream>    // for ifstream
#include <string>     // for to_string

#include "dotterelshift/app/gauges.h"     // for SetGauges
#include "dotterelshift/telemetry/log.h"  // for Log

namespace dotterelshift::app {
namespace {

constexpr uint64_t kMegabyte = 1'000'000;

constexpr Duration kLookInterval = 1s;

uint64_t MachineBytes() {
  struct sysinfo machine {};
  if (sysinfo(&machine) != 0) return UINT64_MAX;
  return static_cast<uint64_t>(machine.totalram) * machine.mem_unit;
}

uint64_t LimitOf(const settings::Settings& settings) {
  if (settings.memory_mb == 0) return MachineBytes();
  return std::min(settings.memory_mb * kMegabyte, MachineBytes());
}

size_t AllocatedBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

// Memory of the process that is no part of a file, in bytes.
uint64_t AnonymousBytes() {
  uint64_t all = 0;
  uint64_t resident = 0;
  uint64_t shared = 0;
  std::ifstream("/proc/self/statm") >> all >> resident >> shared;
  return (resident - std::min(resident, shared)) *
         static_cast<uint64_t>(sysconf(_SC_PAGESIZE));
}

}  // namespace

ProcessMemory::ProcessMemory(const settings::Settings& settings)
    : m_account(LimitOf(settings)) {}

void ProcessMemory::OnTick(const peers::Hub& hub, Instant now) {
  m_account.Set(memory::Use::kPeers, hub.Backlogs().bytes);
  if (now < m_next_look) return;
  m_next_look = now + kLookInterval;
  m_account.SetAllocated(AllocatedBytes());
  LogShortage();
}

uint64_t ProcessMemory::TurnedAway() const {
  uint64_t all = m_account.IdleClosed();
  for (size_t i = 0; i < memory::kClaims; ++i)
    all += m_account.Denied(static_cast<memory::Claim>(i));
  return all;
}

void ProcessMemory::LogShortage() {
  const uint64_t turned_away = TurnedAway();
  const bool is_short = turned_away != m_logged;
  if (!is_short && !m_short) return;
  m_logged = turned_away;
  m_short = is_short;
  const auto text = [](uint64_t number) { return std::to_string(number); };
  const auto denied = [&](memory::Claim claim) {
    return text(m_account.Denied(claim));
  };
  const auto held = [&](memory::Use use) { return text(m_account.Of(use)); };
  telemetry::Log(
      is_short ? telemetry::LogLevel::kWarning : telemetry::LogLevel::kInfo,
      is_short ? "memory_short" : "memory_clear",
      {{"limit", text(m_account.Limit())},
       {"total", text(m_account.Total())},
       {"process", text(AnonymousBytes())},
       {"connections", held(memory::Use::kConnections)},
       {"heads", held(memory::Use::kHeads)},
       {"bodies", held(memory::Use::kBodies)},
       {"transfers", held(memory::Use::kTransfers)},
       {"responses", held(memory::Use::kResponses)},
       {"peers", held(memory::Use::kPeers)},
       {"rest", held(memory::Use::kRest)},
       {"idle_closed", text(m_account.IdleClosed())},
       {"bodies_denied", denied(memory::Claim::kLargeRequest)},
       {"connections_denied", denied(memory::Claim::kNewConnection)},
       {"requests_denied", denied(memory::Claim::kRequest)}});
}

void ProcessMemory::SetMetrics(telemetry::Metrics& metrics) const {
  for (size_t i = 0; i < memory::kUses; ++i) {
    const auto use = static_cast<memory::Use>(i);
    const std::string name =
        "dotterelshift_memory_" + std::string(NameOf(use)) + "_bytes";
    metrics.SetGauge(name, "Counted in the account of memory, by use",
                     Number(m_account.Of(use)));
  }
  SetGauges(metrics, {{"dotterelshift_memory_account_bytes", "All of these",
                       Number(m_account.Total())},
                      {"dotterelshift_memory_account_peak_bytes",
                       "The most of these", Number(m_account.Peak())},
                      {"dotterelshift_memory_limit_bytes",
                       "What the process may use", Number(m_account.Limit())},
                      {"dotterelshift_memory_process_bytes",
                       "As the system reports it, without files",
                       Number(AnonymousBytes())}});
  metrics.SetCounter("dotterelshift_idle_connections_closed_total",
                     "Closed for their memory, those idle for longest first",
                     Number(m_account.IdleClosed()));
}

}  // namespace dotterelshift::app
