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

struct HttpAnswer {
  int status = 0;  // 0: no head came
  http::Headers headers;
  std::string body;
  http::TransferEnd end = http::TransferEnd::kNotSent;
  bool Whole() const { return end == http::TransferEnd::kWhole; }
  std::string Header(const std::string& name) const;
};

// Real daemons and fake endpoints on loopback, in a folder of their own. Ports
// are chosen by the system at the first start and kept for the next ones.
class Fleet {
 public:
  Fleet();

  loop::Loop& GetLoop() { return m_loop; }
  http::Client& GetClient() { return *m_client; }
  const TemporaryFolder& Folder() const { return m_folder; }

  // Starts a daemon, or starts it again under the settings it had. `dial` are
  // hub addresses.
  void StartControl(const std::string& name,
                    const std::vector<std::string>& first_members,
                    const std::vector<std::string>& dial);
  void StartEntry(const std::string& name, const std::vector<std::string>& dial,
                  const std::string& extra = {});
  void StartEndpoint(const std::string& id, const std::string& announce_to,
                     const std::vector<std::string>& options);
  void Restart(const std::string& name);

  Process& ProcessOf(const std::string& name) {
    return *m_members.at(name).process;
  }
  void Kill(const std::string& name);  // as by kill -9

  // Turns the loop, and with it the links that run on it, until the daemon has
  // ended by itself; its exit status.
  int AwaitEnd(const std::string& name);

  std::string PeerAddress(const std::string& name) const;
  std::string HttpAddress(const std::string& name) const;
  std::string Log(const std::string& name) const {
    return ReadFile(m_folder.File(name + ".log"));
  }

  // One HTTP exchange, turned on this fleet's loop until it ends.
  HttpAnswer Send(const std::string& method, const std::string& url,
                  const http::Headers& headers, const std::string& body);
  HttpAnswer Operate(const std::string& host, const std::string& method,
                     const std::string& path, const std::string& body);
  HttpAnswer Ask(const std::string& entry, const std::string& key,
                 const nlohmann::json& body, const http::Headers& headers = {});

  // Asks until the answer has the status, within the guard against hanging.
  void AwaitReady(const std::string& name);
  // Waits until the daemon has this version of the configuration in force.
  void AwaitVersion(const std::string& name, uint64_t version);
  // A control daemon that leads, of those named.
  std::string AwaitLeader(const std::vector<std::string>& names);

  // Plans and confirms an intent at a control host that leads; returns the
  // confirmation.
  HttpAnswer PlanAndConfirm(const std::string& host, const std::string& intent);

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
