#include "dotterelshift/app/connect_probes.h"

#include <unistd.h>  // for close

#include <algorithm>  // for find_if
#include <utility>    // for move

#include "dotterelshift/base/socket.h"  // for ConnectFrom

namespace dotterelshift::app {
namespace {

constexpr Duration kProbeTimeout = 300ms;

}  // namespace

ConnectProbes::ConnectProbes(loop::Loop& loop, std::string source_address,
                             OnEnded on_ended)
    : m_loop(loop),
      m_source_address(std::move(source_address)),
      m_on_ended(std::move(on_ended)) {}

ConnectProbes::~ConnectProbes() {
  for (Open& open : m_open) {
    open.watcher.reset();
    ::close(open.descriptor);
  }
}

void ConnectProbes::Start(const gateway::EndpointPaths::Probe& probe) {
  const int descriptor = ConnectFrom(m_source_address, probe.address);
  if (descriptor < 0) return m_on_ended(probe.endpoint, false);
  Open& open = m_open.emplace_back();
  open.endpoint = probe.endpoint;
  open.descriptor = descriptor;
  open.deadline = m_loop.Now() + kProbeTimeout;
  open.watcher = std::make_unique<loop::IoWatcher>(
      m_loop, descriptor, EV_WRITE,
      [this, descriptor, endpoint = probe.endpoint](int) {
        End(endpoint, TakeSocketError(descriptor) == 0);
      });
}

void ConnectProbes::CheckTimeouts() {
  const Instant now = m_loop.Now();
  std::vector<EndpointKey> late;
  for (const Open& open : m_open)
    if (now >= open.deadline) late.push_back(open.endpoint);
  for (const EndpointKey endpoint : late) End(endpoint, false);
}

void ConnectProbes::End(EndpointKey endpoint, bool connected) {
  const auto found =
      std::find_if(m_open.begin(), m_open.end(),
                   [&](const Open& open) { return open.endpoint == endpoint; });
  if (found == m_open.end()) return;
  // The watcher may be the caller; it is destroyed after the socket is removed.
  const Open ended = std::move(*found);
  m_open.erase(found);
  ended.watcher->SetEvents(0);
  ::close(ended.descriptor);
  m_on_ended(endpoint, connected);
}

}  // namespace dotterelshift::app
