#ifndef DOTTERELSHIFT_SRC_APP_GATEWAY_OPTIONS_H_
#define DOTTERELSHIFT_SRC_APP_GATEWAY_OPTIONS_H_

#include "dotterelshift/app/control_link.h"        // for ControlLinkOptions
#include "dotterelshift/app/gateway_traffic.h"     // for ResponseBounds
#include "dotterelshift/app/registration.h"        // for RegistrationOptions
#include "dotterelshift/directory/directory.h"     // for DirectoryOptions
#include "dotterelshift/directory/spread.h"        // for SpreadOptions
#include "dotterelshift/gateway/core.h"            // for CoreOptions
#include "dotterelshift/gateway/endpoint_paths.h"  // for EndpointPathsOptions
#include "dotterelshift/gateway/link_admission.h"  // for LinkAdmissionOptions
#include "dotterelshift/gateway/link_load_shedder.h"  // for LinkLoadShedderOptions
#include "dotterelshift/gateway/load_update_pacer.h"  // for LoadUpdatePacerOptions
#include "dotterelshift/gateway/send_pacer.h"         // for SendPacerOptions
#include "dotterelshift/settings/settings.h"          // for Settings

namespace dotterelshift::app {

// Options for the components of an entry under published routes.
RegistrationOptions RegistrationOptionsOf(const settings::Settings& settings,
                                          Incarnation incarnation);
ControlLinkOptions ControlLinkOptionsOf(const HostRun& self);
directory::DirectoryOptions DirectoryOptionsOf();
directory::SpreadOptions SpreadOptionsOf(const HostId& self);
gateway::FleetLoadOptions LoadOptionsOf(const settings::Settings& settings);
gateway::FleetLimitsOptions LimitOptionsOf(const settings::Settings& settings);
gateway::RetryShareOptions RetryOptionsOf(const settings::Settings& settings);
gateway::LinkAdmissionOptions AdmissionOptionsOf(
    const settings::Settings& settings);
gateway::LinkLoadShedderOptions LinkOptionsOf(
    const settings::Settings& settings);
gateway::LoadUpdatePacerOptions LoadUpdatePacerOptionsOf(
    const settings::Settings& settings);
gateway::EndpointPathsOptions PathOptionsOf(const settings::Settings& settings);
gateway::SendPacerOptions SendPacerOptionsOf(
    const settings::Settings& settings);
gateway::CoreOptions CoreOptionsOf(Incarnation incarnation);
ResponseBounds ResponseBoundsOf(const settings::Settings& settings);

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_SRC_APP_GATEWAY_OPTIONS_H_
