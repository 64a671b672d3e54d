#ifndef DOTTERELSHIFT_SRC_APP_PROCESS_MEMORY_H_
#define DOTTERELSHIFT_SRC_APP_PROCESS_MEMORY_H_

#include <cstdint>  // for uint64_t

#include "dotterelshift/base/time.h"          // for Instant
#include "dotterelshift/memory/account.h"     // for Account
#include "dotterelshift/peers/hub.h"          // for Hub
#include "dotterelshift/settings/settings.h"  // for Settings
#include "dotterelshift/telemetry/metrics.h"  // for Metrics

namespace dotterelshift::app {

// The memory of this process: its account, and what the system and the
// allocator say of it. Logs when the account has to turn something away.
class ProcessMemory {
 public:
  explicit ProcessMemory(const settings::Settings& settings);

  memory::Account& Account() { return m_account; }
  // To be called several times a second.
  void OnTick(const peers::Hub& hub, Instant now);
  void SetMetrics(telemetry::Metrics& metrics) const;

 private:
  // What the account has turned away since the start.
  uint64_t TurnedAway() const;
  void LogShortage();

  memory::Account m_account;
  Instant m_next_look{};
  uint64_t m_logged = 0;  // turned away, as of the last line
  bool m_short = false;
};

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_SRC_APP_PROCESS_MEMORY_H_
