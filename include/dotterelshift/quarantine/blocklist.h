#ifndef DOTTERELSHIFT_QUARANTINE_BLOCKLIST_H_
#define DOTTERELSHIFT_QUARANTINE_BLOCKLIST_H_

#include <cstdint>        // for uint64_t
#include <optional>       // for optional
#include <unordered_map>  // for unordered_map

#include "dotterelshift/base/time.h"              // for Instant
#include "dotterelshift/wire/frames_generated.h"  // for QuarantinePushT

namespace dotterelshift::quarantine {

struct BlocklistOptions {
  // How long a content stays blocked after control reported it. The expiry that
  // control sends is a time on control's wall clock, which the entry's cores do
  // not read. Reporting the same expiry again does not extend the block.
  Duration block_duration = 600s;
};

// Contents that control has quarantined. This entry refuses requests with such
// a content, whatever key they carry.
class Blocklist {
 public:
  explicit Blocklist(const BlocklistOptions& options = {})
      : m_options(options) {}

  // Updates one content from control; an expiry of 0 unblocks it.
  void OnEntry(const wire::SuspectAnswerT& entry, Instant now);
  void OnPush(const wire::QuarantinePushT& push, Instant now);

  // Remaining time for which the content is blocked; empty if it is not.
  std::optional<Duration> RemainingBlock(uint64_t content_hash,
                                         Instant now) const;

  // Removes expired blocks.
  void OnTimer(Instant now);
  size_t size() const { return m_blocks.size(); }

 private:
  struct Block {
    int64_t until_ms = 0;  // on control's wall clock
    Instant until;
  };
  BlocklistOptions m_options;
  std::unordered_map<uint64_t, Block> m_blocks;
};

}  // namespace dotterelshift::quarantine

#endif  // DOTTERELSHIFT_QUARANTINE_BLOCKLIST_H_
