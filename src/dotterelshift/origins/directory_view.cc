#include "dotterelshift/origins/directory_view.h"

namespace dotterelshift::origins {

void DirectoryView::Update(const DirectoryContact& contact, Instant now) {
  m_is_current = contact.synced && contact.confirmed &&
                 now - *contact.confirmed <= m_options.max_contact_age;
  if (!m_is_current) return;
  const bool continues = m_since && now - m_last_current <= m_options.max_gap;
  if (!continues) m_since = now;
  m_last_current = now;
}

}  // namespace dotterelshift::origins
