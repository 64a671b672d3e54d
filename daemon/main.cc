// dotterelshiftd: one daemon of the fleet, in the role that its settings give
// it.
#include <sodium.h>         // for sodium_init
#include <tclap/CmdLine.h>  // for CmdLine

#include <csignal>   // for SIGTERM
#include <cstdio>    // for rename
#include <fstream>   // for ofstream
#include <iostream>  // for cerr
#include <string>    // for string

#include "dotterelshift/app/daemon.h"         // for MakeEntry
#include "dotterelshift/base/error.h"         // for Error
#include "dotterelshift/loop/loop.h"          // for Loop
#include "dotterelshift/platform/log.h"       // for StartLog
#include "dotterelshift/settings/settings.h"  // for ReadSettings

namespace {

using namespace dotterelshift;  // NOLINT(google-build-using-namespace): one
                                // short program

constexpr int kExitBadSettings = 2;
constexpr int kExitFailed = 1;

// Tells scripts which ports were chosen; whole or not there.
void WritePorts(const std::string& path, const app::Daemon& daemon) {
  if (path.empty()) return;
  const std::string partial = path + ".partial";
  std::ofstream(partial) << "{\"peer_port\": " << daemon.PeerPort()
                         << ", \"http_port\": " << daemon.HttpPort() << "}\n";
  if (std::rename(partial.c_str(), path.c_str()) != 0) {
    throw Error(ErrorKind::kBadSettings, "cannot write port_file " + path);
  }
}

platform::LogLevel LevelOf(const std::string& name) {
  if (name == "error") return platform::LogLevel::kError;
  return name == "warning" ? platform::LogLevel::kWarning
                           : platform::LogLevel::kInfo;
}

void Run(const settings::Settings& settings) {
  loop::Loop loop;
  const auto incarnation = static_cast<Incarnation>(loop.WallNow());
  const bool control = settings.role == wire::HostRole::Control;
  const auto daemon = control ? app::MakeControl(loop, settings, incarnation)
                              : app::MakeEntry(loop, settings, incarnation);
  const loop::SignalWatcher on_terminate(loop, SIGTERM,
                                         [&] { daemon->Shutdown(); });
  const loop::SignalWatcher on_interrupt(loop, SIGINT,
                                         [&] { daemon->Shutdown(); });
  WritePorts(settings.port_file, *daemon);
  platform::Log(platform::LogLevel::kInfo, "started",
                {{"peer_port", std::to_string(daemon->PeerPort())},
                 {"http_port", std::to_string(daemon->HttpPort())}});
  loop.Run();
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    TCLAP::CmdLine line("One daemon of a dotterelshift fleet.", ' ', "0.1");
    TCLAP::ValueArg<std::string> settings_path(
        "s", "settings", "YAML settings file", true, "", "FILE", line);
    line.parse(argc, argv);
    if (sodium_init() < 0)
      throw Error(ErrorKind::kInternal, "libsodium cannot start");
    const settings::Settings settings =
        settings::ReadSettings(settings_path.getValue());
    platform::StartLog(settings.host, LevelOf(settings.log_level));
    Run(settings);
    return 0;
  } catch (const Error& error) {
    std::cerr << "dotterelshiftd: " << RowOf(error.Kind()).name << ": "
              << error.what() << "\n";
    return error.Kind() == ErrorKind::kBadSettings ? kExitBadSettings
                                                   : kExitFailed;
  } catch (const std::exception& error) {
    std::cerr << "dotterelshiftd: " << error.what() << "\n";
    return kExitFailed;
  }
}
