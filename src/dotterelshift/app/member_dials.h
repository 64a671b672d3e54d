#ifndef DOTTERELSHIFT_APP_MEMBER_DIALS_H_
#define DOTTERELSHIFT_APP_MEMBER_DIALS_H_

#include <map>     // for map
#include <set>     // for set
#include <string>  // for string
#include <vector>  // for vector

#include "dotterelshift/base/time.h"  // for Instant

namespace dotterelshift::app {

// Decides which control hosts are no longer dialled.
//
// Load pattern: hosts of control are replaced in series for hours; without an
// end to it, each daemon would dial all that ever were members.
class MemberDials {
 public:
  void OnDialled(const std::string& address, Instant now) {
    m_last_wanted[address] = now;
  }
  // Returns the addresses that have not been wanted for a while, once.
  std::vector<std::string> TakeUnwanted(const std::set<std::string>& wanted,
                                        Instant now);

 private:
  std::map<std::string, Instant> m_last_wanted;
};

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_APP_MEMBER_DIALS_H_
