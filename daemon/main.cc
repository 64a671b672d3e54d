// dotterelshiftd: runs one daemon of the fleet in the role set in its settings
// file.
#include <sodium.h>         // for sodium_init
#include <sys/stat.h>       // for stat
#include <tclap/CmdLine.h>  // for CmdLine

#include <csignal>   // for SIGTERM
#include <cstdio>    // for rename
#include <fstream>   // for ofstream
#include <iostream>  // for cerr
#include <memory>    // for unique_ptr
#include <string>    // for string
#include <utility>   // for move

#include "dotterelshift/app/daemon.h"         // for MakeEntry
#include "dotterelshift/app/slow_turns.h"     // for SlowIterationLog
#include "dotterelshift/base/error.h"         // for Error
#include "dotterelshift/loop/loop.h"          // for Loop
#include "dotterelshift/loop/turn_watch.h"    // for IterationWatcher
#include "dotterelshift/settings/settings.h"  // for ReadSettings
#include "dotterelshift/telemetry/log.h"      // for StartLog
#include "platform/control_api.h"             // for MakeControlApi
#include "platform/dialect.h"                 // for MakeDialect

namespace {

using namespace dotterelshift;  // NOLINT(google-build-using-namespace): one
                                // short program

constexpr int kExitBadSettings = 2;
constexpr int kExitFailed = 1;

// Writes the bound ports to `path`, for scripts. The file is renamed into
// place, so that readers never see a partial one.
void WritePorts(const std::string& path, const app::Daemon& daemon) {
  if (path.empty()) return;
  const std::string partial = path + ".partial";
  std::ofstream(partial) << "{\"peer_port\": " << daemon.PeerPort()
                         << ", \"http_port\": " << daemon.HttpPort() << "}\n";
  if (std::rename(partial.c_str(), path.c_str()) != 0) {
    throw Error(ErrorKind::kBadSettings, "cannot write port_file " + path);
  }
}

telemetry::LogLevel ParseLogLevel(const std::string& name) {
  if (name == "error") return telemetry::LogLevel::kError;
  return name == "warning" ? telemetry::LogLevel::kWarning
                           : telemetry::LogLevel::kInfo;
}

std::unique_ptr<app::Daemon> MakeDaemon(loop::Loop& loop,
                                        const settings::Settings& settings,
                                        Incarnation incarnation) {
  if (settings.role == wire::HostRole::Control) {
    return app::MakeControl(
        loop, settings, incarnation,
        settings.gateway ? adapter::MakeControlApi() : nullptr);
  }
  if (!settings.gateway) return app::MakeEntry(loop, settings, incarnation);
  return app::MakeGatewayEntry(loop, settings, incarnation,
                               adapter::MakeDialect());
}

// Reloads the settings file on SIGHUP and when its modification time changes.
// If the file is invalid, the error is logged and nothing changes.
class SettingsWatcher {
 public:
  SettingsWatcher(loop::Loop& loop, std::string path, app::Daemon& daemon)
      : m_path(std::move(path)),
        m_daemon(daemon),
        m_changed(ModificationTime(m_path)),
        m_on_hangup(loop, SIGHUP, [this] { Reload(); }),
        m_timer(loop, [this] { ReloadIfModified(); }) {
    m_timer.ArmIn(kSettingsPollInterval);
  }

 private:
  static constexpr Duration kSettingsPollInterval = 1s;

  // Time of the file's last modification in nanoseconds since 1970; 0 when it
  // cannot be read.
  static int64_t ModificationTime(const std::string& path) {
    struct stat status {};
    if (stat(path.c_str(), &status) != 0) return 0;
    constexpr int64_t kSecond = 1'000'000'000;
    return status.st_mtim.tv_sec * kSecond + status.st_mtim.tv_nsec;
  }

  void ReloadIfModified() {
    m_timer.ArmIn(kSettingsPollInterval);
    if (ModificationTime(m_path) != m_changed) Reload();
  }

  void Reload() {
    m_changed = ModificationTime(m_path);
    try {
      m_daemon.Reload(settings::ReadSettings(m_path));
      telemetry::Log(telemetry::LogLevel::kInfo, "settings_reloaded");
    } catch (const Error& error) {
      telemetry::Log(telemetry::LogLevel::kError, "settings_not_reloaded",
                     {{"why", error.what()}});
    }
  }

  const std::string m_path;
  app::Daemon& m_daemon;
  int64_t m_changed;
  loop::SignalWatcher m_on_hangup;
  loop::Timer m_timer;
};

void Run(const settings::Settings& settings, const std::string& path) {
  loop::Loop loop;
  const auto incarnation = static_cast<Incarnation>(loop.WallNow());
  const std::unique_ptr<app::Daemon> daemon =
      MakeDaemon(loop, settings, incarnation);
  const loop::SignalWatcher on_terminate(loop, SIGTERM,
                                         [&] { daemon->Shutdown(); });
  const loop::SignalWatcher on_interrupt(loop, SIGINT,
                                         [&] { daemon->Shutdown(); });
  const SettingsWatcher watch(loop, path, *daemon);
  app::SlowIterationLog slow_iterations;
  const loop::IterationWatcher iteration_watcher(
      loop, app::kSlowIteration, [&](Duration took) {
        slow_iterations.OnSlowIteration(took, loop.Now());
      });
  WritePorts(settings.port_file, *daemon);
  telemetry::Log(telemetry::LogLevel::kInfo, "started",
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
    TCLAP::ValueArg<uint32_t> memory_mb(
        "m", "memory-mb", "memory of the process, instead of its setting",
        false, 0, "MEGABYTES", line);
    line.parse(argc, argv);
    if (sodium_init() < 0)
      throw Error(ErrorKind::kInternal, "libsodium failed to initialize");
    settings::Settings settings =
        settings::ReadSettings(settings_path.getValue());
    if (memory_mb.isSet()) settings.memory_mb = memory_mb.getValue();
    telemetry::StartLog(settings.host, ParseLogLevel(settings.log_level));
    Run(settings, settings_path.getValue());
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
