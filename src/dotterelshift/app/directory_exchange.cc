#include "dotterelshift/app/directory_exchange.h"

#include <memory>   // for make_unique
#include <utility>  // for move
#include <variant>  // for get_if

#include "dotterelshift/callers/front.h"           // for AnswerError
#include "dotterelshift/endpoints/announcement.h"  // for ParseAnnouncement

namespace dotterelshift::app {
namespace {

// How often changes are sent on and silent endpoints are looked for.
constexpr Duration kSpreadEvery = 100ms;

}  // namespace

DirectoryExchange::DirectoryExchange(loop::Loop& loop, Callbacks callbacks)
    : m_loop(loop),
      m_callbacks(std::move(callbacks)),
      m_timer(loop, [this] { OnTimer(); }) {
  m_timer.ArmIn(kSpreadEvery);
}

void DirectoryExchange::OnAnnounce(http::Exchange& exchange) {
  auto parsed = endpoints::ParseAnnouncement(exchange.GetRequest().body);
  if (const auto* refusal = std::get_if<callers::Refusal>(&parsed)) {
    callers::AnswerError(exchange, refusal->kind, refusal->detail);
    return;
  }
  const auto& announcement = std::get<endpoints::Announcement>(parsed);
  const bool news = m_directory.OnRecord(announcement.record, m_loop.Now());
  if (!announcement.cache_events.empty()) {
    m_callbacks.on_cache_events(announcement.cache_events);
    m_events_to_spread.insert(m_events_to_spread.end(),
                              announcement.cache_events.begin(),
                              announcement.cache_events.end());
  }
  exchange.Answer(200, {{"content-type", "application/json"}}, "{}");
  if (news) m_callbacks.on_change();
}

void DirectoryExchange::OnPeerUp(const peers::PeerInfo& peer) {
  m_hub->Send(peer.run.host,
              peers::MakeFrame(m_directory.Everything(m_loop.Now())));
}

bool DirectoryExchange::OnFrame(const wire::FrameT& frame) {
  const wire::DirectoryDeltaT* delta = frame.body.AsDirectoryDelta();
  if (delta == nullptr) return false;
  bool news = false;
  for (const auto& record : delta->records)
    news |= record != nullptr && m_directory.OnRecord(*record, m_loop.Now());
  std::vector<wire::CacheEventT> events;
  for (const auto& event : delta->cache_events) {
    if (event != nullptr) events.push_back(*event);
  }
  if (!events.empty()) m_callbacks.on_cache_events(events);
  if (news) m_callbacks.on_change();
  return true;
}

void DirectoryExchange::OnTimer() {
  const Instant now = m_loop.Now();
  if (m_directory.OnTimer(now)) m_callbacks.on_change();
  wire::DirectoryDeltaT delta = m_directory.TakeDelta(now);
  for (const wire::CacheEventT& event : m_events_to_spread) {
    delta.cache_events.push_back(std::make_unique<wire::CacheEventT>(event));
  }
  m_events_to_spread.clear();
  if (!delta.records.empty() || !delta.cache_events.empty()) {
    const wire::FrameT frame = peers::MakeFrame(std::move(delta));
    for (const peers::PeerInfo& peer : m_hub->Peers())
      m_hub->Send(peer.run.host, frame);
  }
  m_timer.ArmIn(kSpreadEvery);
}

}  // namespace dotterelshift::app
