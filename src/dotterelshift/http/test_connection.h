#ifndef DOTTERELSHIFT_SRC_HTTP_TEST_CONNECTION_H_
#define DOTTERELSHIFT_SRC_HTTP_TEST_CONNECTION_H_

#include <arpa/inet.h>    // for htons
#include <netinet/in.h>   // for sockaddr_in
#include <netinet/tcp.h>  // for tcp_info
#include <sys/ioctl.h>    // for ioctl
#include <sys/socket.h>   // for socket
#include <unistd.h>       // for close

#include <array>        // for array
#include <cerrno>       // for errno
#include <string>       // for string
#include <string_view>  // for string_view
#include <utility>      // for exchange

namespace dotterelshift::http {

// A caller on a raw socket, for tests. It can do what an HTTP library would
// not, such as sending an incomplete head or not reading.
class TestConnection {
 public:
  // `receive_buffer` limits the bytes that the kernel buffers while the caller
  // does not read; 0 keeps the system's default.
  explicit TestConnection(uint16_t port, int receive_buffer = 0)
      : m_socket(::socket(AF_INET, SOCK_STREAM, 0)) {
    if (receive_buffer > 0) {
      ::setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                   sizeof receive_buffer);
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ::connect(m_socket, reinterpret_cast<sockaddr*>(&address), sizeof address);
  }
  ~TestConnection() { Close(); }
  TestConnection(TestConnection&& other) noexcept
      : m_socket(std::exchange(other.m_socket, -1)),
        m_closed(other.m_closed),
        m_received(std::move(other.m_received)) {}
  TestConnection(const TestConnection&) = delete;
  TestConnection& operator=(const TestConnection&) = delete;

  void Send(std::string_view bytes) {
    if (::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) < 0)
      m_closed = true;
  }

  // Reads the received bytes without blocking.
  void Receive() {
    std::array<char, 64 << 10> buffer;
    while (!m_closed) {
      const ssize_t size =
          ::recv(m_socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
      if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return;
      if (size <= 0) {
        m_closed = true;
        return;
      }
      m_received.append(buffer.data(), static_cast<size_t>(size));
    }
  }

  void Close() {
    if (m_socket >= 0) ::close(m_socket);
    m_socket = -1;
  }

  // Closes only the sending side.
  void HalfClose() { ::shutdown(m_socket, SHUT_WR); }

  // Received bytes that have not been read.
  size_t Waiting() const {
    int waiting = 0;
    return ::ioctl(m_socket, FIONREAD, &waiting) == 0
               ? static_cast<size_t>(waiting)
               : 0;
  }

  // Whether the peer's system has received all bytes sent so far.
  bool AllArrived() const {
    int unacknowledged = 0;
    return ::ioctl(m_socket, TIOCOUTQ, &unacknowledged) == 0 &&
           unacknowledged == 0;
  }

  // Whether the peer's system has received the half-close.
  bool HalfCloseArrived() const {
    tcp_info info{};
    socklen_t size = sizeof info;
    const int got = ::getsockopt(m_socket, IPPROTO_TCP, TCP_INFO, &info, &size);
    return got == 0 && info.tcpi_state == TCP_FIN_WAIT2;
  }

  // Closes with a reset instead of an orderly close.
  void Reset() {
    const linger at_once{.l_onoff = 1, .l_linger = 0};
    ::setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    Close();
  }

  const std::string& Received() const { return m_received; }
  // Whether the peer has closed the connection, or sending has failed.
  bool Closed() const { return m_closed; }
  bool Has(std::string_view text) const {
    return m_received.find(text) != std::string::npos;
  }

 private:
  int m_socket;
  bool m_closed = false;
  std::string m_received;
};

}  // namespace dotterelshift::http

#endif  // DOTTERELSHIFT_SRC_HTTP_TEST_CONNECTION_H_
