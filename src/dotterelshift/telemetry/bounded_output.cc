#include "dotterelshift/telemetry/bounded_output.h"

#include <poll.h>    // for poll
#include <unistd.h>  // for write

#include <algorithm>  // for min

namespace dotterelshift::telemetry {
namespace {

// A writable pipe accepts this many bytes without blocking (PIPE_BUF).
constexpr size_t kMaxNonBlockingWrite = 4096;

}  // namespace

std::streambuf::int_type BoundedOutput::overflow(int_type c) {
  if (c != traits_type::eof()) m_line += static_cast<char>(c);
  return c;
}

std::streamsize BoundedOutput::xsputn(const char* text, std::streamsize size) {
  m_line.append(text, static_cast<size_t>(size));
  return size;
}

bool BoundedOutput::CanWrite() const {
  pollfd state{m_descriptor, POLLOUT, 0};
  return ::poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0;
}

int BoundedOutput::sync() {
  if (m_buffered.size() + m_line.size() > m_max_buffered)
    ++m_dropped;
  else
    m_buffered += m_line;
  m_line.clear();
  while (!m_buffered.empty() && CanWrite()) {
    const ssize_t written =
        ::write(m_descriptor, m_buffered.data(),
                std::min(m_buffered.size(), kMaxNonBlockingWrite));
    if (written <= 0) break;
    m_buffered.erase(0, static_cast<size_t>(written));
  }
  return 0;
}

}  // namespace dotterelshift::telemetry
