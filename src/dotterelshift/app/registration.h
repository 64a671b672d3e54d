#ifndef DOTTERELSHIFT_APP_REGISTRATION_H_
#define DOTTERELSHIFT_APP_REGISTRATION_H_

#include <cstdint>  // for uint64_t
#include <string>   // for string

#include "dotterelshift/base/ids.h"                 // for HostRun
#include "dotterelshift/wire/commands_generated.h"  // for CommandT

namespace dotterelshift::app {

// Status of an incarnation according to control's answer to its command.
enum class IncarnationStatus {
  kUnchanged,   // no new information
  kRegistered,  // this incarnation is the newest of its host
  kRaised,      // a newer one is known: Command() must be sent again
  kSuperseded,  // a newer one has taken the host's name: this one must stop
};

struct RegistrationOptions {
  HostRun self;
  std::string data_centre;
  std::string address;  // at which the other daemons connect
  // Whether this incarnation may raise its number above the newest known one
  // while it is not registered. Needed if the wall clock was set back between
  // two starts. Only for a role that reads its incarnation from Self()
  // each time.
  bool may_raise = false;
};

// Registers an entry's incarnation with control and tracks its status. The
// registration is the first command of an incarnation and proves that older
// incarnations of its host are dead.
class Registration {
 public:
  explicit Registration(RegistrationOptions options);

  const HostRun& Self() const { return m_options.self; }
  bool Done() const { return m_done; }

  // Returns the command that registers the incarnation; `sequence` is the
  // command's number within the incarnation.
  wire::CommandT Command(uint64_t sequence);

  // Evaluates an answer to any command of this incarnation. Logs that the
  // incarnation was raised and, once only, that it is superseded.
  IncarnationStatus OnAnswer(const wire::CommandAnswerT& answer);

 private:
  IncarnationStatus OnStale(Incarnation newest);

  RegistrationOptions m_options;
  uint64_t m_sequence = 0;  // of the registration command
  bool m_done = false;
  bool m_superseded = false;
};

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_APP_REGISTRATION_H_
