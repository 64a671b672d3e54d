#ifndef DOTTERELSHIFT_APP_SPOOL_SENDER_H_
#define DOTTERELSHIFT_APP_SPOOL_SENDER_H_

#include <map>     // for map
#include <string>  // for string
#include <tuple>   // for tuple
#include <vector>  // for vector

#include "dotterelshift/wire/commands_generated.h"  // for CommandT
#include "dotterelshift/wire/frames_generated.h"    // for SpoolT

namespace dotterelshift::app {

// Encode and decode a record of the store's spool. DecodeSpool throws
// Error(kStorageDamaged) if the record is unreadable.
std::string EncodeSpool(const wire::SpoolT& spool);
wire::SpoolT DecodeSpool(const std::string& bytes);

// Spooled commands that the leader has not answered yet. They keep their ids,
// so that proposing them again is idempotent.
class SpoolSender {
 public:
  void Add(const wire::SpoolT& spool);
  bool Empty() const { return m_waiting.empty(); }

  // Returns the next commands to propose.
  std::vector<wire::CommandT> Some() const;

  // Removes the commands that the log has decided according to their answers.
  // Returns true if this removed the last one.
  bool OnAnswers(const std::vector<wire::CommandAnswerT>& answers);

 private:
  using Key = std::tuple<std::string, uint64_t, uint64_t>;
  static Key KeyOf(const wire::CommandIdT& id) {
    return {id.host, id.incarnation, id.sequence};
  }
  std::map<Key, wire::CommandT> m_waiting;
};

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_APP_SPOOL_SENDER_H_
