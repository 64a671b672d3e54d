#include "dotterelshift/app/routes_port.h"

#include <algorithm>  // for max_element, partition
#include <iterator>   // for make_move_iterator
#include <optional>   // for optional
#include <string>     // for to_string
#include <utility>    // for exchange, move
#include <vector>     // for vector

#include "dotterelshift/replication/membership.h"  // for Majority
#include "dotterelshift/state/packed_document.h"   // for PackDocument
#include "dotterelshift/telemetry/log.h"           // for Log

namespace dotterelshift::app {
namespace {

using Published = std::function<void(ErrorKind)>;

std::string WordOf(ErrorKind outcome, const std::string& success) {
  return outcome == ErrorKind::kNone ? success
                                     : std::string(RowOf(outcome).name);
}

// A request of an operator's program to put routes in force.
struct Publication {
  uint64_t version = 0;
  std::string document;
  std::map<TeamId, Tokens> totals;
  Published callback;
  Instant asked{};
};

class RoutesPort : public RoutesControl {
 public:
  RoutesPort(loop::Loop& loop, ControlReplica& replica,
             OperatorBackend& backend, DirectoryExchange& directory,
             std::function<void(Incarnation)> on_stale)
      : m_loop(loop),
        m_replica(replica),
        m_backend(backend),
        m_directory(directory),
        m_on_stale(std::move(on_stale)) {}

  bool Leads() const override {
    return m_replica.GetNode().Role() == replication::NodeRole::kLeader;
  }

  // Proposes one publication at a time, always the newest waiting one, so that
  // superseded versions cost nothing in a burst of changes.
  void Publish(uint64_t version, std::string document,
               std::map<TeamId, Tokens> totals, Published callback) override {
    m_waiting.push_back({version, std::move(document), std::move(totals),
                         std::move(callback), m_loop.Now()});
    ProposeNewest();
  }

  void Read(
      std::function<void(ErrorKind, std::string_view)> callback) override {
    m_replica.ConfirmedRead(
        [this, callback = std::move(callback)](ErrorKind error) {
          LogRead(error);
          const state::PublishedRoutes published =
              m_replica.GetState().GetPublished();
          callback(error, published.document);
        });
  }

  std::string LeaderAddress() const override {
    return m_backend.LeaderHttpAddress();
  }

  void OnAnnounced(const wire::EndpointRecordT& record,
                   std::function<void(ErrorKind)> callback) override {
    m_directory.OnAnnounced(record, OthersInMajority(), std::move(callback));
  }

  const wire::EndpointRecordT* FindEndpoint(
      const EndpointId& endpoint) const override {
    const directory::Endpoint* found =
        m_directory.GetDirectory().Find(endpoint);
    return found == nullptr ? nullptr : &found->record;
  }

 private:
  // How many control hosts besides this one make up a majority of the group.
  // One while no group is known.
  size_t OthersInMajority() const {
    const auto& members = m_replica.GetNode().Members();
    if (replication::VoterCount(members) == 0) return 1;
    return replication::Majority(members) - 1;
  }

  // Logs when reads begin to fail, fail with another error, or succeed again.
  void LogRead(ErrorKind outcome) {
    ++m_reads;
    if (outcome == m_read_outcome) return;
    const ReplicaLoad load = m_replica.Load();
    telemetry::Log(telemetry::LogLevel::kInfo, "routes_read",
                   {{"outcome", WordOf(outcome, "read")},
                    {"leader", m_replica.LeaderHost()},
                    {"reads", std::to_string(m_reads)},
                    {"voters", std::to_string(load.voters)},
                    {"connected_voters", std::to_string(load.connected_voters)},
                    {"unapplied", std::to_string(load.unapplied_entries)}});
    m_read_outcome = outcome;
    m_reads = 0;
  }

  void ProposeNewest() {
    if (m_under_way || m_waiting.empty()) return;
    const auto newest =
        std::ranges::max_element(m_waiting, {}, &Publication::version);
    m_under_way = std::move(*newest);
    m_waiting.erase(newest);
    Propose();
  }

  void Propose() {
    wire::PublishRoutesT body =
        RoutesCommand(m_under_way->version, m_under_way->document,
                      m_under_way->totals, m_replica.GetState().GetPublished());
    m_sent_bytes = body.packed.size();
    wire::CommandT command;
    command.body.Set(std::move(body));
    m_backend.Propose(
        std::move(command),
        [this](ErrorKind error, const wire::CommandAnswerT& answer) {
          OnProposed(error, answer);
        });
  }

  void OnProposed(ErrorKind error, const wire::CommandAnswerT& answer) {
    const auto refused = static_cast<ErrorKind>(answer.error);
    if (error == ErrorKind::kNone && refused == ErrorKind::kStaleIncarnation) {
      m_on_stale(answer.newest_incarnation);
      return Propose();
    }
    // A change of another leader was committed in the meantime.
    if (error == ErrorKind::kNone && refused == ErrorKind::kVersionMoved)
      return Propose();
    const ErrorKind outcome = error == ErrorKind::kNone ? refused : error;
    std::vector<Publication> settled = TakeSettled(outcome, answer);
    LogPublished(*m_under_way, outcome, settled.size());
    settled.push_back(*std::exchange(m_under_way, std::nullopt));
    for (const Publication& publication : settled)
      publication.callback(outcome);
    ProposeNewest();
  }

  // Removes waiting publications and returns them: all of them after a failure,
  // otherwise those that are superseded.
  std::vector<Publication> TakeSettled(ErrorKind outcome,
                                       const wire::CommandAnswerT& answer) {
    const auto* body = answer.body.AsRoutesAnswer();
    const uint64_t in_force = body == nullptr ? 0 : body->version;
    const auto still_waits = [&](const Publication& publication) {
      return outcome == ErrorKind::kNone && publication.version > in_force;
    };
    const auto settled =
        std::partition(m_waiting.begin(), m_waiting.end(), still_waits);
    std::vector<Publication> taken(std::make_move_iterator(settled),
                                   std::make_move_iterator(m_waiting.end()));
    m_waiting.erase(settled, m_waiting.end());
    return taken;
  }

  void LogPublished(const Publication& publication, ErrorKind outcome,
                    size_t settled) const {
    Tokens sum = 0;
    for (const auto& [team, tokens] : publication.totals) sum += tokens;
    telemetry::Log(
        telemetry::LogLevel::kInfo, "routes_published",
        {{"version", std::to_string(publication.version)},
         {"totals", std::to_string(sum)},
         {"outcome", WordOf(outcome, "committed")},
         {"bytes", std::to_string(publication.document.size())},
         {"sent_bytes", std::to_string(m_sent_bytes)},
         {"settled_with_it", std::to_string(settled)},
         {"took_ms", std::to_string(ToMs(m_loop.Now() - publication.asked))}});
  }

  loop::Loop& m_loop;
  ControlReplica& m_replica;
  OperatorBackend& m_backend;
  DirectoryExchange& m_directory;
  const std::function<void(Incarnation)> m_on_stale;
  ErrorKind m_read_outcome = ErrorKind::kNone;
  uint64_t m_reads = 0;  // since the last log line about reads
  std::vector<Publication> m_waiting;
  std::optional<Publication> m_under_way;
  size_t m_sent_bytes = 0;  // of the document being committed
};

}  // namespace

wire::PublishRoutesT RoutesCommand(uint64_t version, std::string_view document,
                                   const std::map<TeamId, Tokens>& totals,
                                   const state::PublishedRoutes& in_force) {
  wire::PublishRoutesT command;
  command.version = version;
  for (const auto& [team, tokens] : totals) {
    auto total = std::make_unique<wire::TeamTotalT>();
    total->team = team;
    total->tokens = tokens;
    command.totals.push_back(std::move(total));
  }
  if (version <= in_force.version) return command;
  command.base = in_force.version;
  command.packed = state::PackDocument(document, in_force.document);
  return command;
}

std::unique_ptr<RoutesControl> MakeRoutesControl(
    loop::Loop& loop, ControlReplica& replica, OperatorBackend& backend,
    DirectoryExchange& directory,
    std::function<void(Incarnation newest)> on_stale) {
  return std::make_unique<RoutesPort>(loop, replica, backend, directory,
                                      std::move(on_stale));
}

}  // namespace dotterelshift::app
