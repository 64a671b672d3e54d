#include "process/link_proxy.h"

#include <cppunit/TestAssert.h>  // for CPPUNIT_ASSERT
#include <sys/socket.h>          // for socket
#include <unistd.h>              // for close

#include <cerrno>   // for errno
#include <utility>  // for move
#include <vector>   // for vector

#include "dotterelshift/base/address.h"  // for ParseAddress

namespace dotterelshift::testing {
namespace {

// One socket of a link, with the bytes that are not written to it yet.
struct Side {
  int descriptor = -1;
  std::string out;
  std::unique_ptr<loop::IoWatcher> watcher;
};

struct Link {
  Side sides[2];
  bool closed = false;
};

class TcpLinkProxy : public LinkProxy {
 public:
  TcpLinkProxy(loop::Loop& loop, const std::string& target)
      : m_loop(loop), m_target(target) {
    m_listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    auto address = *MakeAddress("127.0.0.1", 0);
    socklen_t length = sizeof address;
    CPPUNIT_ASSERT_EQUAL(0,
                         bind(m_listener, reinterpret_cast<sockaddr*>(&address),
                              sizeof address));
    CPPUNIT_ASSERT_EQUAL(0, listen(m_listener, 64));
    getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &length);
    m_address = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    m_watcher = std::make_unique<loop::IoWatcher>(loop, m_listener, EV_READ,
                                                  [this](int) { Accept(); });
  }
  ~TcpLinkProxy() override {
    CloseAll();
    m_watcher.reset();
    close(m_listener);
  }

  std::string Address() const override { return m_address; }
  void Cut() override {
    m_cut = true;
    CloseAll();
  }
  void Heal() override {
    m_cut = false;
    if (!m_frozen) return;
    m_frozen = false;
    for (const auto& link : m_links) Watch(*link);
  }
  void Freeze() override {
    m_frozen = true;
    for (const auto& link : m_links) Watch(*link);
  }

 private:
  void Accept() {
    const int from =
        accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (from < 0) return;
    if (m_cut) {
      close(from);
      return;
    }
    const int to =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const auto address = ParseAddress(m_target);
    // The socket is non-blocking: the first event shows the result.
    (void)connect(to, reinterpret_cast<const sockaddr*>(&*address),
                  sizeof *address);
    auto link = std::make_shared<Link>();
    link->sides[0].descriptor = from;
    link->sides[1].descriptor = to;
    for (int i = 0; i < 2; ++i) {
      std::weak_ptr<Link> weak = link;
      link->sides[i].watcher = std::make_unique<loop::IoWatcher>(
          m_loop, link->sides[i].descriptor, 0, [this, weak, i](int events) {
            if (const auto held = weak.lock()) OnEvents(*held, i, events);
          });
    }
    std::erase_if(m_links, [](const auto& old) { return old->closed; });
    m_links.push_back(link);
    Watch(*link);
  }

  // While frozen, no events are watched, so bytes accumulate in the kernel
  // buffers as they would behind a failed switch.
  void Watch(Link& link) const {
    if (link.closed) return;
    for (Side& side : link.sides) {
      const int events =
          m_frozen ? 0 : EV_READ | (side.out.empty() ? 0 : EV_WRITE);
      side.watcher->SetEvents(events);
    }
  }

  void OnEvents(Link& link, int index, int events) {
    Side& side = link.sides[index];
    Side& other = link.sides[1 - index];
    if ((events & EV_WRITE) != 0) {
      const ssize_t count =
          send(side.descriptor, side.out.data(), side.out.size(), MSG_NOSIGNAL);
      if (count > 0) side.out.erase(0, count);
    }
    if ((events & EV_READ) != 0) {
      char buffer[65536];
      const ssize_t count = recv(side.descriptor, buffer, sizeof buffer, 0);
      if (count == 0 || (count < 0 && errno != EAGAIN)) {
        CloseLink(link);
        return;
      }
      if (count > 0) other.out.append(buffer, count);
    }
    Watch(link);
  }

  static void CloseLink(Link& link) {
    if (link.closed) return;
    link.closed = true;
    for (Side& side : link.sides) {
      side.watcher.reset();
      close(side.descriptor);
    }
  }

  void CloseAll() {
    for (const auto& link : m_links) CloseLink(*link);
    m_links.clear();
  }

  loop::Loop& m_loop;
  std::string m_target;
  std::string m_address;
  int m_listener;
  bool m_cut = false;
  bool m_frozen = false;
  std::unique_ptr<loop::IoWatcher> m_watcher;
  std::vector<std::shared_ptr<Link>> m_links;
};

}  // namespace

std::unique_ptr<LinkProxy> MakeLinkProxy(loop::Loop& loop,
                                         const std::string& target) {
  return std::make_unique<TcpLinkProxy>(loop, target);
}

}  // namespace dotterelshift::testing
