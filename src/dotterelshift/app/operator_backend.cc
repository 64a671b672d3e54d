#include "dotterelshift/app/operator_backend.h"

#include <nlohmann/json.hpp>  // for json
#include <utility>            // for move

namespace dotterelshift::app {
namespace {

// The HTTP address of the peer on a host; empty if it is not connected.
std::string HttpAddressOf(const peers::Hub& hub, const HostId& host) {
  for (const peers::PeerInfo& peer : hub.Peers()) {
    if (peer.run.host == host) return peer.http_address;
  }
  return {};
}

class EntryBackend : public OperatorBackend {
 public:
  EntryBackend(loop::Loop& loop, const peers::Hub& hub, const ControlLink& link,
               const directory::Directory& directory, std::string http_address)
      : m_loop(loop),
        m_hub(hub),
        m_link(link),
        m_directory(directory),
        m_http_address(std::move(http_address)) {}

  void Propose(
      wire::CommandT,
      std::function<void(ErrorKind, wire::CommandAnswerT)> callback) override {
    callback(ErrorKind::kNotLeader, {});
  }
  void ConfirmedRead(std::function<void(ErrorKind)> callback) override {
    callback(ErrorKind::kNotLeader);
  }
  const state::State* GetState() const override { return nullptr; }
  const directory::Directory* GetDirectory() const override {
    return &m_directory;
  }
  std::vector<peers::PeerInfo> Peers() const override { return m_hub.Peers(); }
  std::string LeaderHttpAddress() const override {
    return HttpAddressOf(m_hub, m_link.Leader());
  }
  std::string SelfHttpAddress() const override { return m_http_address; }
  std::string StatusText() const override {
    nlohmann::json status;
    status["role"] = "entry";
    status["leader"] = m_link.Leader();
    status["configuration_version"] = m_link.GetConfiguration().Version();
    return status.dump();
  }
  WallMs WallNow() const override { return m_loop.WallNow(); }
  std::string NewPlanId() override { return {}; }

 private:
  loop::Loop& m_loop;
  const peers::Hub& m_hub;
  const ControlLink& m_link;
  const directory::Directory& m_directory;
  std::string m_http_address;
};

class ControlBackend : public OperatorBackend {
 public:
  ControlBackend(loop::Loop& loop, const peers::Hub& hub,
                 ControlReplica& replica, const directory::Directory& directory,
                 std::string http_address, HostRun self,
                 std::function<std::unique_ptr<wire::CommandIdT>()> next_id)
      : m_loop(loop),
        m_hub(hub),
        m_replica(replica),
        m_directory(directory),
        m_http_address(std::move(http_address)),
        m_self(std::move(self)),
        m_next_id(std::move(next_id)) {}

  void Propose(
      wire::CommandT command,
      std::function<void(ErrorKind, wire::CommandAnswerT)> callback) override {
    command.id = m_next_id();
    std::vector<wire::CommandT> commands;
    commands.push_back(std::move(command));
    m_replica.Propose(
        std::move(commands),
        [callback](ErrorKind error, std::vector<wire::CommandAnswerT> answers) {
          callback(error,
                   answers.empty() ? wire::CommandAnswerT() : answers.front());
        });
  }
  void ConfirmedRead(std::function<void(ErrorKind)> callback) override {
    m_replica.ConfirmedRead(callback);
  }
  const state::State* GetState() const override {
    return &m_replica.GetState();
  }
  const directory::Directory* GetDirectory() const override {
    return &m_directory;
  }
  std::vector<peers::PeerInfo> Peers() const override { return m_hub.Peers(); }
  std::string LeaderHttpAddress() const override {
    if (m_replica.Leads()) return m_http_address;
    return HttpAddressOf(m_hub, m_replica.LeaderHost());
  }
  std::string SelfHttpAddress() const override { return m_http_address; }
  std::string StatusText() const override {
    const replication::Node& node = m_replica.GetNode();
    nlohmann::json status;
    status["role"] = "control";
    status["replica_role"] = NameOf(node.Role());
    status["term"] = node.Term();
    status["commit"] = node.Commit();
    status["leads"] = m_replica.Leads();
    status["leader"] = m_replica.LeaderHost();
    status["configuration_version"] =
        m_replica.GetState().GetConfiguration().Version();
    for (const auto& member : node.Members().replicas) {
      status["members"].push_back({{"id", member->id},
                                   {"host", member->host},
                                   {"voter", member->voter}});
    }
    for (const wire::ReplicaT& waiting : m_replica.WaitingReplicas())
      status["waiting"].push_back({{"id", waiting.id}, {"host", waiting.host}});
    return status.dump();
  }
  WallMs WallNow() const override { return m_loop.WallNow(); }
  std::string NewPlanId() override {
    return m_self.host + "-" + std::to_string(m_self.incarnation) + "-" +
           std::to_string(++m_plans);
  }

 private:
  loop::Loop& m_loop;
  const peers::Hub& m_hub;
  ControlReplica& m_replica;
  const directory::Directory& m_directory;
  std::string m_http_address;
  HostRun m_self;
  std::function<std::unique_ptr<wire::CommandIdT>()> m_next_id;
  uint64_t m_plans = 0;
};

}  // namespace

std::unique_ptr<OperatorBackend> MakeEntryBackend(
    loop::Loop& loop, const peers::Hub& hub, const ControlLink& link,
    const directory::Directory& directory, std::string http_address) {
  return std::make_unique<EntryBackend>(loop, hub, link, directory,
                                        std::move(http_address));
}

std::unique_ptr<OperatorBackend> MakeControlBackend(
    loop::Loop& loop, const peers::Hub& hub, ControlReplica& replica,
    const directory::Directory& directory, std::string http_address,
    const HostRun& self,
    std::function<std::unique_ptr<wire::CommandIdT>()> next_id) {
  return std::make_unique<ControlBackend>(loop, hub, replica, directory,
                                          std::move(http_address), self,
                                          std::move(next_id));
}

}  // namespace dotterelshift::app
