#ifndef DOTTERELSHIFT_SRC_GATEWAY_CORE_TESTING_H_
#define DOTTERELSHIFT_SRC_GATEWAY_CORE_TESTING_H_

#include <cppunit/TestAssert.h>   // for CPPUNIT_ASSERT
#include <cppunit/TestFixture.h>  // for TestFixture

#include <algorithm>  // for count_if
#include <memory>     // for unique_ptr
#include <optional>   // for optional
#include <string>     // for string
#include <utility>    // for move
#include <variant>    // for get_if
#include <vector>     // for vector

#include "dotterelshift/gateway/core.h"                 // for Core
#include "dotterelshift/gateway/retry_share_testing.h"  // for MakeLeasedShare

namespace dotterelshift::gateway {

// A core with two routes to a plain service of three endpoints, two routes to a
// service of two model engines, one team, and a manual clock. Keeps the actions
// of the last event, with log lines in a list of their own.
class CoreFixture : public CppUnit::TestFixture {
 public:
  void setUp() override {
    m_now = Instant(1000s);
    m_directory = directory::Directory();
    m_load = std::make_unique<FleetLoad>(FleetLoadOptions{"dc"});
    m_budgets = std::make_unique<HeldGrants>(HeldGrantsOptions(), [this] {
      auto id = std::make_unique<wire::CommandIdT>();
      id->sequence = ++m_sequence;
      return id;
    });
    m_retries = std::make_unique<RetryShare>(
        MakeLeasedShare(RetryShareOptions(), 1, m_now));
    m_blocklist = quarantine::Blocklist();
    m_versions = origins::ServiceVersions();
    m_origins.emplace();
    m_restarts.emplace(m_directory);
    m_core = MakeCore(CoreOptions(), Parts());
  }

 protected:
  CoreDependencies Parts(SendPacer* pacer = nullptr,
                         EndpointPaths* paths = nullptr) {
    CoreDependencies parts;
    parts.pacer = pacer;
    parts.paths = paths;
    parts.load = m_load.get();
    parts.budgets = m_budgets.get();
    parts.retries = m_retries.get();
    parts.blocklist = &m_blocklist;
    parts.versions = &m_versions;
    parts.origins = &*m_origins;
    parts.restarts = &*m_restarts;
    return parts;
  }

  static Route RouteOf(const std::string& prefix, RouteKind kind,
                       const ServiceName& service, int attempts) {
    Route route;
    route.name = prefix;
    route.host = "h";
    route.path_prefix = prefix;
    route.kind = kind;
    route.services = {{service, 1}};
    route.timeout = 4s;
    route.target = 600ms;
    route.attempts = attempts;
    return route;
  }

  void Publish(std::optional<Tokens> total = std::nullopt) {
    Routes routes;
    routes.version = 1;
    routes.routes = {RouteOf("/safe/", RouteKind::kIdempotent, "plain", 2),
                     RouteOf("/once/", RouteKind::kOnce, "plain", 1),
                     RouteOf("/resume/", RouteKind::kStream, "llm", 2),
                     RouteOf("/stream/", RouteKind::kStream, "llm", 1)};
    routes.routes[2].resumable = true;
    routes.services = {{"plain", 10, std::nullopt},
                       {"llm", 10, EngineCapacity{8, 100'000, 6}}};
    routes.teams = {{"team", {"key"}, std::nullopt, total}};
    m_core->OnRoutes(std::make_shared<const RouteTable>(std::move(routes)), 1,
                     m_now);
    for (const char* id : {"p1", "p2", "p3"}) Announce(id, "plain");
    for (const char* id : {"l1", "l2"}) Announce(id, "llm");
    m_core->OnEndpointsChanged(m_directory, m_now);
  }

  void Announce(const EndpointId& id, const ServiceName& service,
                bool draining = false, uint64_t incarnation = 0) {
    wire::EndpointRecordT record;
    record.id = id;
    record.sequence = draining ? 2 : 1;
    record.incarnation = incarnation;
    record.draining = draining;
    record.address = record.id + ":80";
    record.data_centre = "dc";
    record.services = {service};
    record.slots = 6;
    m_directory.OnRecord(record, m_now);
  }

  static RequestInfo MakeRequestInfo(const std::string& path,
                                     Tokens tokens = 0) {
    RequestInfo info;
    info.caller_id = "caller-1";
    info.host = "h";
    info.path = path + "x";
    info.key = "key";
    info.timeout = 4s;
    info.prompt.prompt_tokens = tokens;
    info.prompt.output_limit = tokens > 0 ? 60 : 0;
    return info;
  }

  void Request(const std::string& path, Tokens tokens = 0,
               RequestId id = kRequest) {
    m_core->OnRequest(id, MakeRequestInfo(path, tokens), m_now);
    Collect();
  }

  // Resumes the stream whose first request had this id, after its third event.
  void Resume(const std::string& first, RequestId id = kRequest) {
    RequestInfo info = MakeRequestInfo(m_resumed_path);
    info.last_event_id = "3";
    info.first_caller_id = first;
    m_core->OnRequest(id, info, m_now);
    Collect();
  }

  void Collect() {
    m_last.clear();
    m_log_lines.clear();
    for (Action& action : m_core->TakeActions()) {
      if (const auto* line = std::get_if<Decision>(&action))
        m_log_lines.push_back(*line);
      else
        m_last.push_back(std::move(action));
    }
  }

  // Returns the only action of a kind after the last event. Fails unless there
  // is exactly one.
  template <typename Kind>
  Kind Only() {
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Count<Kind>());
    for (const Action& action : m_last)
      if (const Kind* found = std::get_if<Kind>(&action)) return *found;
    return {};
  }
  template <typename Kind>
  size_t Count() const {
    return std::count_if(m_last.begin(), m_last.end(), [](const Action& a) {
      return std::holds_alternative<Kind>(a);
    });
  }

  void Head(AttemptId attempt, int status, bool stream = false,
            const std::string& echo = "caller-1", bool not_run = false) {
    ResponseInfo response_info;
    response_info.echoed_id = echo;
    response_info.has_proof = true;
    response_info.event_stream = stream;
    response_info.not_run = not_run;
    m_core->OnHead(attempt, status, response_info, m_now);
    Collect();
  }
  void Chunk(AttemptId attempt, const std::string& bytes) {
    m_core->OnChunk(attempt, bytes, m_now);
    Collect();
  }
  void End(AttemptId attempt, http::TransferEnd end) {
    m_core->OnEnd(attempt, end, m_now);
    Collect();
  }
  void Advance(Duration time) {
    m_now += time;
    m_core->OnTimer(m_now);
    Collect();
  }

  // Control grants the team `tokens` and reports `left` free ones.
  void AnswerGrantRequest(Tokens tokens, Tokens left) {
    wire::GrantAnswerT grant;
    grant.budget = "team";
    grant.tokens = tokens;
    grant.standing = tokens;
    grant.free = left;
    wire::CommandAnswerT answer;
    answer.body.Set(std::move(grant));
    if (m_budgets->OnAnswer(answer, m_now)) m_core->OnBudgetChanged(m_now);
  }

  static constexpr RequestId kRequest = 1;
  Instant m_now;
  std::string m_resumed_path = "/resume/";
  uint64_t m_sequence = 0;
  directory::Directory m_directory;
  std::unique_ptr<FleetLoad> m_load;
  std::unique_ptr<HeldGrants> m_budgets;
  std::unique_ptr<RetryShare> m_retries;
  quarantine::Blocklist m_blocklist;
  origins::ServiceVersions m_versions;
  std::optional<origins::StreamOrigins> m_origins;
  std::optional<origins::RestartSuspects> m_restarts;
  std::unique_ptr<Core> m_core;
  std::vector<Action> m_last;
  std::vector<Decision> m_log_lines;
};

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_SRC_GATEWAY_CORE_TESTING_H_
