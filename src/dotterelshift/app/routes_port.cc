#include "dotterelshift/app/routes_port.h"

#include <string>   // for to_string
#include <utility>  // for move

#include "dotterelshift/telemetry/log.h"  // for Log

namespace dotterelshift::app {
namespace {

using Published = std::function<void(ErrorKind)>;

Tokens SumOf(const std::vector<std::unique_ptr<wire::TeamTotalT>>& totals) {
  Tokens sum = 0;
  for (const auto& total : totals) sum += total->tokens;
  return sum;
}

std::string WordOf(ErrorKind outcome, const std::string& success) {
  return outcome == ErrorKind::kNone ? success
                                     : std::string(RowOf(outcome).name);
}

void LogPublished(const wire::PublishRoutesT& body, ErrorKind outcome) {
  telemetry::Log(telemetry::LogLevel::kInfo, "routes_published",
                 {{"version", std::to_string(body.version)},
                  {"totals", std::to_string(SumOf(body.totals))},
                  {"outcome", WordOf(outcome, "committed")}});
}

class RoutesPort : public RoutesControl {
 public:
  RoutesPort(ControlReplica& replica, OperatorBackend& backend,
             DirectoryExchange& directory,
             std::function<void(Incarnation)> on_stale)
      : m_replica(replica),
        m_backend(backend),
        m_directory(directory),
        m_on_stale(std::move(on_stale)) {}

  void Publish(uint64_t version, std::string document,
               const std::map<TeamId, Tokens>& totals,
               Published callback) override {
    wire::PublishRoutesT body;
    body.version = version;
    body.document.assign(document.begin(), document.end());
    for (const auto& [team, tokens] : totals) {
      auto total = std::make_unique<wire::TeamTotalT>();
      total->team = team;
      total->tokens = tokens;
      body.totals.push_back(std::move(total));
    }
    Propose(body, callback);
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

  void OnAnnounced(const wire::EndpointRecordT& record) override {
    m_directory.OnAnnounced(record);
  }

  const wire::EndpointRecordT* FindEndpoint(
      const EndpointId& endpoint) const override {
    const directory::Endpoint* found =
        m_directory.GetDirectory().Find(endpoint);
    return found == nullptr ? nullptr : &found->record;
  }

 private:
  // A line when reads begin to fail, fail in another way, or succeed again.
  void LogRead(ErrorKind outcome) {
    ++m_reads;
    if (outcome == m_read_outcome) return;
    telemetry::Log(
        telemetry::LogLevel::kInfo, "routes_read",
        {{"outcome", WordOf(outcome, "read")},
         {"leader", m_replica.LeaderHost()},
         {"reads", std::to_string(m_reads)},
         {"unapplied", std::to_string(m_replica.Load().unapplied_entries)}});
    m_read_outcome = outcome;
    m_reads = 0;
  }

  void Propose(const wire::PublishRoutesT& body, const Published& callback) {
    wire::CommandT command;
    command.body.Set(wire::PublishRoutesT(body));
    m_backend.Propose(std::move(command),
                      [this, body, callback](
                          ErrorKind error, const wire::CommandAnswerT& answer) {
                        OnProposed(body, callback, error, answer);
                      });
  }

  void OnProposed(const wire::PublishRoutesT& body, const Published& callback,
                  ErrorKind error, const wire::CommandAnswerT& answer) {
    const auto refused = static_cast<ErrorKind>(answer.error);
    if (error == ErrorKind::kNone && refused == ErrorKind::kStaleIncarnation) {
      m_on_stale(answer.newest_incarnation);
      return Propose(body, callback);
    }
    const ErrorKind outcome = error == ErrorKind::kNone ? refused : error;
    LogPublished(body, outcome);
    callback(outcome);
  }

  ControlReplica& m_replica;
  OperatorBackend& m_backend;
  DirectoryExchange& m_directory;
  const std::function<void(Incarnation)> m_on_stale;
  ErrorKind m_read_outcome = ErrorKind::kNone;
  uint64_t m_reads = 0;  // since the last line about them
};

}  // namespace

std::unique_ptr<RoutesControl> MakeRoutesControl(
    ControlReplica& replica, OperatorBackend& backend,
    DirectoryExchange& directory,
    std::function<void(Incarnation newest)> on_stale) {
  return std::make_unique<RoutesPort>(replica, backend, directory,
                                      std::move(on_stale));
}

}  // namespace dotterelshift::app
