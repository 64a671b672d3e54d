#include "dotterelshift/http/exchange.h"

#include <algorithm>  // for min
#include <cstring>    // for memcpy
#include <utility>    // for move

namespace dotterelshift::http {
namespace {

// Memory of a drained buffer above this size is released.
constexpr size_t kMaxRetainedBuffer = 32 << 10;

// Size of the library's buffer for a streamed response to a caller without
// chunked encoding, one per response. Chunks are read into the connection's own
// memory instead.
constexpr size_t kResponseBlockBytes = 1 << 10;

}  // namespace

void MhdExchange::Answer(int status, const Headers& headers, std::string body) {
  if (!Open() || m_phase != Phase::kWaiting) return;
  SetHead(status, headers);
  m_out = std::move(body);
  m_phase = Phase::kWhole;
  Wake();
}

void MhdExchange::SendHead(int status, const Headers& headers) {
  if (!Open() || m_phase != Phase::kWaiting) return;
  SetHead(status, headers);
  m_phase = Phase::kStreaming;
  Wake();
}

void MhdExchange::WriteChunk(std::string_view chunk) {
  if (!Open() || m_phase != Phase::kStreaming || chunk.empty()) return;
  m_out.append(chunk);
  Wake();
}

void MhdExchange::Finish() {
  if (!Open() || m_phase != Phase::kStreaming) return;
  m_phase = Phase::kFinished;
  Wake();
}

void MhdExchange::Abort() {
  if (!Open()) return;
  m_phase = Phase::kAborted;
  Wake();
}

void MhdExchange::OnGone(std::function<void()> callback) {
  m_on_gone = std::move(callback);
}

void MhdExchange::OnDrained(std::function<void()> callback) {
  m_on_drained = std::move(callback);
}

MHD_Result MhdExchange::Continue() {
  if (m_gone || m_phase == Phase::kAborted) return MHD_NO;
  if (m_phase != Phase::kWaiting) return Queue();
  Suspend();
  return MHD_YES;
}

void MhdExchange::CallerGone() {
  if (!Open()) return;
  m_gone = true;
  Wake();
  m_on_drained = nullptr;
  const auto callback = std::exchange(m_on_gone, nullptr);
  if (callback) callback();
}

void MhdExchange::Detach(bool whole) {
  if (!whole) CallerGone();
  m_connection = nullptr;
  m_request_run = nullptr;
  m_on_gone = nullptr;
  m_on_drained = nullptr;
}

ssize_t MhdExchange::Read(void* self, uint64_t, char* buffer, size_t room) {
  return (*static_cast<std::shared_ptr<MhdExchange>*>(self))
      ->Take(buffer, room);
}

void MhdExchange::Release(void* self) {
  delete static_cast<std::shared_ptr<MhdExchange>*>(self);
}

// An aborted response ends after the chunks that were written before.
ssize_t MhdExchange::Take(char* buffer, size_t room) {
  if (m_gone) return MHD_CONTENT_READER_END_WITH_ERROR;
  const size_t size = std::min(room, Backlog());
  if (size == 0) {
    if (m_phase == Phase::kAborted) return MHD_CONTENT_READER_END_WITH_ERROR;
    if (m_phase == Phase::kFinished) return MHD_CONTENT_READER_END_OF_STREAM;
    Suspend();
    return 0;
  }
  std::memcpy(buffer, m_out.data() + m_consumed_bytes, size);
  m_consumed_bytes += size;
  if (m_consumed_bytes == m_out.size()) {
    m_consumed_bytes = 0;
    m_out.clear();
    if (m_out.capacity() > kMaxRetainedBuffer) m_out.shrink_to_fit();
    if (m_on_drained) m_on_drained();
  }
  return static_cast<ssize_t>(size);
}

void MhdExchange::SetHead(int status, const Headers& headers) {
  m_status = status;
  m_headers = headers;
}

MHD_Result MhdExchange::Queue() {
  auto* self = new std::shared_ptr<MhdExchange>(shared_from_this());
  MHD_Response* response =
      m_phase == Phase::kWhole
          ? MHD_create_response_from_buffer_with_free_callback_cls(
                m_out.size(), m_out.data(), Release, self)
          : MHD_create_response_from_callback(
                MHD_SIZE_UNKNOWN, kResponseBlockBytes, Read, self, Release);
  if (response == nullptr) {
    Release(self);
    return MHD_NO;
  }
  for (const auto& [name, value] : m_headers)
    MHD_add_response_header(response, name.c_str(), value.c_str());
  const char* connection = MHD_get_response_header(response, "Connection");
  if (m_close && connection == nullptr)
    MHD_add_response_header(response, "Connection", "close");
  const MHD_Result queued = MHD_queue_response(
      m_connection, static_cast<unsigned>(m_status), response);
  MHD_destroy_response(response);
  return queued;
}

void MhdExchange::Suspend() {
  m_suspended = true;
  MHD_suspend_connection(m_connection);
}

void MhdExchange::Wake() {
  if (!m_suspended) return;
  m_suspended = false;
  MHD_resume_connection(m_connection);
  m_request_run();
}

}  // namespace dotterelshift::http
