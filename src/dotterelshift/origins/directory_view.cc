#include "dotterelshift/origins/directory_view.h"

#include <algorithm>  // for min

namespace dotterelshift::origins {

void DirectoryView::Update(const DirectoryContact& contact, Instant now) {
  const bool current = contact.synced && contact.confirmed &&
                       now - *contact.confirmed <= m_options.max_contact_age;
  m_complete_since.reset();
  if (!current) return;
  const bool continues =
      m_own_since && now - m_last_current <= m_options.max_gap;
  if (!continues) m_own_since = now;
  m_last_current = now;
  // Control also tells of endpoints that left before this entry was connected.
  m_complete_since =
      std::min(*m_own_since, contact.leader_since.value_or(*m_own_since));
}

}  // namespace dotterelshift::origins
