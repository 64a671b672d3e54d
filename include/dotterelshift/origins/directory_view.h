#ifndef DOTTERELSHIFT_ORIGINS_DIRECTORY_VIEW_H_
#define DOTTERELSHIFT_ORIGINS_DIRECTORY_VIEW_H_

#include <optional>  // for optional

#include "dotterelshift/base/time.h"  // for Instant

namespace dotterelshift::origins {

struct DirectoryViewOptions {
  // A leader must have confirmed contact with this entry within this time: two
  // heartbeats.
  Duration max_contact_age = 2s;
  // After an interruption of up to this long the view counts as continuous: an
  // endpoint takes longer from its start until it has left the directory.
  Duration max_gap = 5s;
};

// What this entry and control hold of the directory at one time.
struct DirectoryContact {
  bool synced = false;  // this entry has the records of a control host
  std::optional<Instant> confirmed;  // last contact with a leader
};

// Since when an entry has been told of all endpoints of the fleet.
//
// Load pattern: an entry starts, or is cut off from control, while endpoints of
// a new version begin to serve. It must not take the one version that it knows
// for the only one. An endpoint that starts again under its id leaves no trace
// in the directory of what it was before, so that only what an entry was told
// itself counts, however long control has had its directory.
class DirectoryView {
 public:
  explicit DirectoryView(const DirectoryViewOptions& options = {})
      : m_options(options) {}

  // To be called regularly.
  void Update(const DirectoryContact& contact, Instant now);
  // nullopt: there may be endpoints that it does not know of now.
  std::optional<Instant> CompleteSince() const {
    return m_is_current ? m_since : std::nullopt;
  }

 private:
  const DirectoryViewOptions m_options;
  bool m_is_current = false;
  std::optional<Instant> m_since;
  Instant m_last_current{};
};

}  // namespace dotterelshift::origins

#endif  // DOTTERELSHIFT_ORIGINS_DIRECTORY_VIEW_H_
