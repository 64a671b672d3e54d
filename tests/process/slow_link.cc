#include "process/slow_link.h"

#include <cppunit/TestAssert.h>  // for CPPUNIT_ASSERT_EQUAL
#include <poll.h>                // for poll
#include <sys/socket.h>          // for socket
#include <unistd.h>              // for close

#include <algorithm>  // for max, min
#include <array>      // for array
#include <cerrno>     // for errno
#include <deque>      // for deque
#include <utility>    // for move
#include <vector>     // for vector

#include "dotterelshift/base/address.h"  // for ParseAddress

namespace dotterelshift::testing {
namespace {

// Size of the kernel buffer of each socket and direction, in bytes.
constexpr int kKernelBuffer = 16 << 10;

LinkDirection Opposite(LinkDirection way) {
  return way == LinkDirection::kIn ? LinkDirection::kOut : LinkDirection::kIn;
}

size_t IndexOf(LinkDirection way) { return static_cast<size_t>(way); }

void BoundBuffers(int descriptor) {
  for (const int option : {SO_SNDBUF, SO_RCVBUF}) {
    ::setsockopt(descriptor, SOL_SOCKET, option, &kKernelBuffer,
                 sizeof kKernelBuffer);
  }
}

// One end of a connection: its socket, and the bytes that have passed the link
// towards it.
struct End {
  int descriptor = -1;
  std::unique_ptr<loop::IoWatcher> watcher;
  bool reads = false;     // bytes from it are read
  bool read_end = false;  // it has closed its side
  bool was_reset = false;
  size_t in_transit = 0;  // bytes from it that the other end has not taken yet
  std::string out;        // bytes to it that the kernel has not taken yet
  bool out_end = false;   // the other side has closed; shut down after `out`
};

// A connection through the link; ends[0] is the connecting side.
struct Connection {
  uint64_t number = 0;
  uint16_t port = 0;
  LinkDirection way = LinkDirection::kIn;  // from ends[0] to ends[1]
  std::string target;
  std::array<End, 2> ends;
  std::unique_ptr<loop::Timer> connect_timer;  // armed until it is open
  bool connecting = false;
  bool closed = false;
};

enum class Kind : uint8_t { kOpen, kOpened, kBytes, kEnd, kReset };

// One queued packet.
struct Packet {
  Kind kind = Kind::kBytes;
  std::shared_ptr<Connection> connection;
  size_t to = 0;  // index of the receiving end
  std::string bytes;
};

struct Queue {
  std::deque<Packet> packets;
  Instant free_at{};  // when the last queued byte has passed
  std::deque<Instant> delivery_times;
  std::unique_ptr<loop::Timer> timer;
};

class TcpSlowLink : public SlowLink {
 public:
  TcpSlowLink(loop::Loop& loop, const SlowLinkOptions& options)
      : m_loop(loop), m_options(options) {
    for (const LinkDirection way : {LinkDirection::kIn, LinkDirection::kOut}) {
      m_queues.at(IndexOf(way)).timer =
          std::make_unique<loop::Timer>(loop, [this, way] { DeliverDue(way); });
    }
  }
  ~TcpSlowLink() override {
    for (const auto& connection : m_connections) Close(*connection);
    for (Forwarder& forwarder : m_forwarders) {
      forwarder.watcher.reset();
      ::close(forwarder.descriptor);
    }
  }

  std::string AddForwarder(const std::string& target, LinkDirection way,
                           Duration connect_timeout) override {
    const int listener =
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    BoundBuffers(listener);
    auto address = *MakeAddress("127.0.0.1", 0);
    socklen_t length = sizeof address;
    CPPUNIT_ASSERT_EQUAL(
        0, ::bind(listener, reinterpret_cast<sockaddr*>(&address), length));
    CPPUNIT_ASSERT_EQUAL(0, ::listen(listener, SOMAXCONN));
    ::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &length);
    Forwarder& forwarder = m_forwarders.emplace_back();
    forwarder.descriptor = listener;
    forwarder.watcher = std::make_unique<loop::IoWatcher>(
        m_loop, listener, EV_READ, [=, this](int) {
          while (Accept(listener, target, way, connect_timeout)) {
          }
        });
    return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
  }

  Duration QueueDelay(LinkDirection way) const override {
    return std::max<Duration>(0s,
                              m_queues.at(IndexOf(way)).free_at - m_loop.Now());
  }

 private:
  struct Forwarder {
    int descriptor = -1;
    std::unique_ptr<loop::IoWatcher> watcher;
  };

  bool Accept(int listener, const std::string& target, LinkDirection way,
              Duration connect_timeout) {
    sockaddr_in from{};
    socklen_t length = sizeof from;
    const int descriptor =
        ::accept4(listener, reinterpret_cast<sockaddr*>(&from), &length,
                  SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (descriptor < 0) return false;
    auto connection = std::make_shared<Connection>();
    connection->number = ++m_last_number;
    connection->port = ntohs(from.sin_port);
    connection->way = way;
    connection->target = target;
    connection->ends[0].descriptor = descriptor;
    MakeWatcher(connection, 0);
    const std::weak_ptr<Connection> weak = connection;
    connection->connect_timer =
        std::make_unique<loop::Timer>(m_loop, [this, weak] {
          if (const auto held = weak.lock()) OnConnectTimeout(held);
        });
    connection->connect_timer->ArmIn(connect_timeout);
    std::erase_if(m_connections, [](const auto& old) { return old->closed; });
    m_connections.push_back(connection);
    EmitEvent(LinkEvent::What::kAccepted, *connection, way, 0);
    Push({Kind::kOpen, connection, 1, {}});
    return true;
  }

  void OnConnectTimeout(const std::shared_ptr<Connection>& connection) {
    if (connection->closed) return;
    ResetEnd(connection->ends[0]);
    SendReset(connection, 0);
  }

  void MakeWatcher(const std::shared_ptr<Connection>& connection, size_t end) {
    const std::weak_ptr<Connection> weak = connection;
    End& at = connection->ends.at(end);
    at.watcher = std::make_unique<loop::IoWatcher>(
        m_loop, at.descriptor, 0, [this, weak, end](int events) {
          if (const auto held = weak.lock()) OnEvents(held, end, events);
        });
  }

  void Watch(Connection& connection) const {
    if (connection.closed) return;
    for (size_t i = 0; i < connection.ends.size(); ++i) {
      End& end = connection.ends.at(i);
      if (!end.watcher) continue;
      const bool reads =
          end.reads && !end.read_end && end.in_transit < m_options.window;
      const bool writes = !end.out.empty() || (i == 1 && connection.connecting);
      end.watcher->SetEvents((reads ? EV_READ : 0) | (writes ? EV_WRITE : 0));
    }
  }

  void OnEvents(const std::shared_ptr<Connection>& connection, size_t index,
                int events) {
    if (connection->closed) return;
    if (index == 1 && connection->connecting) {
      OnConnected(connection);
    } else if ((events & EV_WRITE) != 0) {
      Write(connection, index);
    }
    const End& end = connection->ends.at(index);
    const bool reads = !connection->closed && end.reads && !end.read_end;
    if ((events & EV_READ) != 0 && reads) Read(connection, index);
    Watch(*connection);
  }

  // Whether the peer has closed or reset the connection.
  static bool PeerHasClosed(int descriptor) {
    pollfd look{.fd = descriptor, .events = POLLRDHUP, .revents = 0};
    return ::poll(&look, 1, 0) == 1;
  }

  static bool HasFailed(int descriptor) {
    int error = 0;
    socklen_t length = sizeof error;
    ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &length);
    return error != 0;
  }

  void OnConnected(const std::shared_ptr<Connection>& connection) {
    connection->connecting = false;
    if (HasFailed(connection->ends[1].descriptor))
      return SendReset(connection, 1);
    connection->ends[1].reads = true;
    Push({Kind::kOpened, connection, 0, {}});
    Write(connection, 1);
  }

  void Read(const std::shared_ptr<Connection>& connection, size_t index) {
    End& end = connection->ends.at(index);
    std::string bytes(m_options.packet_bytes, '\0');
    while (end.in_transit < m_options.window) {
      const ssize_t count =
          ::recv(end.descriptor, bytes.data(), bytes.size(), 0);
      if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return;
      if (count < 0) return SendReset(connection, index);
      if (count == 0) {
        end.read_end = true;
        return Push({Kind::kEnd, connection, 1 - index, {}});
      }
      const auto size = static_cast<size_t>(count);
      end.in_transit += size;
      Push({Kind::kBytes, connection, 1 - index, bytes.substr(0, size)});
    }
  }

  // Stops reading from this end and queues a reset for the other one.
  void SendReset(const std::shared_ptr<Connection>& connection, size_t index) {
    End& end = connection->ends.at(index);
    end.read_end = true;
    if (std::exchange(end.was_reset, true)) return;
    Push({Kind::kReset, connection, 1 - index, {}});
  }

  void Write(const std::shared_ptr<Connection>& connection, size_t index) {
    End& end = connection->ends.at(index);
    if (end.descriptor < 0 || (index == 1 && connection->connecting)) return;
    if (!end.out.empty()) {
      const ssize_t count =
          ::send(end.descriptor, end.out.data(), end.out.size(), MSG_NOSIGNAL);
      if (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK) {
        end.out.clear();
        return SendReset(connection, index);
      }
      if (count > 0) {
        end.out.erase(0, static_cast<size_t>(count));
        connection->ends.at(1 - index).in_transit -= static_cast<size_t>(count);
      }
    }
    if (end.out.empty() && end.out_end) {
      ::shutdown(end.descriptor, SHUT_WR);
      const End& other = connection->ends.at(1 - index);
      if (other.out.empty() && other.out_end) Close(*connection);
    }
  }

  LinkDirection DirectionTo(const Connection& connection, size_t end) const {
    return end == 1 ? connection.way : Opposite(connection.way);
  }

  void Push(Packet packet) {
    const LinkDirection way = DirectionTo(*packet.connection, packet.to);
    Queue& queue = m_queues.at(IndexOf(way));
    const auto cost =
        static_cast<double>(packet.bytes.size() + m_options.packet_overhead);
    queue.free_at =
        std::max(queue.free_at, m_loop.Now()) +
        std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(cost / m_options.bytes_per_second));
    queue.delivery_times.push_back(queue.free_at);
    queue.packets.push_back(std::move(packet));
    if (queue.packets.size() == 1)
      queue.timer->ArmAt(queue.delivery_times.front());
  }

  void DeliverDue(LinkDirection way) {
    Queue& queue = m_queues.at(IndexOf(way));
    while (!queue.packets.empty() &&
           queue.delivery_times.front() <= m_loop.Now()) {
      const Packet packet = std::move(queue.packets.front());
      queue.packets.pop_front();
      queue.delivery_times.pop_front();
      Deliver(packet, way);
      Watch(*packet.connection);
    }
    if (!queue.packets.empty())
      queue.timer->ArmAt(queue.delivery_times.front());
  }

  void Deliver(const Packet& packet, LinkDirection way) {
    const std::shared_ptr<Connection>& connection = packet.connection;
    if (connection->closed) return;
    End& end = connection->ends.at(packet.to);
    switch (packet.kind) {
      case Kind::kOpen:
        return Connect(connection);
      case Kind::kOpened:
        connection->connect_timer->Cancel();
        if (connection->ends[0].was_reset) return;
        // If the connecting side has closed meanwhile, none of its bytes are
        // forwarded.
        if (PeerHasClosed(connection->ends[0].descriptor))
          return SendReset(connection, 0);
        connection->ends[0].reads = true;
        return;
      case Kind::kBytes:
        EmitEvent(LinkEvent::What::kBytes, *connection, way,
                  packet.bytes.size());
        end.out += packet.bytes;
        return Write(connection, packet.to);
      case Kind::kEnd:
        EmitEvent(LinkEvent::What::kEnd, *connection, way, 0);
        end.out_end = true;
        return Write(connection, packet.to);
      case Kind::kReset:
        EmitEvent(LinkEvent::What::kEnd, *connection, way, 0);
        return Close(*connection);
    }
  }

  void Connect(const std::shared_ptr<Connection>& connection) {
    End& end = connection->ends[1];
    end.descriptor =
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    BoundBuffers(end.descriptor);
    const auto address = ParseAddress(connection->target);
    // The socket is non-blocking: the first event shows the result.
    (void)::connect(end.descriptor,
                    reinterpret_cast<const sockaddr*>(&*address),
                    sizeof *address);
    connection->connecting = true;
    MakeWatcher(connection, 1);
  }

  static void ResetEnd(End& end) {
    end.watcher.reset();
    if (end.descriptor < 0) return;
    const linger at_once{.l_onoff = 1, .l_linger = 0};
    ::setsockopt(end.descriptor, SOL_SOCKET, SO_LINGER, &at_once,
                 sizeof at_once);
    ::close(std::exchange(end.descriptor, -1));
  }

  // Closes an end normally if both directions have ended, else with a reset so
  // that no bytes remain in the kernel buffers.
  static void Close(Connection& connection) {
    if (std::exchange(connection.closed, true)) return;
    for (End& end : connection.ends) {
      if (!end.out_end || !end.read_end) {
        ResetEnd(end);
        continue;
      }
      end.watcher.reset();
      ::close(std::exchange(end.descriptor, -1));
    }
  }

  void EmitEvent(LinkEvent::What what, const Connection& connection,
                 LinkDirection way, size_t bytes) const {
    if (!m_options.on_event) return;
    m_options.on_event({what, connection.number, connection.port, way, bytes});
  }

  loop::Loop& m_loop;
  const SlowLinkOptions m_options;
  std::vector<Forwarder> m_forwarders;
  std::vector<std::shared_ptr<Connection>> m_connections;
  std::array<Queue, 2> m_queues;
  uint64_t m_last_number = 0;
};

}  // namespace

std::unique_ptr<SlowLink> MakeSlowLink(loop::Loop& loop,
                                       const SlowLinkOptions& options) {
  return std::make_unique<TcpSlowLink>(loop, options);
}

}  // namespace dotterelshift::testing
