#include "dotterelshift/orders/order_core.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include "dotterelshift/state/state_testing.h"  // for TestSender

namespace dotterelshift::orders {
namespace {

class OrderCoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OrderCoreTest);
  CPPUNIT_TEST(ConcurrentLoadsAreLimited);
  CPPUNIT_TEST(OrdersOfOneEndpointAreSequential);
  CPPUNIT_TEST(EndpointFencingTable);
  CPPUNIT_TEST(UnansweredOrderIsResent);
  CPPUNIT_TEST(AnnouncementCompletesOrderAfterLostAnswer);
  CPPUNIT_TEST(RefusalOrMaxSendsEndsOrder);
  CPPUNIT_TEST(FencingNumbersIncrease);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_state = state::MakeState();
    m_run = state::TestSender(m_state.get(), "control", 1);
    m_directory = directory::Directory();
    m_core = MakeOrderCore(m_options);
    m_now = Instant(1000s);
    m_plans = 0;
    m_sequence = 0;
    m_core->OnLeadership(true, m_now);
  }

  void ConcurrentLoadsAreLimited() {
    for (const char* id : {"e1", "e2", "e3"}) Announce(id, true);
    Place("draft", {"e1", "e2", "e3"});
    CPPUNIT_ASSERT_EQUAL(size_t{2}, Step().size());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Step().size());
    m_core->OnResult("p1/1", wire::OrderState::Done, "", m_now);
    Step();
    CPPUNIT_ASSERT(StateOf("p1/1") == wire::OrderState::Done);
    // The slot of the first load is released once its result is recorded.
    const auto sent = Step();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, sent.size());
    CPPUNIT_ASSERT_EQUAL(std::string("e3"), sent[0]);
  }

  void OrdersOfOneEndpointAreSequential() {
    Announce("e1", true);
    Place("draft", {"e1"}, "loans");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Step().size());
    CPPUNIT_ASSERT(StateOf("p1/2") == wire::OrderState::Planned);
    m_core->OnResult("p1/1", wire::OrderState::Done, "", m_now);
    Step();
    Step();
    CPPUNIT_ASSERT(StateOf("p1/2") == wire::OrderState::Sent);
  }

  void EndpointFencingTable() {
    struct Row {
      const char* name;
      bool checks;
      Duration since_leading;
      Duration lease_left;
      size_t sent;
    };
    const Duration quiet = m_options.lease + m_options.max_delivery_time;
    const Row rows[] = {
        {"checks", true, 0s, 1s, 1},
        {"checks, lease over", true, 0s, -1s, 1},
        {"new leader", false, 0s, 1s, 0},
        {"predecessor's orders may still arrive", false, quiet - 1ms, 1s, 0},
        {"predecessor's orders expired", false, quiet, 1s, 1},
        {"predecessor's orders expired, lease over", false, quiet, 0s, 0},
    };
    for (const Row& row : rows) {
      setUp();
      m_now += row.since_leading;
      Announce("e1", row.checks);
      Place("draft", {"e1"});
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.sent,
                                   Step(row.lease_left).size());
    }
  }

  void UnansweredOrderIsResent() {
    for (const bool checks : {true, false}) {
      setUp();
      m_now += m_options.lease + m_options.max_delivery_time;
      Announce("e1", checks);
      Place("draft", {"e1"});
      CPPUNIT_ASSERT_EQUAL(size_t{1}, Step().size());
      const Duration wait =
          checks ? m_options.resend_interval : m_options.max_delivery_time;
      CPPUNIT_ASSERT(m_core->NextDue() == m_now + wait);
      m_now += wait - 1ms;
      Announce("e1", checks);
      CPPUNIT_ASSERT_EQUAL(size_t{0}, Step().size());
      m_now += 1ms;
      CPPUNIT_ASSERT_EQUAL(size_t{1}, Step().size());
    }
  }

  void AnnouncementCompletesOrderAfterLostAnswer() {
    Announce("e1", true);
    Place("draft", {"e1"});
    Step();
    m_now += 1s;
    Announce("e1", true, "draft");
    Step();
    CPPUNIT_ASSERT(StateOf("p1/1") == wire::OrderState::Done);
  }

  void RefusalOrMaxSendsEndsOrder() {
    Announce("e1", true);
    Place("draft", {"e1"});
    Step();
    m_core->OnResult("p1/1", wire::OrderState::Refused, "old number", m_now);
    Step();
    CPPUNIT_ASSERT(StateOf("p1/1") == wire::OrderState::Refused);
    m_options.max_sends = 3;
    setUp();
    Announce("e1", true);
    Place("draft", {"e1"});
    for (int i = 0; i < 4; ++i) {
      Step();
      m_now += m_options.resend_interval;
      Announce("e1", true);
    }
    CPPUNIT_ASSERT(StateOf("p1/1") == wire::OrderState::Lost);
  }

  void FencingNumbersIncrease() {
    Announce("e1", true);
    Place("draft", {"e1"});
    Place("big", {"e1"});
    const auto orders = m_state->Orders();
    CPPUNIT_ASSERT_EQUAL(size_t{2}, orders.size());
    CPPUNIT_ASSERT(orders[0].fencing < orders[1].fencing);
  }

 private:
  void Announce(const EndpointId& id, bool checks,
                const char* model = nullptr) {
    wire::EndpointRecordT record;
    record.id = id;
    record.incarnation = 1;
    record.sequence = ++m_sequence;
    record.address = record.id + ":1";
    record.checks_fencing = checks;
    if (model != nullptr) {
      record.models.push_back(std::make_unique<wire::ModelStateT>());
      record.models.back()->model = model;
    }
    m_directory.OnRecord(record, m_now);
  }

  void Place(const ModelName& model, std::vector<EndpointId> endpoints,
             const char* adapter = nullptr) {
    wire::UpsertPlacementT body;
    body.placement = std::make_unique<wire::ModelPlacementT>();
    body.placement->model = model;
    body.placement->endpoints = std::move(endpoints);
    if (adapter != nullptr) body.placement->adapters = {adapter};
    std::vector<wire::ChangeT> changes;
    changes.push_back(state::ChangeOf(std::move(body)));
    state::Accept(m_run, *m_state, "p" + std::to_string(++m_plans),
                  std::move(changes), 1);
  }

  // Runs Decide(), records the results, and returns the endpoints to which
  // orders were sent.
  std::vector<EndpointId> Step(Duration lease_left = 1s) {
    std::vector<EndpointId> sent;
    for (const OrderAction& action :
         m_core->Decide(*m_state, m_directory, m_now + lease_left, m_now)) {
      if (action.kind == OrderAction::Kind::kSend) {
        sent.push_back(action.order.endpoint);
        continue;
      }
      wire::RecordOrderT record;
      record.order = action.order.id;
      record.state = action.state;
      record.detail = action.detail;
      m_run.Send(record, 1);
    }
    return sent;
  }

  wire::OrderState StateOf(const std::string& id) const {
    for (const wire::OrderT& order : m_state->Orders())
      if (order.id == id) return order.state;
    CPPUNIT_FAIL("no order " + id);
    return wire::OrderState::Planned;
  }

  OrderOptions m_options;
  std::unique_ptr<state::State> m_state;
  state::TestSender m_run{nullptr, "", 0};
  directory::Directory m_directory;
  std::unique_ptr<OrderCore> m_core;
  Instant m_now;
  int m_plans = 0;
  uint64_t m_sequence = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(OrderCoreTest);

}  // namespace
}  // namespace dotterelshift::orders
