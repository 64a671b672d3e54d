#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <map>     // for map
#include <random>  // for mt19937_64
#include <string>  // for string
#include <vector>  // for vector

#include "dotterelshift/serving/serving_testing.h"  // for TestEntry

namespace dotterelshift::serving {
namespace {

constexpr int kSeeds = 300;
constexpr int kSteps = 250;
constexpr Tokens kPurchased = 12'000;

// The actual state of an attempt on its endpoint, known only to the test.
struct ObservedAttempt {
  RequestId request = 0;
  std::string loan;  // key of a request that is not idempotent, or empty
  bool open = true;
  bool ran = true;  // unless the endpoint is known not to have run it
  bool has_chunks = false;
  Tokens consumed = 100;
};

struct Sent {
  std::string loan;
  bool gone = false;
};

// Two entries under random events; the invariants are checked after each event.
class RandomRun {
 public:
  explicit RandomRun(uint64_t seed)
      : m_seed(seed), m_random(seed), m_control(kPurchased) {
    RequestCoreOptions options;
    options.settle_timeout = 500ms;
    for (const char* host : {"first", "second"}) {
      m_entries.push_back(
          std::make_unique<TestEntry>(&m_control, host, options));
    }
    m_observed.resize(2);
    m_sent.resize(2);
    for (size_t at : {0, 1}) {
      for (int i = 0; i < 4; ++i) Announce(at);
    }
  }

  void Run() {
    for (int step = 0; step < kSteps; ++step) {
      const size_t at = Below(2);
      Step(at);
      ObserveAttempts(0);
      ObserveAttempts(1);
      CheckSpend();
    }
    Settle();
  }

 private:
  size_t Below(size_t bound) { return m_random() % bound; }
  std::string WithSeed(const std::string& what) const {
    return what + ", seed " + std::to_string(m_seed);
  }

  void Step(size_t at) {
    TestEntry& entry = *m_entries[at];
    switch (Below(16)) {
      case 0:
      case 1:
      case 2:
        SendChat(at);
        break;
      case 3:
        SendLoan(at);
        break;
      case 4:
      case 5:
      case 6:
        SendChunk(at);
        break;
      case 7:
      case 8:
      case 9:
        EndAttempt(at);
        break;
      case 10:
        DisconnectCaller(at);
        break;
      case 11:
        entry.held = !entry.held;
        entry.Pump();
        break;
      case 12:
        entry.Reach(Below(3) == 0 ? ControlReach::kCutOff
                                  : ControlReach::kConnected);
        break;
      case 13:
        entry.spooling_available = !entry.spooling_available;
        MergeSpool(at);
        break;
      case 14:
        Announce(at);
        break;
      default:
        entry.AdvanceClock(std::chrono::milliseconds(10 + Below(1500)));
    }
  }

  void Announce(size_t at) {
    const bool draining = Below(8) == 0;
    m_entries[at]->Announce("engine-" + std::to_string(Below(6)), draining);
  }

  void SendChat(size_t at) {
    callers::CallerRequest request = TestEntry::Chat(1 + Below(8));
    request.deadline = std::chrono::milliseconds(200 + Below(20'000));
    if (Below(3) == 0) request.idempotency_key = "k" + std::to_string(Below(5));
    Send(at, std::move(request), "");
  }

  void SendLoan(size_t at) {
    const size_t book = Below(4);
    const std::string key = "book-" + std::to_string(book);
    Send(at, TestEntry::Loan(key, 100 + book), key);
  }

  void Send(size_t at, callers::CallerRequest request,
            const std::string& loan) {
    // Recorded first, because it may start or end before Send() returns.
    m_sent[at][m_sent[at].size() + 1] = {loan};
    m_entries[at]->Send(std::move(request));
  }

  // A random attempt among all that were started; it may have ended.
  AttemptId AnyAttempt(size_t at) {
    const std::vector<StartAttempt>& starts = m_entries[at]->starts;
    if (starts.empty()) return 0;
    const size_t back = Below(2) == 0 ? 4 : starts.size();
    return starts[starts.size() - 1 - Below(std::min(back, starts.size()))]
        .attempt;
  }

  void SendChunk(size_t at) {
    const AttemptId attempt = AnyAttempt(at);
    if (attempt == 0) return;
    ObservedAttempt& observed = m_observed[at][attempt];
    const Tokens tokens = static_cast<Tokens>(1 + Below(20));
    const bool was_open = observed.open;
    const ChunkVerdict verdict = m_entries[at]->Chunk(tokens, attempt);
    if (was_open) {
      // The engine respects the output limit of the request.
      if (observed.loan.empty())
        observed.consumed = std::min<Tokens>(150, observed.consumed + tokens);
      observed.has_chunks = true;
    }
    const bool late = !was_open && verdict != ChunkVerdict::kDrop;
    CPPUNIT_ASSERT_MESSAGE(WithSeed("late chunk forwarded"), !late);
  }

  void EndAttempt(size_t at) {
    constexpr AttemptEnd kEnds[] = {
        AttemptEnd::kWhole,      AttemptEnd::kWhole,
        AttemptEnd::kNotSent,    AttemptEnd::kRefusedBeforeRun,
        AttemptEnd::kDied,       AttemptEnd::kTimedOut,
        AttemptEnd::kCallerError};
    const AttemptId attempt = AnyAttempt(at);
    if (attempt == 0) return;
    ObservedAttempt& observed = m_observed[at][attempt];
    AttemptEnd end = kEnds[Below(7)];
    // An attempt that returned chunks has run.
    if (observed.has_chunks &&
        (end == AttemptEnd::kNotSent || end == AttemptEnd::kRefusedBeforeRun ||
         end == AttemptEnd::kCallerError))
      end = AttemptEnd::kDied;
    if (observed.open) {
      observed.open = false;
      observed.ran =
          end != AttemptEnd::kNotSent && end != AttemptEnd::kRefusedBeforeRun;
      if (!observed.ran || end == AttemptEnd::kCallerError)
        observed.consumed = 0;
      if (end == AttemptEnd::kDied || end == AttemptEnd::kTimedOut)
        ConsumeReservation(&observed);
    }
    m_entries[at]->End(end, attempt);
  }

  // The engine generates output up to the limit, although nobody receives it.
  static void ConsumeReservation(ObservedAttempt* observed) {
    if (observed->loan.empty()) observed->consumed = 150;
  }

  void DisconnectCaller(size_t at) {
    if (m_sent[at].empty()) return;
    const RequestId request = 1 + Below(m_sent[at].size());
    if (!m_entries[at]->HasEnded(request)) m_sent[at][request].gone = true;
    m_entries[at]->CallerGone(request);
  }

  // Another host proposes the settlements that this entry spooled.
  void MergeSpool(size_t at) {
    state::TestSender spooler(m_control.state.get(), "spooler", ++m_spools);
    wire::RegisterHostT registration;
    spooler.Send(registration, ++m_control.stamp);
    for (const wire::CommandT& command : m_entries[at]->spooled)
      spooler.Send(*command.body.AsSettle(), ++m_control.stamp);
    m_entries[at]->spooled.clear();
  }

  // Records new attempts and cancellations.
  void ObserveAttempts(size_t at) {
    TestEntry& entry = *m_entries[at];
    for (; m_starts_seen[at] < entry.starts.size(); ++m_starts_seen[at]) {
      const StartAttempt& start = entry.starts[m_starts_seen[at]];
      ObservedAttempt observed;
      observed.request = start.request;
      observed.loan = m_sent[at].at(start.request).loan;
      CheckAtMostOnce(observed.loan);
      if (!observed.loan.empty()) observed.consumed = 10;
      m_observed[at].emplace(start.attempt, observed);
    }
    for (const AttemptId attempt : entry.cancelled) {
      m_observed[at][attempt].open = false;
      ConsumeReservation(&m_observed[at][attempt]);
    }
    entry.cancelled.clear();
  }

  void CheckAtMostOnce(const std::string& loan) {
    if (loan.empty()) return;
    for (const auto& observed_attempts : m_observed) {
      for (const auto& [attempt, observed] : observed_attempts) {
        const bool twice = observed.loan == loan && observed.ran;
        CPPUNIT_ASSERT_MESSAGE(WithSeed(loan + " may run twice"), !twice);
      }
    }
  }

  void CheckSpend() {
    Tokens consumed = 0;
    for (const auto& observed_attempts : m_observed) {
      for (const auto& [attempt, observed] : observed_attempts)
        consumed += observed.consumed;
    }
    CPPUNIT_ASSERT_MESSAGE(WithSeed("overspend"), consumed <= kPurchased);
    CPPUNIT_ASSERT_MESSAGE(WithSeed("overspend in the account"),
                           m_control.Account().Free() >= 0);
  }

  // Ends all faults, waits until all deadlines have passed, drains the entries
  // and checks the final state.
  void Settle() {
    for (const auto& entry : m_entries) {
      entry->held = false;
      entry->spooling_available = true;
      entry->Reach(ControlReach::kConnected);
    }
    for (size_t at : {0, 1}) {
      m_entries[at]->AdvanceClock(70s);
      ObserveAttempts(at);
      MergeSpool(at);
      m_entries[at]->core->StartDraining(m_entries[at]->now);
      m_entries[at]->Pump();
    }
    CheckSpend();
    for (size_t at : {0, 1}) CheckEnds(at);
    for (const state::Holding& holding : m_control.state->HoldingsOf("budget"))
      CPPUNIT_ASSERT_EQUAL_MESSAGE(WithSeed("open"), Tokens{0}, holding.opened);
    const std::vector<std::string> wrong = m_control.state->Disagreements();
    CPPUNIT_ASSERT_MESSAGE(WithSeed(wrong.empty() ? "" : wrong[0]),
                           wrong.empty());
  }

  void CheckEnds(size_t at) {
    TestEntry& entry = *m_entries[at];
    CPPUNIT_ASSERT_EQUAL_MESSAGE(WithSeed("open requests"), size_t{0},
                                 entry.core->OpenRequests());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(WithSeed("reserved"), Tokens{0},
                                 entry.ledger->Reserved(0));
    CPPUNIT_ASSERT_MESSAGE(WithSeed("not drained"), entry.core->Drained());
    for (const auto& [request, sent] : m_sent[at]) {
      const int ends = entry.end_counts[request];
      CPPUNIT_ASSERT_MESSAGE(WithSeed("number of ends of a request"),
                             sent.gone ? ends <= 1 : ends == 1);
      if (ends == 1) CheckRan(at, request);
    }
  }

  void CheckRan(size_t at, RequestId request) {
    const ErrorKind kind = m_entries[at]->EndOf(request);
    if (kind == ErrorKind::kNone || RowOf(kind).ran != Ran::kNo) return;
    for (const auto& [attempt, observed] : m_observed[at]) {
      const bool lie = observed.request == request && observed.ran;
      CPPUNIT_ASSERT_MESSAGE(WithSeed(std::string(RowOf(kind).name) +
                                      " reported for a request that ran"),
                             !lie);
    }
  }

  uint64_t m_seed;
  std::mt19937_64 m_random;
  TestControl m_control;
  std::vector<std::unique_ptr<TestEntry>> m_entries;
  std::vector<std::map<AttemptId, ObservedAttempt>> m_observed;
  std::vector<std::map<RequestId, Sent>> m_sent;
  size_t m_starts_seen[2] = {0, 0};
  Incarnation m_spools = 0;
};

class ServingPropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServingPropertyTest);
  CPPUNIT_TEST(InvariantsHoldUnderRandomEvents);
  CPPUNIT_TEST_SUITE_END();

 public:
  void InvariantsHoldUnderRandomEvents() {
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) RandomRun(seed).Run();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServingPropertyTest);

}  // namespace
}  // namespace dotterelshift::serving
