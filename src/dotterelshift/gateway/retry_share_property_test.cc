#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <cstdint>   // for uint64_t
#include <optional>  // for optional
#include <random>    // for mt19937_64
#include <string>    // for to_string
#include <utility>   // for exchange
#include <vector>    // for vector

#include "dotterelshift/gateway/entry_roster.h"  // for EntryRoster
#include "dotterelshift/gateway/retry_share.h"   // for RetryShare
#include "support/retry_allowance.h"             // for WorstRetryExcess

namespace dotterelshift::gateway {
namespace {

constexpr Duration kTick = 10ms;
constexpr Duration kHeartbeat = 1s;
// A leader drops an entry that it has not heard of for this long.
constexpr Duration kPeerTimeout = 3s;
constexpr char kService[] = "s";

// Which faults a schedule draws, as expected numbers in ten seconds.
struct FaultRates {
  double deaths = 0;  // of one to all entries at once
  double cuts = 0;    // of one to all entries from control
  double leader_changes = 0;
  double resets = 0;      // of one entry's connection to control
  double joins = 0;       // of a host that was never seen before
  double departures = 0;  // of a host for good
  // At every moment one entry, each in its turn, is not connected to control.
  bool resets_in_turn = false;
};

// Entries that share the retries to one service, each of which retries as often
// as its share allows, under a schedule of faults drawn from a seed. The clock
// is the simulation's own.
class RetryFleet {
 public:
  RetryFleet(uint64_t seed, const RetryShareOptions& options,
             const FaultRates& rates)
      : m_random(seed),
        m_options(options),
        m_rates(rates),
        m_roster(options.window) {
    m_now = Instant(1000s) + std::chrono::microseconds(Below(1'000'000));
    m_hosts.resize(3 + Below(6));
    for (Host& host : m_hosts) StartIn(host, 0s);
    // The traffic begins when each entry knows the number of entries.
    for (const Instant begin = m_now + 2 * kHeartbeat; m_now < begin;
         m_now += kTick)
      for (Host& host : m_hosts) Step(host);
    ChangeTraffic();
  }

  void Run(Duration duration) {
    for (const Instant end = m_now + duration; m_now < end; m_now += kTick) {
      DrawFaults();
      for (Host& host : m_hosts) Step(host);
      SendTraffic();
    }
  }

  // The largest excess of the retries of any window over what is allowed.
  double WorstExcess() const {
    return testing::WorstRetryExcess(
        m_requests, m_retries,
        {m_options.ratio, static_cast<double>(m_options.slack),
         m_options.window});
  }

  size_t Retries() const { return m_retries.size(); }

 private:
  struct Host {
    std::optional<RetryShare> run;
    Instant starts{};      // of the run that follows; while it has none
    Instant connects{};    // to the leader, while it is not connected
    Instant cut_until{};   // from control
    Instant last_heard{};  // by the leader
    Instant next_heartbeat{};
    bool connected = false;
    bool gone = false;
    double due = 0;  // part of the next request
  };

  uint64_t Below(uint64_t limit) { return m_random() % limit; }
  double Unit() { return std::uniform_real_distribution<double>()(m_random); }
  Duration Up(Duration limit) {
    return std::chrono::duration_cast<Duration>(limit * Unit());
  }
  bool Happens(double in_ten_seconds) {
    return Unit() < in_ten_seconds * (kTick / 1.0s) / 10;
  }

  HostId NameOf(const Host& host) const {
    return std::to_string(&host - m_hosts.data());
  }

  void Disconnect(Host& host) {
    if (std::exchange(host.connected, false))
      m_roster.OnDisconnected(NameOf(host), m_now);
  }

  void StartIn(Host& host, Duration delay) {
    host.run.reset();
    Disconnect(host);
    host.starts = m_now + delay;
  }

  void ConnectIn(Host& host, Duration delay) {
    Disconnect(host);
    host.connects = m_now + delay;
  }

  template <typename Fault>
  void ForSome(Fault fault) {
    const double share = Unit() < 0.3 ? 1.0 : Unit();
    for (Host& host : m_hosts)
      if (!host.gone && host.run && Unit() <= share) fault(host);
  }

  void DrawFaults() {
    if (Happens(m_rates.deaths))
      ForSome([this](Host& host) { StartIn(host, 200ms + Up(2s)); });
    if (Happens(m_rates.cuts)) {
      const Instant until = m_now + Up(25s);
      ForSome([until](Host& host) { host.cut_until = until; });
    }
    if (Happens(m_rates.leader_changes)) {
      for (Host& host : m_hosts) ConnectIn(host, Up(2s));
      m_roster = EntryRoster(m_options.window);
    }
    if (Happens(m_rates.resets))
      ConnectIn(m_hosts[Below(m_hosts.size())], Up(1s));
    if (m_rates.resets_in_turn) ResetInTurn();
    if (Happens(m_rates.joins)) StartIn(m_hosts.emplace_back(), 0s);
    if (Happens(m_rates.departures)) {
      Host& host = m_hosts[Below(m_hosts.size())];
      host.gone = true;
      Disconnect(host);
      host.run.reset();
    }
    if (Happens(4)) ChangeTraffic();
  }

  void ResetInTurn() {
    if (m_now < m_next_turn) return;
    ConnectIn(m_hosts[m_turn++ % m_hosts.size()], kHeartbeat);
    m_next_turn = m_now + kHeartbeat;
  }

  void Step(Host& host) {
    if (host.gone) return;
    if (!host.run) {
      if (m_now < host.starts) return;
      host.run.emplace(m_options);
      ConnectIn(host, Up(500ms));
    }
    if (m_now < host.cut_until) {
      if (m_now > host.last_heard + kPeerTimeout) Disconnect(host);
      return;
    }
    if (!host.connected && m_now >= host.connects) {
      host.connected = true;
      m_roster.OnConnected(NameOf(host));
      host.next_heartbeat = m_now;
    }
    if (host.connected && m_now >= host.next_heartbeat) SendHeartbeat(host);
  }

  void SendHeartbeat(Host& host) {
    host.last_heard = m_now;
    host.next_heartbeat = m_now + kHeartbeat;
    host.run->OnEntryCount(m_roster.PlaceOf(NameOf(host), m_now).count, m_now,
                           m_now);
  }

  void ChangeTraffic() {
    m_requests_per_second = 10 + Unit() * (Unit() < 0.3 ? 400 : 90);
    m_retries_wanted = Unit() < 0.3 ? 0 : 3 * Unit();
    m_retry_burst = Unit() < 0.3 ? 40 : 0;
  }

  // Requests go to all live runs alike. Some phases begin with the failure of
  // many requests at once.
  void SendTraffic() {
    const auto live =
        std::count_if(m_hosts.begin(), m_hosts.end(),
                      [](const Host& host) { return host.run.has_value(); });
    for (Host& host : m_hosts) {
      if (!host.run) continue;
      for (int i = 0; i < m_retry_burst; ++i) TakeRetry(host);
      host.due +=
          m_requests_per_second * (kTick / 1.0s) / static_cast<double>(live);
      for (; host.due >= 1; host.due -= 1) SendRequest(host);
    }
    m_retry_burst = 0;
  }

  void SendRequest(Host& host) {
    m_requests.push_back(m_now);
    host.run->OnRequest(kService, m_now);
    const int wanted = static_cast<int>(m_retries_wanted + Unit());
    for (int i = 0; i < wanted; ++i) TakeRetry(host);
  }

  void TakeRetry(Host& host) {
    if (host.run->Take(kService, m_now).granted) m_retries.push_back(m_now);
  }

  std::mt19937_64 m_random;
  RetryShareOptions m_options;
  FaultRates m_rates;
  EntryRoster m_roster;  // of the present leader
  Instant m_now;
  std::vector<Host> m_hosts;
  size_t m_turn = 0;
  Instant m_next_turn{};
  double m_requests_per_second = 0;
  double m_retries_wanted = 0;
  int m_retry_burst = 0;
  std::vector<Instant> m_requests;
  std::vector<Instant> m_retries;
};

// In no window, whenever it begins, does the fleet send more retries than it
// may.
class RetrySharePropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RetrySharePropertyTest);
  CPPUNIT_TEST(TrafficThatChanges);
  CPPUNIT_TEST(EntriesThatDieInSeries);
  CPPUNIT_TEST(EntriesThatAreCutOffFromControl);
  CPPUNIT_TEST(LeadersThatChange);
  CPPUNIT_TEST(FleetThatGrowsAndShrinks);
  CPPUNIT_TEST(ConnectionsThatAreReset);
  CPPUNIT_TEST(ConnectionsThatAreLostInTurn);
  CPPUNIT_TEST(AllTogether);
  CPPUNIT_TEST_SUITE_END();

  static constexpr uint64_t kSeeds = 20;

  // `used_fraction` 1 leaves no margin that could hide an excess.
  static void Check(const FaultRates& rates) {
    for (const double used_fraction :
         {RetryShareOptions().used_fraction, 1.0}) {
      for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
        RetryShareOptions options;
        options.slack = 54;
        options.used_fraction = used_fraction;
        RetryFleet fleet(seed, options, rates);
        fleet.Run(60s);
        CPPUNIT_ASSERT(fleet.Retries() > 0);
        const double excess = fleet.WorstExcess();
        CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + ", fraction " +
                                   std::to_string(used_fraction) + ": " +
                                   std::to_string(excess) + " too many",
                               excess <= 0);
      }
    }
  }

  void TrafficThatChanges() { Check({}); }
  void EntriesThatDieInSeries() { Check({.deaths = 5}); }
  void EntriesThatAreCutOffFromControl() { Check({.deaths = 0.5, .cuts = 2}); }
  void LeadersThatChange() { Check({.deaths = 0.5, .leader_changes = 3}); }
  void FleetThatGrowsAndShrinks() {
    Check({.cuts = 0.5, .joins = 1, .departures = 1});
  }
  void ConnectionsThatAreReset() { Check({.resets = 40}); }
  void ConnectionsThatAreLostInTurn() { Check({.resets_in_turn = true}); }
  void AllTogether() {
    Check({.deaths = 2,
           .cuts = 1,
           .leader_changes = 1,
           .resets = 5,
           .joins = 0.3,
           .departures = 0.3});
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RetrySharePropertyTest);

}  // namespace
}  // namespace dotterelshift::gateway
