#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <filesystem>  // for remove_all

#include "process/fleet.h"       // for Fleet
#include "process/link_proxy.h"  // for MakeLinkProxy
#include "support/run_until.h"   // for RunUntil

namespace dotterelshift::testing {
namespace {

using Names = std::vector<std::string>;
using nlohmann::json;

const Names kControls = {"c1", "c2", "c3"};

// Runs three control daemons as processes and kills, partitions and wipes them.
class ControlGroupTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ControlGroupTest);
  CPPUNIT_TEST(LeaderKilledDuringConfirmLosesNothing);
  CPPUNIT_TEST(CutOffLeaderRefusesTopUps);
  CPPUNIT_TEST(WipedReplicaIsReplacedByAPlan);
  CPPUNIT_TEST_SUITE_END();

 public:
  // The leader is killed right after each confirm is sent. The confirm is
  // resent until it is answered, and must be applied exactly once.
  void LeaderKilledDuringConfirmLosesNothing() {
    Fleet fleet;
    StartThree(fleet);
    constexpr int kRounds = 5;
    std::string leader = fleet.AwaitLeader(kControls);
    Confirm(fleet, Plan(fleet, TeamAndBudget()));
    for (int round = 1; round <= kRounds; ++round) {
      const std::string plan = Plan(fleet, TopUp(round));
      leader = fleet.AwaitLeader(kControls);
      SendConfirmWithoutWaiting(fleet, leader, plan);
      fleet.Kill(leader);
      const int version = Confirm(fleet, plan);
      CPPUNIT_ASSERT_EQUAL(1 + round, version);
      // A repeated confirm returns the first answer.
      CPPUNIT_ASSERT_EQUAL(version, Confirm(fleet, plan));
      fleet.Restart(leader);
    }
    for (const std::string& host : kControls) AwaitVersion(fleet, host, 6);
    for (const std::string& host : kControls) fleet.Kill(host);
    for (const std::string& host : kControls) fleet.Restart(host);
    for (const std::string& host : kControls) AwaitVersion(fleet, host, 6);
    CPPUNIT_ASSERT_EQUAL(kRounds * 1000, Purchased(fleet));
  }

  // Each pair of replicas is connected by a proxy that the test can freeze. A
  // leader cut off from the majority must not accept a top-up.
  void CutOffLeaderRefusesTopUps() {
    Fleet fleet;
    fleet.StartControl("c1", kControls, {});
    const auto c1_c2 = MakeLinkProxy(fleet.GetLoop(), fleet.PeerAddress("c1"));
    const auto c1_c3 = MakeLinkProxy(fleet.GetLoop(), fleet.PeerAddress("c1"));
    fleet.StartControl("c2", kControls, {c1_c2->Address()});
    const auto c2_c3 = MakeLinkProxy(fleet.GetLoop(), fleet.PeerAddress("c2"));
    fleet.StartControl("c3", kControls, {c1_c3->Address(), c2_c3->Address()});
    fleet.AwaitLeader(kControls);
    Confirm(fleet, Plan(fleet, TeamAndBudget()));
    const std::string refused = Plan(fleet, TopUp(1));
    const std::string leader = fleet.AwaitLeader(kControls);
    std::vector<LinkProxy*> links;
    if (leader != "c3") links.push_back(c1_c2.get());
    if (leader != "c2") links.push_back(c1_c3.get());
    if (leader != "c1") links.push_back(c2_c3.get());
    for (LinkProxy* link : links) link->Freeze();
    const HttpResponse answer =
        fleet.SendOperatorRequest(leader, "POST", "confirm/" + refused, {});
    CPPUNIT_ASSERT_MESSAGE(answer.body, answer.status != 200);
    const Names majority = OtherControls(leader);
    const std::string accepted = Plan(fleet, TopUp(2), majority);
    CPPUNIT_ASSERT_EQUAL(2, Confirm(fleet, accepted, majority));
    for (LinkProxy* link : links) link->Heal();
    for (const std::string& host : kControls) AwaitVersion(fleet, host, 2);
    CPPUNIT_ASSERT_EQUAL(1000, Purchased(fleet));
  }

  void WipedReplicaIsReplacedByAPlan() {
    Fleet fleet;
    StartThree(fleet);
    fleet.AwaitLeader(kControls);
    Confirm(fleet, Plan(fleet, TeamAndBudget()));
    const std::string leader = fleet.AwaitLeader(kControls);
    const std::string lost = leader == "c3" ? "c2" : "c3";
    fleet.Kill(lost);
    std::filesystem::remove_all(fleet.Folder().File(lost + ".data"));
    fleet.Restart(lost);
    json status;
    RunUntil(fleet.GetLoop(), "a waiting replica", [&] {
      status = Status(fleet, fleet.AwaitLeader(kControls));
      return status.contains("waiting");
    });
    const json waiting = status["waiting"][0];
    uint64_t old = 0;
    for (const json& member : status["members"])
      if (member["host"] == lost) old = member["id"].get<uint64_t>();
    CPPUNIT_ASSERT_EQUAL(lost, waiting["host"].get<std::string>());
    CPPUNIT_ASSERT(old != 0 && old != waiting["id"].get<uint64_t>());
    const std::string id = std::to_string(waiting["id"].get<uint64_t>());
    Confirm(fleet, Plan(fleet, "remove:\n  replicas: [" + std::to_string(old) +
                                   "]\nadd_replicas:\n  - host: " + lost +
                                   "\n    address: " + fleet.PeerAddress(lost) +
                                   "\n    replica: " + id + "\n"));
    RunUntil(fleet.GetLoop(), "the new voter", [&] {
      status = Status(fleet, fleet.AwaitLeader(kControls));
      for (const json& member : status["members"])
        if (std::to_string(member["id"].get<uint64_t>()) == id)
          return member["voter"].get<bool>();
      return false;
    });
    // A second replica is lost right after the first was replaced.
    fleet.Kill(fleet.AwaitLeader(kControls));
    Confirm(fleet, Plan(fleet, TopUp(1)));
    CPPUNIT_ASSERT_EQUAL(1000, Purchased(fleet));
  }

 private:
  static Names OtherControls(const std::string& host) {
    Names others = kControls;
    std::erase(others, host);
    return others;
  }

  static void StartThree(Fleet& fleet) {
    fleet.StartControl("c1", kControls, {});
    fleet.StartControl("c2", kControls, {fleet.PeerAddress("c1")});
    fleet.StartControl("c3", kControls,
                       {fleet.PeerAddress("c1"), fleet.PeerAddress("c2")});
  }

  static std::string TeamAndBudget() {
    return "teams:\n  - id: readers\nbudgets:\n  - id: main\n    team: "
           "readers\n";
  }
  static std::string TopUp(int number) {
    return "top_ups:\n  - id: top-up-" + std::to_string(number) +
           "\n    budget: main\n    tokens: 1000\n";
  }

  // Sends the intent to the current leader until a plan is made. Returns its
  // id.
  static std::string Plan(Fleet& fleet, const std::string& intent,
                          const Names& hosts = kControls) {
    HttpResponse answer;
    RunUntil(fleet.GetLoop(), "a plan", [&] {
      answer = fleet.SendOperatorRequest(fleet.AwaitLeader(hosts), "POST",
                                         "plan", intent);
      CPPUNIT_ASSERT_MESSAGE(answer.body, answer.status != 400);
      return answer.status == 200;
    });
    return json::parse(answer.body).at("plan").get<std::string>();
  }

  // Sends the confirm to the current leader until it succeeds. Returns the
  // configuration version that it made.
  static int Confirm(Fleet& fleet, const std::string& plan,
                     const Names& hosts = kControls) {
    HttpResponse answer;
    RunUntil(fleet.GetLoop(), "a confirm", [&] {
      answer = fleet.SendOperatorRequest(fleet.AwaitLeader(hosts), "POST",
                                         "confirm/" + plan, {});
      const bool final = answer.status == 404 || answer.status == 409;
      CPPUNIT_ASSERT_MESSAGE(answer.body, !final);
      return answer.status == 200;
    });
    return json::parse(answer.body).at("version").get<int>();
  }

  // Sends a confirm without waiting for the response.
  static void SendConfirmWithoutWaiting(Fleet& fleet, const std::string& host,
                                        const std::string& plan) {
    http::TransferCallbacks callbacks;
    callbacks.on_head = [](int, const http::Headers&) {};
    callbacks.on_chunk = [](std::string_view) { return true; };
    callbacks.on_end = [](http::TransferEnd) {};
    fleet.GetClient().Start(
        {.method = "POST",
         .url = "http://" + fleet.HttpAddress(host) + "/operator/v1/confirm/" +
                plan,
         .headers = {{"authorization", std::string("Bearer ") + kOperatorKey}},
         .body = {}},
        callbacks);
    // A few loop iterations send the request; it may or may not arrive.
    constexpr int kIterations = 3;
    for (int iteration = 0; iteration < kIterations; ++iteration)
      ev_run(fleet.GetLoop().Raw(), EVRUN_NOWAIT);
  }

  static json Status(Fleet& fleet, const std::string& host) {
    const HttpResponse answer =
        fleet.SendOperatorRequest(host, "GET", "status", {});
    return answer.status == 200 ? json::parse(answer.body)["daemon"]
                                : json::object();
  }

  static void AwaitVersion(Fleet& fleet, const std::string& host, int version) {
    RunUntil(fleet.GetLoop(), host + " at version", [&] {
      return Metric(fleet, host, "dotterelshift_configuration_version ") ==
             version;
    });
  }

  static int Metric(Fleet& fleet, const std::string& host,
                    const std::string& name) {
    const std::string text =
        fleet
            .Send("GET", "http://" + fleet.HttpAddress(host) + "/metrics", {},
                  {})
            .body;
    const size_t found = text.find("\n" + name);
    return found == std::string::npos
               ? -1
               : std::stoi(text.substr(found + 1 + name.size()));
  }

  static int Purchased(Fleet& fleet) {
    const HttpResponse answer = fleet.SendOperatorRequest(
        fleet.AwaitLeader(kControls), "GET", "budget?budget=main", {});
    CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.body, 200, answer.status);
    return json::parse(answer.body).at(0).at("bought").get<int>();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlGroupTest);

}  // namespace
}  // namespace dotterelshift::testing
