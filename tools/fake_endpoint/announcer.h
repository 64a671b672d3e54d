#ifndef DOTTERELSHIFT_TOOLS_FAKE_ENDPOINT_ANNOUNCER_H_
#define DOTTERELSHIFT_TOOLS_FAKE_ENDPOINT_ANNOUNCER_H_

#include <deque>              // for deque
#include <functional>         // for function
#include <memory>             // for unique_ptr
#include <nlohmann/json.hpp>  // for json
#include <string>             // for string
#include <unordered_set>      // for unordered_set
#include <vector>             // for vector

#include "dotterelshift/http/client.h"  // for Client
#include "dotterelshift/loop/loop.h"    // for Loop
#include "options.h"                    // for Options

namespace dotterelshift::fake {

// Requests that run and wait at an instant.
struct Load {
  Instant when;
  int running = 0;
  size_t waiting = 0;
};

// Tells the entries of the endpoint, with its load as it was some time ago and
// its cache events late and with gaps.
class Announcer {
 public:
  Announcer(loop::Loop& loop, const Options& options, uint16_t port);

  void Start(std::function<Load()> load);
  void SendNow();
  // Prefixes that a request has brought into the cache.
  void OnPrefixes(const std::vector<uint64_t>& hashes);
  void OnModel(const std::string& model, const std::string& version);
  void OnRole(const std::string& role) { m_role = role; }
  bool Serves(const std::string& model) const;
  bool draining = false;

 private:
  struct Event {
    Instant due;
    nlohmann::json body;
  };
  struct Model {
    std::string name;
    std::string version;
  };
  void AddEvent(uint64_t hash, bool stored);
  std::string Body();
  Load LaggedLoad();

  loop::Loop& m_loop;
  const Options& m_options;
  std::string m_address;
  std::string m_role;
  std::vector<Model> m_models;
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
