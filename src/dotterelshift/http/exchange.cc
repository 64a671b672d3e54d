#include "dotterelshift/http/exchange.h"

#include <algorithm>  // for min
#include <optional>   // for optional
#include <utility>    // for move

namespace dotterelshift::http {
namespace {

// Memory of a drained buffer above this size is released.
constexpr size_t kMaxRetainedBuffer = 32 << 10;

}  // namespace

void ServerExchange::Answer(int status, const Headers& headers,
                            std::string body) {
  if (!Open() || m_phase != Phase::kWaiting) return;
  SetHead(status, headers);
  m_out = std::move(body);
  m_held.Set(m_out.size());
  m_phase = Phase::kWhole;
  Wake();
}

void ServerExchange::SendHead(int status, const Headers& headers) {
  if (!Open() || m_phase != Phase::kWaiting) return;
  SetHead(status, headers);
  m_phase = Phase::kStreaming;
  Wake();
}

void ServerExchange::WriteChunk(std::string_view chunk) {
  if (!Open() || m_phase != Phase::kStreaming || chunk.empty()) return;
  m_out.append(chunk);
  m_held.Set(m_out.size());
  Wake();
}

void ServerExchange::Finish() {
  if (!Open() || m_phase != Phase::kStreaming) return;
  m_phase = Phase::kFinished;
  Wake();
}

void ServerExchange::Abort() {
  if (!Open()) return;
  m_phase = Phase::kAborted;
  Wake();
}

void ServerExchange::OnGone(std::function<void()> callback) {
  m_on_gone = std::move(callback);
}

void ServerExchange::OnDrained(std::function<void()> callback) {
  m_on_drained = std::move(callback);
}

void ServerExchange::CallerGone() {
  if (!Open()) return;
  m_gone = true;
  Wake();
  m_on_drained = nullptr;
  const auto callback = std::exchange(m_on_gone, nullptr);
  if (callback) callback();
}

void ServerExchange::Detach(bool whole) {
  if (!whole) CallerGone();
  m_wake = nullptr;
  m_on_gone = nullptr;
  m_on_drained = nullptr;
  m_held.Set(0);
}

void ServerExchange::Produce(size_t room, std::string* out) {
  if (m_gone || !m_head_given || m_ended) return;
  if (!m_head_produced) ProduceHead(out);
  if (Backlog() > 0) ProduceBody(room, out);
  // An aborted response ends after the chunks that were written before.
  if (Backlog() == 0 && IsWhole()) ProduceEnd(out);
}

void ServerExchange::ProduceHead(std::string* out) {
  const std::optional<size_t> length =
      m_phase == Phase::kWhole ? std::optional(m_out.size()) : std::nullopt;
  m_framing = FramingOf(m_status, length, m_terms);
  m_close = m_close || !m_terms.keep_alive || AsksToClose(m_headers) ||
            m_framing == ResponseFraming::kClose;
  *out += MakeResponseHead(m_status, m_headers, m_framing, length, m_close,
                           m_terms);
  m_head_produced = true;
  m_headers = {};
}

void ServerExchange::ProduceBody(size_t room, std::string* out) {
  const size_t size = std::min(room, Backlog());
  const std::string_view data(m_out.data() + m_consumed_bytes, size);
  if (m_framing == ResponseFraming::kChunked)
    AppendChunk(data, out);
  else if (m_framing != ResponseFraming::kNoBody)
    out->append(data);
  m_consumed_bytes += size;
  if (m_consumed_bytes < m_out.size()) return;
  m_consumed_bytes = 0;
  m_out.clear();
  if (m_out.capacity() > kMaxRetainedBuffer) m_out.shrink_to_fit();
  m_held.Set(0);
  // The callback may replace itself.
  const auto callback = m_on_drained;
  if (callback) callback();
}

void ServerExchange::ProduceEnd(std::string* out) {
  if (m_framing == ResponseFraming::kChunked) out->append(kLastChunk);
  m_ended = true;
}

void ServerExchange::SetHead(int status, const Headers& headers) {
  m_status = status;
  m_headers = headers;
  m_head_given = true;
}

void ServerExchange::Wake() {
  if (m_wake) m_wake();
}

}  // namespace dotterelshift::http
