#include "dotterelshift/app/member_dials.h"

namespace dotterelshift::app {
namespace {

// A host that is not a member may be about to join: it is named by others
// before the log of this one says so.
constexpr Duration kKeepTime = 30s;

}  // namespace

std::vector<std::string> MemberDials::TakeUnwanted(
    const std::set<std::string>& wanted, Instant now) {
  std::vector<std::string> unwanted;
  for (auto& [address, last_wanted] : m_last_wanted) {
    if (wanted.contains(address)) last_wanted = now;
    if (now - last_wanted >= kKeepTime) unwanted.push_back(address);
  }
  for (const std::string& address : unwanted) m_last_wanted.erase(address);
  return unwanted;
}

}  // namespace dotterelshift::app
