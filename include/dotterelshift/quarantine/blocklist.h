#ifndef DOTTERELSHIFT_QUARANTINE_BLOCKLIST_H_
#define DOTTERELSHIFT_QUARANTINE_BLOCKLIST_H_

#include <cstdint>        // for uint64_t
#include <optional>       // for optional
#include <unordered_map>  // for unordered_map

#include "dotterelshift/base/time.h"              // for Instant
#include "dotterelshift/wire/frames_generated.h"  // for QuarantinePushT

namespace dotterelshift::quarantine {

struct BlocklistOptions {
  // How long a content stays blocked after control named it. The end that
  // control gives is on its wall clock, which no core reads; naming the same
  // end again does not make it longer.
  Duration hold = 600s;
};

// The contents that control has quarantined: refused on this entry whatever
// key they come with.
class Blocklist {
 public:
  explicit Blocklist(const BlocklistOptions& options = {})
      : m_options(options) {}

  // News from control of one content; an end of 0 clears it.
  void OnEntry(const wire::SuspectAnswerT& entry, Instant now);
  void OnPush(const wire::QuarantinePushT& push, Instant now);

  // How long the content is still blocked; nothing when it is not.
  std::optional<Duration> BlockedFor(uint64_t content_hash, Instant now) const;

  // Forgets what is over.
  void OnTimer(Instant now);
  size_t size() const { return m_blocks.size(); }

 private:
  struct Block {
    int64_t until_ms = 0;  // control's wall clock
    Instant until;
  };
  BlocklistOptions m_options;
  std::unordered_map<uint64_t, Block> m_blocks;
};

}  // namespace dotterelshift::quarantine

#endif  // DOTTERELSHIFT_QUARANTINE_BLOCKLIST_H_
