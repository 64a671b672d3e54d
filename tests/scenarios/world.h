#ifndef DOTTERELSHIFT_TESTS_SCENARIOS_WORLD_H_
#define DOTTERELSHIFT_TESTS_SCENARIOS_WORLD_H_

#include <map>     // for map
#include <memory>  // for unique_ptr
#include <string>  // for string
#include <vector>  // for vector

#include "scenarios/control_host.h"  // for ControlHost
#include "scenarios/engine.h"        // for Engine
#include "scenarios/entry_host.h"    // for EntryHost

namespace dotterelshift::scenarios {

// Size and layout of a deployment.
struct Deployment {
  std::vector<DataCentreId> data_centres;
  int entries = 0;
  int controls = 3;
  std::string model;
  int model_servers = 0;
  std::string service;
  int service_servers = 0;
};

struct WorldOptions {
  Deployment deployment;
  std::string policy = "overspend_first";
  std::string grant_way = "witnessed";
  std::string partition = "10s";
  Tokens tokens = 1'000'000;  // bought for each team's budget at the start
  bool serve_when_cut_off = true;
  uint64_t seed = 1;
};

// The answer to an operator's plan or confirm.
struct OperatorAnswer {
  bool answered = false;
  ErrorKind error = ErrorKind::kNone;
  std::string detail;
  uint64_t version = 0;
};

// A simulated deployment: its hosts on one network and the teams t1 to t10.
// Each team has a key and a budget (b1 to b10) and may use all endpoints.
class World {
 public:
  explicit World(const WorldOptions& options);

  Network& GetNetwork() { return m_network; }
  Records& GetRecords() { return m_records; }

  // Advances the clock by `duration`, tick by tick.
  void Run(Duration duration);

  // Returns the host or endpoint of that name, or all those in the data centre
  // of that name. Throws Error(kBadField) for an unknown name.
  std::vector<std::string> Names(const std::string& name) const;
  void Cut(const std::string& one, const std::string& other);
  void SetFault(const std::string& one, const std::string& other,
                const LinkFault& fault);

  EntryHost* FindEntry(const std::string& name) const;
  ControlHost* FindControl(const std::string& name) const;
  Engine* FindEngine(const std::string& name) const;
  ControlHost* Leader() const;  // null: none
  const std::vector<std::string>& EntryNames() const { return m_entry_names; }
  void KillEntry(const std::string& name);

  void SendRequest(RequestRecord record);
  // An operator plans an intent, or confirms a plan, at a control host. The
  // answer is stored under `name` when it arrives.
  void Plan(const std::string& name, const std::string& author,
            const std::string& intent, const std::string& control);
  void Confirm(const std::string& name, const std::string& plan,
               const std::string& author, const std::string& control);
  const OperatorAnswer& AnswerOf(const std::string& name) {
    return m_operator_answers[name];
  }

  // Checks the promises that hold at any time.
  void CheckNow();

 private:
  void MakeControls();
  void MakeEntries();
  void MakeEngines();
  void MakeEngine(const std::string& name, const DataCentreId& data_centre,
                  bool service);
  void SetUpTeams();
  std::string MakeInitialIntent() const;
  void Tick();
  void Announce(Engine* engine);
  void OnAnswer(const std::string& from, const wire::CommandAnswerT& answer);
  template <typename Body>
  void ProposeAt(const std::string& control, const std::string& name,
                 Body body);
  // The tokens bought for a budget that are neither consumed nor stranded.
  Tokens TokensLeft(const BudgetId& budget) const;
  void CheckBudgets();
  void CheckVersions();
  void CheckDraining();

  WorldOptions m_options;
  Network m_network;
  Records m_records;
  std::vector<std::unique_ptr<ControlHost>> m_controls;
  std::vector<std::unique_ptr<EntryHost>> m_entries;
  std::map<std::string, std::unique_ptr<Engine>> m_engines;
  std::vector<std::string> m_entry_names;
  std::map<std::string, DataCentreId> m_data_centres;  // by host or endpoint
  std::map<std::string, OperatorAnswer> m_operator_answers;
  std::map<uint64_t, std::string> m_operator_commands;
  uint64_t m_operator_sequence = 0;
  uint64_t m_announcements = 0;
  Instant m_announce_due{};
  std::map<std::string, std::pair<Incarnation, uint64_t>> m_versions;
  std::map<EndpointId, Instant> m_draining_since;
};

}  // namespace dotterelshift::scenarios

#endif  // DOTTERELSHIFT_TESTS_SCENARIOS_WORLD_H_
