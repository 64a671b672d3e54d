#ifndef DOTTERELSHIFT_SRC_APP_GATEWAY_TRAFFIC_TESTING_H_
#define DOTTERELSHIFT_SRC_APP_GATEWAY_TRAFFIC_TESTING_H_

#include <cppunit/TestAssert.h>   // for CPPUNIT_ASSERT
#include <cppunit/TestFixture.h>  // for TestFixture

#include <functional>   // for function
#include <memory>       // for make_shared, unique_ptr
#include <optional>     // for optional
#include <string>       // for string
#include <string_view>  // for string_view
#include <utility>      // for move

#include "dotterelshift/app/gateway_traffic.h"          // for GatewayTraffic
#include "dotterelshift/gateway/retry_share_testing.h"  // for MakeLeasedShare
#include "dotterelshift/http/test_listener.h"           // for TestListener

namespace dotterelshift::app {

// Receive buffer of a peer that reads nothing.
inline constexpr int kSmallBuffer = 4 << 10;

// A dialect that counts the attempts.
class TestDialect : public gateway::Dialect {
 public:
  gateway::RequestInfo ReadRequestInfo(
      const http::Request& request) const override {
    gateway::RequestInfo info;
    info.caller_id = m_caller_id;
    info.host = "h";
    info.path = request.path;
    return info;
  }
  http::Headers OnwardHeaders(const http::Request&,
                              const gateway::StartAttempt&) const override {
    ++m_attempts;
    return {{"host", "h"}};
  }
  gateway::ResponseInfo ReadResponseInfo(
      int, const http::Headers& headers) const override {
    gateway::ResponseInfo response_info;
    response_info.has_proof = true;
    for (const auto& [name, value] : headers) {
      if (name == "x-id") response_info.echoed_id = value;
      if (name == "x-not-run") response_info.not_run = true;
      if (name == "content-type") response_info.event_stream = true;
    }
    return response_info;
  }
  std::optional<gateway::Routes> ReadRoutes(std::string_view,
                                            std::string*) const override {
    return std::nullopt;
  }
  std::string_view ReadyPath() const override { return "/ready"; }

  int Attempts() const { return m_attempts; }
  // The id of the requests that are read from now on.
  void SetCallerId(const std::string& id) { m_caller_id = id; }

 private:
  std::string m_caller_id = "caller-1";
  mutable int m_attempts = 0;
};

// Real connections between a core and endpoints of the test, which announces
// them. Each route sends to one service of all endpoints.
class GatewayTrafficFixture : public CppUnit::TestFixture {
 public:
  void setUp() override {
    m_load =
        std::make_unique<gateway::FleetLoad>(gateway::FleetLoadOptions{"dc"});
    m_budgets = std::make_unique<gateway::HeldGrants>(
        gateway::HeldGrantsOptions(),
        [] { return std::make_unique<wire::CommandIdT>(); });
    m_retries = std::make_unique<gateway::RetryShare>(gateway::MakeLeasedShare(
        gateway::RetryShareOptions(), 1, m_loop.Now()));
    m_core =
        gateway::MakeCore(gateway::CoreOptions(), {.load = m_load.get(),
                                                   .budgets = m_budgets.get(),
                                                   .retries = m_retries.get(),
                                                   .versions = &m_versions,
                                                   .origins = &m_origins,
                                                   .restarts = &m_restarts});
    m_traffic = std::make_unique<GatewayTraffic>(m_loop, *m_core, m_dialect,
                                                 *m_metrics, m_link);
    gateway::Route once;
    once.name = once.path_prefix = "/once/";
    once.host = "h";
    once.kind = gateway::RouteKind::kOnce;
    once.services = {{"plain", 1}};
    once.timeout = once.target = 60s;
    gateway::Route safe = once;
    safe.name = safe.path_prefix = "/safe/";
    safe.kind = gateway::RouteKind::kIdempotent;
    safe.attempts = 2;
    gateway::Route stream = once;
    stream.name = stream.path_prefix = "/stream/";
    stream.kind = gateway::RouteKind::kStream;
    gateway::Routes routes;
    routes.version = 1;
    routes.routes = {once, safe, stream};
    routes.services = {{"plain", 10, std::nullopt}};
    m_core->OnRoutes(
        std::make_shared<const gateway::RouteTable>(std::move(routes)), 1,
        m_loop.Now());
  }

 protected:
  void Announce(const http::TestListener& endpoint) {
    wire::EndpointRecordT record;
    record.id = "p" + std::to_string(endpoint.Port());
    record.sequence = 1;
    record.address = "127.0.0.1:" + std::to_string(endpoint.Port());
    record.data_centre = "dc";
    record.services = {"plain"};
    record.slots = 6;
    m_directory.OnRecord(record, m_loop.Now());
    m_core->OnEndpointsChanged(m_directory, m_loop.Now());
  }

  // The endpoint's side of the connection, once this many bytes have arrived.
  http::TestPeer AcceptWith(const http::TestListener& endpoint, size_t bytes) {
    RunUntil([&] { return endpoint.HasConnection(); });
    http::TestPeer peer = endpoint.Accept();
    RunUntil([&] { return peer.Waiting() >= bytes; });
    return peer;
  }

  void ExpectNothingOpen() {
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_core->OpenRequests());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_traffic->OpenResponses());
  }

  // Polls the loop without blocking, because the endpoints do not run on it.
  void RunUntil(const std::function<bool()>& condition) {
    const Instant begin = m_loop.Now();
    while (!condition()) {
      CPPUNIT_ASSERT(m_loop.Now() - begin < kGuard);
      ev_run(m_loop.Raw(), EVRUN_NOWAIT);
    }
  }

  // Runs what is due, without waiting for further events.
  void Turn() {
    constexpr int kTurns = 20;
    for (int i = 0; i < kTurns; ++i) ev_run(m_loop.Raw(), EVRUN_NOWAIT);
  }

  loop::Loop m_loop;
  TestDialect m_dialect;
  directory::Directory m_directory;
  std::unique_ptr<telemetry::Metrics> m_metrics = telemetry::MakeMetrics();
  std::unique_ptr<gateway::FleetLoad> m_load;
  std::unique_ptr<gateway::HeldGrants> m_budgets;
  std::unique_ptr<gateway::RetryShare> m_retries;
  origins::ServiceVersions m_versions;
  origins::StreamOrigins m_origins;
  origins::RestartSuspects m_restarts{m_directory};
  std::unique_ptr<gateway::Core> m_core;
  LinkGuard m_link{settings::Settings()};
  std::unique_ptr<GatewayTraffic> m_traffic;

 private:
  // Far above the time of an event on loopback.
  static constexpr Duration kGuard = 10s;
};

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_SRC_APP_GATEWAY_TRAFFIC_TESTING_H_
