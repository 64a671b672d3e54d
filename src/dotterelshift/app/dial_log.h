#ifndef DOTTERELSHIFT_SRC_APP_DIAL_LOG_H_
#define DOTTERELSHIFT_SRC_APP_DIAL_LOG_H_

#include "dotterelshift/peers/hub.h"  // for DialReport

namespace dotterelshift::app {

// Logs how an attempt to connect to another daemon ended. Of the failed
// attempts in a row to one address, only the first, second, fourth, eighth and
// so on are logged, so that unreachable addresses cost few lines.
void LogDial(const peers::DialReport& report);

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_SRC_APP_DIAL_LOG_H_
