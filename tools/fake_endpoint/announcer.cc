#include "announcer.h"

#include <algorithm>  // for any_of
#include <utility>    // for move

namespace dotterelshift::fake {

using nlohmann::json;

Announcer::Announcer(loop::Loop& loop, const Options& options, uint16_t port)
    : m_loop(loop),
      m_options(options),
      m_address(options.address + ":" + std::to_string(port)),
      m_role(options.role),
      m_incarnation(loop.WallNow()),
      m_client(http::MakeClient(loop)),
      m_timer(loop, [this] {
        SendNow();
        m_timer.ArmIn(m_options.announce_interval);
      }) {
  for (const std::string& model : options.models) {
    const size_t at = model.find('@');
    OnModel(model.substr(0, at),
            at == std::string::npos ? "" : model.substr(at + 1));
  }
}

void Announcer::Start(std::function<Load()> load) {
  m_load = std::move(load);
  m_timer.ArmIn(0s);
}

void Announcer::SendNow() {
  const std::string body = Body();
  for (const std::string& entry : m_options.announce_to) {
    http::ClientRequest request;
    request.url = "http://" + entry + "/endpoint/v1/announce";
    request.headers = {{"Content-Type", "application/json"}};
    request.body = body;
    request.total_timeout = 1s;
    http::TransferCallbacks callbacks;
    callbacks.on_head = [](int, const http::Headers&) {};
    callbacks.on_piece = [](std::string_view) { return true; };
    m_client->Start(std::move(request), std::move(callbacks));
  }
}

void Announcer::OnPrefixes(const std::vector<uint64_t>& hashes) {
  for (const uint64_t hash : hashes) {
    if (!m_cached.insert(hash).second) continue;
    m_cache_order.push_back(hash);
    AddEvent(hash, true);
  }
  while (m_cached.size() > m_options.cache_blocks) {
    const uint64_t oldest = m_cache_order.front();
    m_cache_order.pop_front();
    m_cached.erase(oldest);
    AddEvent(oldest, false);
  }
}

void Announcer::AddEvent(uint64_t hash, bool stored) {
  ++m_event_sequence;
  const auto gap = static_cast<uint64_t>(m_options.cache_gap);
  if (gap > 0 && m_event_sequence % gap == 0) return;
  m_events.push_back({m_loop.Now() + m_options.cache_lag,
                      {{"sequence", m_event_sequence},
                       {"prefix_hash", hash},
                       {"stored", stored}}});
}

void Announcer::OnModel(const std::string& model, const std::string& version) {
  std::erase_if(m_models,
                [&model](const Model& known) { return known.name == model; });
  m_models.push_back({model, version});
}

bool Announcer::Serves(const std::string& model) const {
  return std::ranges::any_of(
      m_models, [&model](const Model& known) { return known.name == model; });
}

Load Announcer::LaggedLoad() {
  m_history.push_back(m_load());
  const Instant wanted = m_loop.Now() - m_options.load_lag;
  while (m_history.size() > 1 && m_history[1].when <= wanted)
    m_history.pop_front();
  return m_history.front();
}

std::string Announcer::Body() {
  const Load load = LaggedLoad();
  json models = json::array();
  for (const Model& model : m_models) {
    json entry = {{"model", model.name}};
    if (!model.version.empty()) entry["version"] = model.version;
    models.push_back(std::move(entry));
  }
  json body = {{"id", m_options.id},
               {"incarnation", m_incarnation},
               {"sequence", ++m_sequence},
               {"address", m_address},
               {"data_centre", m_options.data_centre},
               {"draining", draining},
               {"checks_fencing", m_options.checks_fencing},
               {"models", std::move(models)},
               {"services", m_options.services},
               {"slots", m_options.slots},
               {"running", load.running},
               {"waiting", load.waiting}};
  if (!m_role.empty()) body["role"] = m_role;
  json events = json::array();
  while (!m_events.empty() && m_events.front().due <= m_loop.Now()) {
    events.push_back(std::move(m_events.front().body));
    m_events.pop_front();
  }
  if (!events.empty()) body["cache_events"] = std::move(events);
  return body.dump();
}

}  // namespace dotterelshift::fake
