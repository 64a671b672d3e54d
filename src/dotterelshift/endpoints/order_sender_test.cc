#include "dotterelshift/endpoints/order_sender.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <nlohmann/json.hpp>  // for json
#include <string>             // for string
#include <vector>             // for vector

#include "dotterelshift/http/server.h"  // for MakeServer
#include "dotterelshift/loop/loop.h"    // for Loop

namespace dotterelshift::endpoints {
namespace {

using http::Exchange;
using wire::OrderState;

// An engine's behaviour and the resulting state of the order.
struct Row {
  std::string name;
  std::function<void(Exchange&)> engine;
  OrderState state;
  std::string detail;
};

std::function<void(Exchange&)> Answers(int status, const std::string& body) {
  return [=](Exchange& exchange) { exchange.Answer(status, {}, body); };
}

std::vector<Row> Rows() {
  return {
      {"200", Answers(200, "loaded"), OrderState::Done, "loaded"},
      {"409", Answers(409, "old number"), OrderState::Refused, "old number"},
      {"400", Answers(400, "no such model"), OrderState::Refused,
       "no such model"},
      {"500", Answers(500, "oops"), OrderState::Lost, "oops"},
      {"long detail", Answers(200, std::string(2000, 'x')), OrderState::Done,
       std::string(512, 'x')},
      {"connection closed", [](Exchange& exchange) { exchange.Abort(); },
       OrderState::Lost, "the connection broke"},
      {"no answer", [](Exchange&) {}, OrderState::Lost, "no answer in time"},
  };
}

class OrderSenderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OrderSenderTest);
  CPPUNIT_TEST(OrderStateMatchesEngineBehaviour);
  CPPUNIT_TEST(ConnectionRefusedIsReportedAsRefused);
  CPPUNIT_TEST(EveryOrderFieldIsSent);
  CPPUNIT_TEST_SUITE_END();

 public:
  void OrderStateMatchesEngineBehaviour() {
    for (const Row& row : Rows()) {
      m_engine = row.engine;
      Send(50ms);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, size_t{1}, m_states.size());
      CPPUNIT_ASSERT_MESSAGE(row.name, m_states[0] == row.state);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.detail, m_detail);
    }
  }

  // The order was never sent, so it cannot have been executed.
  void ConnectionRefusedIsReportedAsRefused() {
    m_server.reset();
    Send(5s);
    CPPUNIT_ASSERT(m_states.at(0) == OrderState::Refused);
  }

  void EveryOrderFieldIsSent() {
    std::string path;
    std::string body;
    m_engine = [&](Exchange& exchange) {
      path = exchange.GetRequest().path;
      body = exchange.GetRequest().body;
      exchange.Answer(200, {}, "");
    };
    Send(5s);
    CPPUNIT_ASSERT_EQUAL(std::string("/endpoint/v1/orders"), path);
    const auto expected = nlohmann::json::parse(
        R"({"id":"o1","fencing":42,"kind":"load_adapter","model":"m",
            "version":"3","argument":"adapter"})");
    CPPUNIT_ASSERT(expected == nlohmann::json::parse(body));
  }

 private:
  void Send(Duration timeout) {
    m_states.clear();
    wire::OrderT order;
    order.id = "o1";
    order.fencing = 42;
    order.kind = wire::OrderKind::LoadAdapter;
    order.model = "m";
    order.version = "3";
    order.argument = "adapter";
    SendOrder(*m_client, "127.0.0.1:" + std::to_string(m_port), order, timeout,
              [this](OrderState state, std::string detail) {
                m_states.push_back(state);
                m_detail = std::move(detail);
              });
    while (m_states.empty()) ev_run(m_loop.Raw(), EVRUN_ONCE);
  }

  loop::Loop m_loop;
  std::function<void(Exchange&)> m_engine;
  std::vector<std::shared_ptr<Exchange>> m_kept;
  std::unique_ptr<http::Server> m_server =
      http::MakeServer(m_loop, {}, [this](std::shared_ptr<Exchange> exchange) {
        m_engine(*exchange);
        m_kept.push_back(std::move(exchange));
      });
  uint16_t m_port = m_server->Port();
  std::unique_ptr<http::Client> m_client = http::MakeClient(m_loop);
  std::vector<OrderState> m_states;
  std::string m_detail;
};

CPPUNIT_TEST_SUITE_REGISTRATION(OrderSenderTest);

}  // namespace
}  // namespace dotterelshift::endpoints
