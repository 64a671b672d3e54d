#include "dotterelshift/relay/tunnel.h"

#include <poll.h>        // for poll
#include <sys/socket.h>  // for recv, send
#include <unistd.h>      // for close

#include <array>    // for array
#include <cerrno>   // for errno
#include <utility>  // for move, exchange

namespace dotterelshift::relay {
namespace {

constexpr size_t kReadBytes = 16 << 10;

bool WouldBlock() { return errno == EAGAIN || errno == EINTR; }

}  // namespace

void TunnelSide::Watch(loop::Loop& loop, loop::IoWatcher::Callback callback) {
  m_watcher = std::make_unique<loop::IoWatcher>(loop, m_descriptor, EV_READ,
                                                std::move(callback));
  m_events = EV_READ;
}

void TunnelSide::SetEvents(int events) {
  if (m_watcher == nullptr || std::exchange(m_events, events) == events) return;
  m_watcher->SetEvents(events);
}

bool TunnelSide::Flush(uint64_t* written) {
  while (Held() > 0) {
    const ssize_t count =
        ::send(m_descriptor, m_held.data() + m_written, Held(), MSG_NOSIGNAL);
    if (count < 0 && WouldBlock()) return true;
    if (count < 0) return false;
    m_written += static_cast<size_t>(count);
    *written += static_cast<uint64_t>(count);
  }
  m_held.clear();
  m_written = 0;
  if (m_ending && !std::exchange(m_ended, true))
    ::shutdown(m_descriptor, SHUT_WR);
  return true;
}

bool TunnelSide::IsLost() const {
  pollfd state{.fd = m_descriptor, .events = 0, .revents = 0};
  if (::poll(&state, 1, 0) <= 0) return false;
  return (state.revents & (POLLERR | POLLHUP)) != 0;
}

void TunnelSide::SetResetOnClose(bool reset) const {
  const linger at_once{.l_onoff = reset ? 1 : 0, .l_linger = 0};
  ::setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

void TunnelSide::Close() {
  m_watcher.reset();
  if (m_descriptor >= 0) ::close(m_descriptor);
  m_descriptor = -1;
}

Tunnel::Tunnel(loop::Loop& loop, const TunnelOptions& options, int client,
               int target, std::string_view early, uint64_t& carried,
               OnEnd on_end)
    : m_loop(loop),
      m_options(options),
      m_client(client),
      m_target(target),
      m_response_due(!early.empty()),
      m_last_bytes(loop.Now()),
      m_carried(carried),
      m_on_end(std::move(on_end)) {
  m_client.SetResetOnClose(true);
  m_target.SetResetOnClose(true);
  m_target.Hold(early);
  m_client.Watch(loop,
                 [this](int events) { OnEvents(m_client, m_target, events); });
  m_target.Watch(loop,
                 [this](int events) { OnEvents(m_target, m_client, events); });
  UpdateEvents();
}

void Tunnel::OnEvents(TunnelSide& from, TunnelSide& to, int events) {
  if ((events & EV_WRITE) != 0 && !Write(from)) return Reset();
  if ((events & EV_READ) != 0) Read(from, to);
  if (m_ended) return;
  const bool flushed = m_client.Held() == 0 && m_target.Held() == 0;
  if (flushed && (m_client_ended || m_target_ended)) return CloseOrderly();
  UpdateEvents();
}

// A client that has closed its connection wants no more of a response.
void Tunnel::CloseOrderly() {
  m_client.SetResetOnClose(false);
  m_target.SetResetOnClose(false);
  End();
}

void Tunnel::Read(TunnelSide& from, TunnelSide& to) {
  std::array<char, kReadBytes> buffer;
  const ssize_t count =
      ::recv(from.Descriptor(), buffer.data(), buffer.size(), 0);
  if (count < 0 && WouldBlock()) return;
  if (count < 0) return Reset();
  const bool upwards = &from == &m_client;
  if (count == 0) {
    (upwards ? m_client_ended : m_target_ended) = true;
    to.EndAfterFlush();
  } else {
    m_last_bytes = m_loop.Now();
    m_response_due = upwards;
    to.Hold({buffer.data(), static_cast<size_t>(count)});
  }
  if (!Write(to)) Reset();
}

bool Tunnel::Write(TunnelSide& side) {
  uint64_t written = 0;
  const bool open = side.Flush(&written);
  (&side == &m_target ? m_bytes_up : m_bytes_down) += written;
  m_carried += written;
  return open;
}

// Reads from a side unless the other one takes no more, or it has ended.
void Tunnel::UpdateEvents() {
  const auto events = [this](const TunnelSide& side, const TunnelSide& other,
                             bool ended) {
    const bool reads = !ended && other.Held() < m_options.max_held_bytes;
    return (reads ? EV_READ : 0) | (side.Held() > 0 ? EV_WRITE : 0);
  };
  m_client.SetEvents(events(m_client, m_target, m_client_ended));
  m_target.SetEvents(events(m_target, m_client, m_target_ended));
}

void Tunnel::CheckLost() {
  if (m_ended) return;
  if (m_client.IsLost() || m_target.IsLost()) Reset();
}

bool Tunnel::IsBusy(Instant now) const {
  return !m_ended &&
         (m_response_due || now - m_last_bytes < m_options.idle_after);
}

void Tunnel::Reset() {
  if (!m_ended) End();
}

void Tunnel::End() {
  m_ended = true;
  m_client.Close();
  m_target.Close();
  m_on_end();
}

}  // namespace dotterelshift::relay
