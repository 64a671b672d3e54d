#include "dotterelshift/http/useless_reads.h"

#include <sys/ioctl.h>  // for ioctl, FIONREAD

#include <algorithm>  // for max

namespace dotterelshift::http {
namespace {

// Bytes that may be dropped in a row.
constexpr size_t kMaxUselessBytes = 64 << 10;

// So many reads in a row are not counted, which saves a system call for most
// reads of an ordinary response.
constexpr size_t kUncountedReads = 1;

}  // namespace

void UselessReads::BeforeRead(int descriptor) {
  if (++m_reads <= kUncountedReads) return;
  int available = 0;
  if (::ioctl(descriptor, FIONREAD, &available) != 0) return;
  m_bytes += static_cast<size_t>(std::max(0, available));
}

bool UselessReads::IsOverLimit() const { return m_bytes > kMaxUselessBytes; }

}  // namespace dotterelshift::http
