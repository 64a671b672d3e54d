#ifndef DOTTERELSHIFT_TOOLS_FAKE_ENDPOINT_ANNOUNCER_H_
#define DOTTERELSHIFT_TOOLS_FAKE_ENDPOINT_ANNOUNCER_H_

#include <deque>              // for deque
#include <functional>         // for function
#include <map>                // for map
#include <memory>             // for unique_ptr
#include <nlohmann/json.hpp>  // for json
#include <string>             // for string
#include <unordered_set>      // for unordered_set
#include <vector>             // for vector

#include "dotterelshift/http/client.h"  // for Client
#include "dotterelshift/loop/loop.h"    // for Loop
#include "options.h"                    // for Options

namespace dotterelshift::fake {

// Capacity of the simulated prefix cache, in blocks.
constexpr size_t kCacheBlocks = 1024;

// The number of running and waiting requests at one time.
struct Load {
  Instant when;
  int running = 0;
  size_t waiting = 0;
};

// Announces the endpoint to the entries. The options can delay the reported
// load and the cache events, and drop some of the events.
class Announcer {
 public:
  Announcer(loop::Loop& loop, const Options& options, uint16_t port)
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

  void Start(std::function<Load()> load) {
    m_load = std::move(load);
    m_timer.ArmIn(0s);
  }
  void SendNow() {
    const std::string body = Body();
    for (const std::string& entry : m_options.announce_to) {
      http::ClientRequest request;
      request.url = "http://" + entry + "/endpoint/v1/announce";
      request.headers = {{"Content-Type", "application/json"}};
      request.body = body;
      request.total_timeout = 1s;
      m_client->Start(std::move(request), {});
    }
  }
  // Adds a request's prefixes to the cache and evicts the oldest ones.
  void OnPrefixes(const std::vector<uint64_t>& hashes) {
    for (const uint64_t hash : hashes) {
      if (!m_cached.insert(hash).second) continue;
      m_cache_order.push_back(hash);
      AddEvent(hash, true);
    }
    while (m_cached.size() > kCacheBlocks) {
      const uint64_t oldest = m_cache_order.front();
      m_cache_order.pop_front();
      m_cached.erase(oldest);
      AddEvent(oldest, false);
    }
  }
  void OnModel(const std::string& model, const std::string& version) {
    m_models[model] = version;
  }
  void OnRole(const std::string& role) { m_role = role; }
  bool Serves(const std::string& model) const {
    return m_models.contains(model);
  }
  bool draining = false;

 private:
  struct Event {
    Instant due;
    nlohmann::json body;
  };
  void AddEvent(uint64_t hash, bool stored) {
    ++m_event_sequence;
    const auto gap = static_cast<uint64_t>(m_options.cache_gap);
    if (gap > 0 && m_event_sequence % gap == 0) return;
    m_events.push_back({m_loop.Now() + m_options.cache_lag,
                        {{"sequence", m_event_sequence},
                         {"prefix_hash", hash},
                         {"stored", stored}}});
  }
  std::string Body() {
    const Load load = LaggedLoad();
    nlohmann::json models = nlohmann::json::array();
    for (const auto& [name, version] : m_models) {
      nlohmann::json entry = {{"model", name}};
      if (!version.empty()) entry["version"] = version;
      models.push_back(std::move(entry));
    }
    nlohmann::json body = {{"id", m_options.id},
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
    nlohmann::json events = nlohmann::json::array();
    while (!m_events.empty() && m_events.front().due <= m_loop.Now()) {
      events.push_back(std::move(m_events.front().body));
      m_events.pop_front();
    }
    if (!events.empty()) body["cache_events"] = std::move(events);
    return body.dump();
  }
  Load LaggedLoad() {
    m_history.push_back(m_load());
    const Instant wanted = m_loop.Now() - m_options.load_lag;
    while (m_history.size() > 1 && m_history[1].when <= wanted)
      m_history.pop_front();
    return m_history.front();
  }

  loop::Loop& m_loop;
  const Options& m_options;
  std::string m_address;
  std::string m_role;
  std::map<std::string, std::string> m_models;  // version by model name
  std::function<Load()> m_load;
  std::deque<Load> m_history;
  int64_t m_incarnation;
  uint64_t m_sequence = 0;
  uint64_t m_event_sequence = 0;
  std::deque<Event> m_events;
  std::unordered_set<uint64_t> m_cached;
  std::deque<uint64_t> m_cache_order;
  std::unique_ptr<http::Client> m_client;
  loop::Timer m_timer;
};

}  // namespace dotterelshift::fake

#endif  // DOTTERELSHIFT_TOOLS_FAKE_ENDPOINT_ANNOUNCER_H_
