#include "dotterelshift/app/gateway_options.h"

namespace dotterelshift::app {
namespace {

constexpr double kBytesPerMegabit = 1'000'000.0 / 8;

}  // namespace

RegistrationOptions RegistrationOptionsOf(const settings::Settings& settings,
                                          Incarnation incarnation) {
  RegistrationOptions options;
  options.self = {settings.host, incarnation};
  options.data_centre = settings.data_centre;
  options.address = settings.address;
  options.may_raise = true;
  return options;
}

directory::DirectoryOptions DirectoryOptionsOf() {
  directory::DirectoryOptions options;
  // Control decides which endpoints are silent. An entry that is cut off from
  // control keeps using the endpoints it knows, judged by its own observations.
  options.silent_after = 60s;
  options.forget_after = 120s;
  return options;
}

directory::SpreadOptions SpreadOptionsOf(const HostId& self) {
  directory::SpreadOptions options;
  options.self = self;
  options.fan_out = 0;  // entries only receive gossip
  return options;
}

ControlLinkOptions ControlLinkOptionsOf(const HostRun& self) {
  ControlLinkOptions options;
  options.self = self;
  options.reports_answered_below = true;
  return options;
}

gateway::FleetLoadOptions LoadOptionsOf(const settings::Settings& settings) {
  gateway::FleetLoadOptions options;
  options.data_centre = settings.data_centre;
  return options;
}

gateway::FleetLimitsOptions LimitOptionsOf(const settings::Settings& settings) {
  gateway::FleetLimitsOptions options;
  options.self = settings.host;
  options.data_centre = settings.data_centre;
  return options;
}

gateway::RetryShareOptions RetryOptionsOf(const settings::Settings& settings) {
  gateway::RetryShareOptions options;
  options.ratio = settings.retry_ratio;
  options.slack = settings.retry_slack;
  options.window = settings.retry_window;
  return options;
}

gateway::LinkAdmissionOptions AdmissionOptionsOf(
    const settings::Settings& settings) {
  gateway::LinkAdmissionOptions options;
  options.bytes_per_second = settings.link_mbit * kBytesPerMegabit;
  return options;
}

gateway::LinkLoadShedderOptions LinkOptionsOf(
    const settings::Settings& settings) {
  gateway::LinkLoadShedderOptions options;
  options.bytes_per_second = settings.link_mbit * kBytesPerMegabit;
  return options;
}

gateway::LoadUpdatePacerOptions LoadUpdatePacerOptionsOf(
    const settings::Settings& settings) {
  gateway::LoadUpdatePacerOptions options;
  options.bytes_per_second = settings.link_mbit * kBytesPerMegabit;
  return options;
}

gateway::SendPacerOptions SendPacerOptionsOf(
    const settings::Settings& settings) {
  gateway::SendPacerOptions options;
  options.bytes_per_second = settings.link_mbit * kBytesPerMegabit;
  return options;
}

gateway::EndpointPathsOptions PathOptionsOf(
    const settings::Settings& settings) {
  gateway::EndpointPathsOptions options;
  options.data_centre = settings.data_centre;
  return options;
}

gateway::CoreOptions CoreOptionsOf(Incarnation incarnation) {
  gateway::CoreOptions options;
  options.seed = incarnation;
  return options;
}

ResponseBounds ResponseBoundsOf(const settings::Settings& settings) {
  return {settings.max_response_bytes, settings.max_held_response_bytes};
}

}  // namespace dotterelshift::app
