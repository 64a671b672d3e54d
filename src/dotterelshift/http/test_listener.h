#ifndef DOTTERELSHIFT_SRC_HTTP_TEST_LISTENER_H_
#define DOTTERELSHIFT_SRC_HTTP_TEST_LISTENER_H_

#include <arpa/inet.h>           // for htonl, ntohs
#include <cppunit/TestAssert.h>  // for CPPUNIT_ASSERT_EQUAL
#include <netinet/in.h>          // for sockaddr_in
#include <poll.h>                // for poll
#include <sys/ioctl.h>           // for FIONREAD
#include <sys/socket.h>          // for listen, connect
#include <unistd.h>              // for close

#include <array>        // for array
#include <cerrno>       // for errno
#include <string>       // for string
#include <string_view>  // for string_view
#include <utility>      // for exchange

namespace dotterelshift::http {

// A connection accepted by TestListener. It reads only when the test asks for
// it.
class TestPeer {
 public:
  explicit TestPeer(int descriptor) : m_socket(descriptor) {}
  ~TestPeer() { Close(); }
  TestPeer(TestPeer&& other) noexcept
      : m_socket(std::exchange(other.m_socket, -1)) {}
  TestPeer(const TestPeer&) = delete;
  TestPeer& operator=(const TestPeer&) = delete;

  // Number of received bytes that have not been read.
  size_t Waiting() const {
    int bytes = 0;
    ::ioctl(m_socket, FIONREAD, &bytes);
    return static_cast<size_t>(bytes);
  }

  void Send(std::string_view bytes) const {
    CPPUNIT_ASSERT_EQUAL(
        static_cast<ssize_t>(bytes.size()),
        ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL));
  }

  // Sends as much as the system accepts without blocking; returns its size.
  size_t SendSome(std::string_view bytes) const {
    const ssize_t size = ::send(m_socket, bytes.data(), bytes.size(),
                                MSG_NOSIGNAL | MSG_DONTWAIT);
    return size < 0 ? 0 : static_cast<size_t>(size);
  }

  // Reads what has been received, without blocking.
  std::string ReadSome() const {
    std::array<char, 1 << 16> buffer;
    const ssize_t size =
        ::recv(m_socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
    return size <= 0 ? std::string()
                     : std::string(buffer.data(), static_cast<size_t>(size));
  }

  // Bytes received until the peer closed the connection, and whether it reset
  // it.
  struct End {
    size_t bytes = 0;
    bool reset = false;
  };
  End ReadToEnd() const {
    std::array<char, 1 << 16> buffer;
    End end;
    ssize_t got = 1;
    while (got > 0) {
      got = ::recv(m_socket, buffer.data(), buffer.size(), 0);
      if (got > 0) end.bytes += static_cast<size_t>(got);
    }
    end.reset = got < 0 && errno == ECONNRESET;
    return end;
  }

  // Closes with a reset.
  void Reset() {
    const linger at_once{.l_onoff = 1, .l_linger = 0};
    ::setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    Close();
  }

 private:
  void Close() {
    if (m_socket >= 0) ::close(m_socket);
    m_socket = -1;
  }

  int m_socket;
};

// A raw TCP server that accepts connections on request, or whose accept queue
// is full.
class TestListener {
 public:
  // `receive_buffer` limits the bytes that the kernel buffers for connections
  // that are not read; 0 keeps the system's default.
  explicit TestListener(int backlog, int receive_buffer = 0) {
    if (receive_buffer > 0) {
      ::setsockopt(m_listener, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                   sizeof receive_buffer);
    }
    m_address.sin_family = AF_INET;
    m_address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof m_address;
    CPPUNIT_ASSERT_EQUAL(0, ::bind(m_listener, Address(), length));
    CPPUNIT_ASSERT_EQUAL(0, ::listen(m_listener, backlog));
    CPPUNIT_ASSERT_EQUAL(0, ::getsockname(m_listener, Address(), &length));
  }
  ~TestListener() {
    ::close(m_waiting);
    ::close(m_listener);
  }
  TestListener(const TestListener&) = delete;
  TestListener& operator=(const TestListener&) = delete;

  uint16_t Port() const { return ntohs(m_address.sin_port); }
  // Occupies the only slot of the accept queue. The system then drops further
  // SYN packets, so that later connections stay in progress.
  void Fill() {
    CPPUNIT_ASSERT_EQUAL(0, ::connect(m_waiting, Address(), sizeof m_address));
  }
  // Whether a connection can be accepted.
  bool HasConnection() const {
    pollfd look{.fd = m_listener, .events = POLLIN, .revents = 0};
    return ::poll(&look, 1, 0) == 1;
  }
  TestPeer Accept() const {
    return TestPeer(::accept(m_listener, nullptr, nullptr));
  }

 private:
  sockaddr* Address() { return reinterpret_cast<sockaddr*>(&m_address); }

  sockaddr_in m_address{};
  const int m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int m_waiting = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
};

}  // namespace dotterelshift::http

#endif  // DOTTERELSHIFT_SRC_HTTP_TEST_LISTENER_H_
