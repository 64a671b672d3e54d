#ifndef DOTTERELSHIFT_TESTS_SCENARIOS_ENTRY_HOST_H_
#define DOTTERELSHIFT_TESTS_SCENARIOS_ENTRY_HOST_H_

#include <functional>  // for function
#include <map>         // for map
#include <memory>      // for unique_ptr
#include <set>         // for set
#include <string>      // for string
#include <vector>      // for vector

#include "dotterelshift/admission/fair_queue.h"  // for FairQueue
#include "dotterelshift/budget/ledger.h"         // for Ledger
#include "dotterelshift/directory/directory.h"   // for Directory
#include "dotterelshift/routing/router.h"        // for Router
#include "dotterelshift/serving/request_core.h"  // for RequestCore
#include "scenarios/control_host.h"              // for ControlHost
#include "scenarios/engine.h"                    // for Engine

namespace dotterelshift::scenarios {

class EntryHost;

// Connects an entry to the rest of the simulated fleet.
struct EntryLinks {
  Network* network = nullptr;
  Records* records = nullptr;
  std::function<std::vector<ControlHost*>()> controls;
  std::function<std::vector<EntryHost*>()> entries;
  std::function<Engine*(const EndpointId&)> engine;
};

// One entry: the real request core, ledger, router, queue and directory, with a
// minimal version of the daemon code around them.
class EntryHost {
 public:
  EntryHost(std::string name, DataCentreId data_centre, bool serve_when_cut_off,
            EntryLinks links);

  const std::string& Name() const { return m_name; }
  bool Alive() const { return m_core != nullptr; }
  bool Drained() const { return m_core->Drained(); }
  uint64_t Version() const { return m_configuration.Version(); }
  serving::ControlReach Reach() const { return m_reach; }
  bool Ready() const {
    return Alive() && m_reach == serving::ControlReach::kConnected;
  }
  HostRun Self() const { return {m_name, m_incarnation}; }

  void Start();
  void Kill();
  void Shutdown();
  void Tick();

  void OnRequest(const RequestRecord& record,
                 const callers::CallerRequest& request);
  void OnCallerGone(RequestId request);
  void OnAnswer(const wire::CommandAnswerT& answer);
  void OnRecall(const wire::RecallT& recall);
  void OnAnnouncement(const wire::EndpointRecordT& record);
  void OnHead(const Connection& connection, int status);
  void OnChunk(const Connection& connection, RequestId from,
               const serving::Chunk& chunk);
  void OnEnd(const Connection& connection, serving::AttemptEnd end);
  // The link to an endpoint was cut: the attempts there end as broken.
  void OnCut(const EndpointId& endpoint);

 private:
  // The leader's reply to a heartbeat of this entry.
  struct Heartbeat {
    Instant sent;
    uint64_t version = 0;
    std::vector<wire::ChangeT> changes;
    bool whole = false;
    std::vector<wire::SuspectAnswerT> quarantined;
  };
  bool Is(const Connection& connection) const;
  void SendHeartbeat();
  // The tokens of each budget that this entry holds and has not reserved.
  wire::EntryBeatT CurrentHoldings() const;
  void OnHeartbeat(const Heartbeat& heartbeat);
  static Heartbeat MakeHeartbeat(const ControlHost& control, Instant sent,
                                 uint64_t version);
  void SetReach(serving::ControlReach reach);
  void Register();
  void SendUnanswered();
  void GossipDirectory();
  void Refresh();
  // Reports to the core that a replica has spooled a command.
  void Acknowledge(const std::string& control, const wire::CommandIdT& id);
  void ExecuteActions();
  void Execute(const serving::StartAttempt& action);
  void Execute(const serving::CancelAttempt& action);
  void Execute(const serving::FinishResponse& action);
  void Execute(const serving::FailResponse& action);
  void Execute(const serving::ProposeCommand& action);
  void Execute(const serving::SpoolCommand& action);

  std::string m_name;
  DataCentreId m_data_centre;
  bool m_serve_when_cut_off;
  EntryLinks m_links;
  Incarnation m_incarnation = 0;
  state::Configuration m_configuration;
  directory::Directory m_directory;
  std::unique_ptr<budget::Ledger> m_ledger;
  std::unique_ptr<routing::Router> m_router;
  std::unique_ptr<admission::FairQueue> m_queue;
  std::unique_ptr<serving::RequestCore> m_core;
  serving::ControlReach m_reach = serving::ControlReach::kNever;
  Instant m_last_heartbeat{};
  Instant m_heartbeat_due{};
  Instant m_resend_due{};
  Instant m_gossip_due{};
  uint64_t m_generation = 0;
  std::map<uint64_t, wire::CommandT> m_unanswered;  // by sequence
  std::map<AttemptId, EndpointId> m_endpoints;
  std::map<AttemptId, RequestId> m_requests;
};

}  // namespace dotterelshift::scenarios

#endif  // DOTTERELSHIFT_TESTS_SCENARIOS_ENTRY_HOST_H_
