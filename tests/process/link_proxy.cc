#include "process/link_proxy.h"

#include <arpa/inet.h>           // for inet_addr
#include <cppunit/TestAssert.h>  // for CPPUNIT_ASSERT
#include <linux/filter.h>        // for sock_filter
#include <sys/socket.h>          // for socket
#include <unistd.h>              // for close

#include <cerrno>   // for errno
#include <map>      // for map
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
  in_addr_t source = 0;  // of the connecting side, in network byte order
  bool closed = false;
  bool silent = false;
};

// Attaches a filter that decides which incoming packets a socket receives. A
// listening socket passes it on to the connections that it accepts.
void AttachFilter(int descriptor, std::vector<sock_filter> program) {
  const sock_fprog filter{.len = static_cast<uint16_t>(program.size()),
                          .filter = program.data()};
  CPPUNIT_ASSERT_EQUAL(0, setsockopt(descriptor, SOL_SOCKET, SO_ATTACH_FILTER,
                                     &filter, sizeof filter));
}

constexpr uint32_t kAcceptPacket = 0xffffffff;
constexpr uint32_t kDropPacket = 0;
// Offset of the source address in an IPv4 header.
constexpr uint32_t kSourceOffset = 12;

sock_filter Return(uint32_t verdict) {
  return BPF_STMT(BPF_RET | BPF_K, verdict);
}

// Drops the packets from the given addresses.
std::vector<sock_filter> DropFrom(const std::vector<in_addr_t>& sources) {
  std::vector<sock_filter> program = {
      BPF_STMT(BPF_LD | BPF_W | BPF_ABS,
               static_cast<uint32_t>(SKF_NET_OFF) + kSourceOffset)};
  for (const in_addr_t source : sources) {
    program.push_back(BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, ntohl(source), 0, 1));
    program.push_back(Return(kDropPacket));
  }
  program.push_back(Return(kAcceptPacket));
  return program;
}

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
  void SetSourceCut(const std::string& source, SourceCut cut) override {
    const in_addr_t address = inet_addr(source.c_str());
    if (cut == SourceCut::kNone)
      m_cut_sources.erase(address);
    else
      m_cut_sources[address] = cut;
    std::vector<in_addr_t> sources;
    for (const auto& [cut_source, how] : m_cut_sources)
      sources.push_back(cut_source);
    AttachFilter(m_listener, DropFrom(sources));
    for (const auto& link : std::vector(m_links))
      if (!link->closed && link->source == address) CutLink(*link, cut);
  }

 private:
  void CutLink(Link& link, SourceCut cut) const {
    if (cut == SourceCut::kReset) {
      const linger at_once{.l_onoff = 1, .l_linger = 0};
      setsockopt(link.sides[0].descriptor, SOL_SOCKET, SO_LINGER, &at_once,
                 sizeof at_once);
      return CloseLink(link);
    }
    link.silent = cut == SourceCut::kSilent;
    AttachFilter(link.sides[0].descriptor,
                 {Return(link.silent ? kDropPacket : kAcceptPacket)});
    Watch(link);
  }

  void Accept() {
    sockaddr_in peer{};
    socklen_t length = sizeof peer;
    const int from = accept4(m_listener, reinterpret_cast<sockaddr*>(&peer),
                             &length, SOCK_NONBLOCK | SOCK_CLOEXEC);
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
    link->source = peer.sin_addr.s_addr;
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
      const int events = m_frozen || link.silent
                             ? 0
                             : EV_READ | (side.out.empty() ? 0 : EV_WRITE);
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
  std::map<in_addr_t, SourceCut> m_cut_sources;
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
