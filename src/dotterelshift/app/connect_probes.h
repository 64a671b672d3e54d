#ifndef DOTTERELSHIFT_SRC_APP_CONNECT_PROBES_H_
#define DOTTERELSHIFT_SRC_APP_CONNECT_PROBES_H_

#include <functional>  // for function
#include <memory>      // for unique_ptr
#include <string>      // for string
#include <vector>      // for vector

#include "dotterelshift/gateway/endpoint_paths.h"  // for EndpointKey
#include "dotterelshift/loop/loop.h"               // for IoWatcher

namespace dotterelshift::app {

// Connections to endpoints that only show whether they can be established.
class ConnectProbes {
 public:
  using OnEnded = std::function<void(EndpointKey endpoint, bool connected)>;

  ConnectProbes(loop::Loop& loop, std::string source_address, OnEnded on_ended);
  ~ConnectProbes();
  ConnectProbes(const ConnectProbes&) = delete;
  ConnectProbes& operator=(const ConnectProbes&) = delete;

  void Start(const gateway::EndpointPaths::Probe& probe);
  // Ends probes that take too long. To be called regularly.
  void CheckTimeouts();

 private:
  struct Open {
    EndpointKey endpoint = 0;
    int descriptor = -1;
    Instant deadline{};
    std::unique_ptr<loop::IoWatcher> watcher;
  };
  void End(EndpointKey endpoint, bool connected);

  loop::Loop& m_loop;
  const std::string m_source_address;
  const OnEnded m_on_ended;
  std::vector<Open> m_open;
};

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_SRC_APP_CONNECT_PROBES_H_
