#ifndef DOTTERELSHIFT_TESTS_PROCESS_FLEET_H_
#define DOTTERELSHIFT_TESTS_PROCESS_FLEET_H_

#include <map>                // for map
#include <memory>             // for unique_ptr
#include <nlohmann/json.hpp>  // for json
#include <string>             // for string
#include <utility>            // for pair
#include <vector>             // for vector

#include "dotterelshift/base/temporary_folder.h"  // for TemporaryFolder
#include "dotterelshift/http/client.h"            // for Client
#include "dotterelshift/loop/loop.h"              // for Loop
#include "process/process.h"                      // for Process

namespace dotterelshift::testing {

inline constexpr char kOperatorKey[] = "test-operator-key";
inline constexpr char kFleetSecret[] = "test-fleet-secret";

struct HttpResponse {
  int status = 0;  // 0: no response head arrived
  http::Headers headers;
  std::string body;
  http::TransferEnd end = http::TransferEnd::kNotSent;
  bool Whole() const { return end == http::TransferEnd::kWhole; }
  std::string Header(const std::string& name) const;
};

// Runs real daemons and fake endpoints on loopback in a temporary folder. The
// system chooses a daemon's ports at its first start; restarts reuse them.
class Fleet {
 public:
  Fleet();

  loop::Loop& GetLoop() { return m_loop; }
  http::Client& GetClient() { return *m_client; }
  const TemporaryFolder& Folder() const { return m_folder; }

  // These start a process and wait until it has written its ports. `dial` holds
  // the addresses of the peers to connect to.
  void StartControl(const std::string& name,
                    const std::vector<std::string>& first_members,
                    const std::vector<std::string>& dial);
  void StartEntry(const std::string& name, const std::vector<std::string>& dial,
                  const std::string& extra = {});
  void StartEndpoint(const std::string& id, const std::string& announce_to,
                     const std::vector<std::string>& options);
  // Starts a process again with the same settings and arguments.
  void Restart(const std::string& name);

  Process& GetProcess(const std::string& name) {
    return *m_members.at(name).process;
  }
  void Kill(const std::string& name);  // with SIGKILL

  // Runs the event loop, and with it the links on it, until the daemon has
  // exited. Returns its exit status.
  int AwaitExit(const std::string& name);

  std::string PeerAddress(const std::string& name) const;
  std::string HttpAddress(const std::string& name) const;
  std::string Log(const std::string& name) const {
    return ReadFile(m_folder.File(name + ".log"));
  }

  // Sends one HTTP request and runs the event loop until the exchange ends.
  HttpResponse Send(const std::string& method, const std::string& url,
                    const http::Headers& headers, const std::string& body);
  // Sends a request to the operator API and follows one redirect (307).
  HttpResponse SendOperatorRequest(const std::string& host,
                                   const std::string& method,
                                   const std::string& path,
                                   const std::string& body);
  // Sends a chat completion request with the team's `key`.
  HttpResponse Ask(const std::string& entry, const std::string& key,
                   const nlohmann::json& body,
                   const http::Headers& headers = {});

  // Waits until /readyz returns 200. Like the other waits, it fails the test
  // after kHangGuard.
  void AwaitReady(const std::string& name);
  // Waits until the daemon reports this configuration version in its metrics.
  void AwaitVersion(const std::string& name, uint64_t version);
  // Waits until one of the named control daemons leads. Returns its name.
  std::string AwaitLeader(const std::vector<std::string>& names);

  // Plans and confirms an intent through a control host. Fails the test if the
  // plan is refused; returns the response to the confirm.
  HttpResponse PlanAndConfirm(const std::string& host,
                              const std::string& intent);

 private:
  struct Member {
    std::vector<std::string> arguments;
    std::string settings;  // without the ports; empty for an endpoint
    uint16_t peer_port = 0;
    uint16_t http_port = 0;
    std::unique_ptr<Process> process;
  };
  void StartDaemon(const std::string& name, const std::string& settings);
  void Spawn(const std::string& name, Member& member);

  TemporaryFolder m_folder;
  loop::Loop m_loop;
  std::unique_ptr<http::Client> m_client;
  std::map<std::string, Member> m_members;
};

}  // namespace dotterelshift::testing

#endif  // DOTTERELSHIFT_TESTS_PROCESS_FLEET_H_
