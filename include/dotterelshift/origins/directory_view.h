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
  // Since when that leader has had its directory.
  std::optional<Instant> leader_since;
};

// Since when an entry has known of all endpoints of the fleet.
//
// Load pattern: an entry starts, or is cut off from control, while endpoints of
// a new version begin to serve. It must not take the one version that it knows
// for the only one.
class DirectoryView {
 public:
  explicit DirectoryView(const DirectoryViewOptions& options = {})
      : m_options(options) {}

  // To be called regularly.
  void Update(const DirectoryContact& contact, Instant now);
  // nullopt: there may be endpoints that it does not know of now.
  std::optional<Instant> CompleteSince() const { return m_complete_since; }

 private:
  const DirectoryViewOptions m_options;
  std::optional<Instant> m_own_since;
  Instant m_last_current{};
  std::optional<Instant> m_complete_since;
};

}  // namespace dotterelshift::origins

#endif  // DOTTERELSHIFT_ORIGINS_DIRECTORY_VIEW_H_
