#ifndef DOTTERELSHIFT_APP_REGISTRATION_H_
#define DOTTERELSHIFT_APP_REGISTRATION_H_

#include <cstdint>  // for uint64_t
#include <string>   // for string

#include "dotterelshift/base/ids.h"                 // for HostRun
#include "dotterelshift/wire/commands_generated.h"  // for CommandT

namespace dotterelshift::app {

// What an answer of control says of the run that asked.
enum class IncarnationStatus {
  kUnchanged,   // nothing
  kRegistered,  // this run is the newest of its host
  kRaised,      // a later start is known: Command() is to be sent again
  kSuperseded,  // a later run has taken the host's name: this one must leave
};

struct RegistrationOptions {
  HostRun self;
  std::string data_centre;
  std::string address;  // for the other daemons
  // Whether a run of which nothing was accepted may take a number above the
  // newest one. Helps after the wall clock was set back between two starts;
  // only for a role that reads its incarnation from Self() each time.
  bool may_raise = false;
};

// The registration of an entry's run with control: the first command of a run,
// which proves the older runs of its host dead, and what the answers say of
// the run itself.
class Registration {
 public:
  explicit Registration(RegistrationOptions options);

  const HostRun& Self() const { return m_options.self; }
  bool Done() const { return m_done; }

  // The command that registers the run, under this number of the run.
  wire::CommandT Command(uint64_t sequence);

  // Takes any answer to a command of this run. Logs a raised incarnation, and
  // once that the run is superseded.
  IncarnationStatus OnAnswer(const wire::CommandAnswerT& answer);

 private:
  IncarnationStatus OnStale(Incarnation newest);

  RegistrationOptions m_options;
  uint64_t m_sequence = 0;  // of the command that registers
  bool m_done = false;
  bool m_superseded = false;
};

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_APP_REGISTRATION_H_
