#include "dotterelshift/app/gauges.h"

#include <string>  // for string

namespace dotterelshift::app {

void SetHubMetrics(telemetry::Metrics& metrics, const peers::Hub& hub) {
  const peers::HubCounters& counters = hub.Counters();
  const peers::HubBacklog backlog = hub.Backlogs();
  metrics.SetCounter("dotterelshift_peer_bytes_in_total",
                     "Bytes from other daemons", Number(counters.bytes_in));
  metrics.SetCounter("dotterelshift_peer_bytes_out_total",
                     "Bytes to other daemons", Number(counters.bytes_out));
  for (const auto& [body, bytes] : counters.bytes_out_by_body) {
    const std::string name = wire::EnumNameFrameBody(body);
    metrics.SetCounter("dotterelshift_peer_" + name + "_bytes_out_total",
                       "Of these, frames of one kind", Number(bytes));
  }
  SetGauges(metrics, {{"dotterelshift_peer_backlog_bytes",
                       "To other daemons, not yet taken by their connections",
                       Number(backlog.bytes)},
                      {"dotterelshift_peer_backlog_most_bytes",
                       "The same to one of them", Number(backlog.most)}});
}

void SetLinkQueueMetrics(telemetry::Metrics& metrics,
                         const gateway::LinkQueue& queue) {
  SetGauges(
      metrics,
      {{"dotterelshift_link_waiting_requests",
        "Held back until the way out has room", Number(queue.requests)},
       {"dotterelshift_link_waiting_bytes", "Of these", Number(queue.bytes)}});
  metrics.SetCounter("dotterelshift_link_refused_total",
                     "Refused, as they would have waited too long for it",
                     Number(queue.refused));
}

void SetRetryMetrics(telemetry::Metrics& metrics,
                     const std::vector<gateway::RetryUse>& uses) {
  for (const gateway::RetryUse& use : uses) {
    metrics.SetServiceGauge("dotterelshift_retries_allowed",
                            "Retries that this entry may send in a window",
                            use.service, use.allowed);
    metrics.SetServiceGauge("dotterelshift_retries_used",
                            "Of these, sent in the current window", use.service,
                            Number(use.used));
    metrics.SetServiceCounter("dotterelshift_retries_granted_total",
                              "Retries that the share allowed", use.service,
                              Number(use.granted_total));
    metrics.SetServiceCounter("dotterelshift_retries_denied_total",
                              "Retries that the share did not allow",
                              use.service, Number(use.denied_total));
  }
}

void SetLimitMetrics(telemetry::Metrics& metrics,
                     const gateway::FleetLimits& limits,
                     const gateway::Core& core, Instant now) {
  SetGauges(metrics,
            {{"dotterelshift_endpoints_limited", "Endpoints that name a limit",
              Number(limits.Limited().size())},
             {"dotterelshift_grants_permits",
              "1 while this entry grants permits for them",
              limits.Grants(now) ? 1.0 : 0.0},
             {"dotterelshift_permits_waiting",
              "Requests of all entries that wait for one here",
              Number(limits.Waiting())}});
  const gateway::LimitCounts& counts = limits.Counts();
  const auto count = [&metrics](std::string_view name, std::string_view help,
                                uint64_t value) {
    metrics.SetCounter(name, help, Number(value));
  };
  count("dotterelshift_permits_asked_total",
        "Permits that this entry asked for", counts.asked);
  count("dotterelshift_permits_granted_total", "Of these, granted",
        counts.granted);
  count("dotterelshift_permits_denied_total", "Of these, denied",
        counts.denied);
  count("dotterelshift_permits_unanswered_total", "Of these, not answered",
        counts.unanswered);
  count("dotterelshift_permits_granted_to_others_total",
        "Granted here to other entries", counts.granted_to_others);
  count("dotterelshift_permits_denied_to_others_total",
        "Denied here to other entries", counts.denied_to_others);
  count("dotterelshift_limit_refusals_total",
        "Requests refused as the limits of all endpoints are used up",
        core.LimitRefusals());
}

void SetEndpointMetrics(
    telemetry::Metrics& metrics,
    const std::map<ServiceName, gateway::EndpointCounts>& counts) {
  for (const auto& [service, count] : counts) {
    metrics.SetServiceGauge("dotterelshift_endpoints_usable",
                            "Endpoints that serve, as control reports them",
                            service, Number(count.usable));
    metrics.SetServiceGauge("dotterelshift_endpoints_avoided",
                            "Of these, not used for a while after failures",
                            service, Number(count.avoided));
    metrics.SetServiceGauge("dotterelshift_endpoints_full",
                            "Of these, not used after they refused a request",
                            service, Number(count.full));
  }
}

void SetVersionMetrics(telemetry::Metrics& metrics,
                       const std::vector<origins::VersionCount>& counts) {
  for (const origins::VersionCount& count : counts) {
    metrics.SetVersionGauge("dotterelshift_endpoints_by_version",
                            "Endpoints that serve, by software version",
                            count.service, count.version,
                            Number(count.serving));
  }
}

void SetResumptionMetrics(telemetry::Metrics& metrics,
                          const gateway::ResumptionCounts& counts,
                          size_t origins) {
  metrics.SetCounter("dotterelshift_resumptions_accepted_total",
                     "Streams resumed for callers at their version",
                     Number(counts.accepted));
  metrics.SetCounter("dotterelshift_resumptions_refused_total",
                     "Not resumed, as their version is not known or gone",
                     Number(counts.refused));
  for (const auto& [why, count] : counts.refused_for) {
    metrics.SetCounter(
        "dotterelshift_resumptions_refused_" + std::string(why) + "_total",
        "Of these, for this reason", Number(count));
  }
  for (const auto& [outcome, count] : counts.failed_for) {
    metrics.SetCounter("dotterelshift_resumptions_failed_" + outcome + "_total",
                       "Sent to an endpoint, and ended without an event",
                       Number(count));
  }
  metrics.SetCounter("dotterelshift_streams_taken_over_total",
                     "Runs ended as their streams were resumed meanwhile",
                     Number(counts.taken_over));
  metrics.SetCounter("dotterelshift_streams_begun_in_doubt_total",
                     "Begun at endpoints that may have started again before",
                     Number(counts.begun_in_doubt));
  SetGauges(metrics, {{"dotterelshift_stream_origins",
                       "Streams whose version is known", Number(origins)}});
}

void SetResponseMetrics(telemetry::Metrics& metrics,
                        const gateway::Core& core) {
  for (const auto& [service, count] : core.ResponsesToOthers()) {
    metrics.SetServiceCounter("dotterelshift_responses_to_others_total",
                              "Responses that bore the id of another request "
                              "than the one that was due, or none",
                              service, Number(count));
  }
}

void SetSuspectMetrics(telemetry::Metrics& metrics,
                       const gateway::CrashSuspects& suspects,
                       const gateway::Core& core, Instant now) {
  SetGauges(metrics,
            {{"dotterelshift_segments_suspected",
              "Prompt segments that are sent one request at a time",
              Number(suspects.Suspected())},
             {"dotterelshift_segments_blocked", "Of these, not sent at all",
              Number(suspects.Blocked(now))}});
  metrics.SetCounter("dotterelshift_suspect_refusals_total",
                     "Requests refused for a suspected segment",
                     Number(core.SuspectRefusals()));
}

void SetRoutesSentCounters(telemetry::Metrics& metrics,
                           const EntryPushes::RoutesSentTotals& sent) {
  metrics.SetCounter("dotterelshift_routes_wholes_sent_total",
                     "Documents of routes sent to entries by themselves",
                     Number(sent.wholes));
  metrics.SetCounter("dotterelshift_routes_steps_sent_total",
                     "Sent as steps from the version that an entry held",
                     Number(sent.steps));
  metrics.SetCounter("dotterelshift_routes_bytes_sent_total",
                     "Packed bytes of both", Number(sent.bytes));
}

void SetReplicaGauges(telemetry::Metrics& metrics,
                      const ControlReplica& replica, size_t entries) {
  const replication::Node& node = replica.GetNode();
  const ReplicaLoad load = replica.Load();
  SetGauges(
      metrics,
      {{"dotterelshift_leads", "1 while this replica leads inside its lease",
        Number(replica.Leads())},
       {"dotterelshift_term", "Term of the log", Number(node.Term())},
       {"dotterelshift_commit_index", "Committed up to here",
        Number(node.Commit())},
       {"dotterelshift_configuration_version",
        "Version of the configuration that is applied here",
        Number(replica.GetState().GetConfiguration().Version())},
       {"dotterelshift_entries_connected", "Entries connected",
        Number(entries)},
       {"dotterelshift_commands_waiting", "Not yet in a batch",
        Number(load.unbatched_commands)},
       {"dotterelshift_commands_pending", "In batches not yet committed",
        Number(load.pending_commands)},
       {"dotterelshift_entries_unapplied", "Committed, not yet in the state",
        Number(load.unapplied_entries)},
       {"dotterelshift_hellos_heard", "From other replicas, since the start",
        Number(load.hellos)},
       {"dotterelshift_reads_waiting", "For a quorum's word",
        Number(load.unconfirmed_reads)},
       {"dotterelshift_log_bytes", "Of the log since the last snapshot",
        Number(load.log_bytes)},
       {"dotterelshift_snapshot_bytes", "Of the last snapshot",
        Number(load.snapshot_bytes)}});
}

void SetHeldTokenGauges(telemetry::Metrics& metrics,
                        const gateway::HeldGrants::Sums& tokens) {
  SetGauges(metrics, {{"dotterelshift_tokens_held", "Granted and not yet spent",
                       Number(tokens.held)},
                      {"dotterelshift_tokens_reserved",
                       "Of these, the most that open requests may spend",
                       Number(tokens.reserved)}});
}

void SetTokenGauges(telemetry::Metrics& metrics, const state::State& state) {
  const state::BudgetAccount sums = state.PublishedSums();
  SetGauges(metrics, {{"dotterelshift_tokens_total", "Of all published totals",
                       Number(sums.purchased)},
                      {"dotterelshift_tokens_spent", "As reported by entries",
                       Number(sums.settled)},
                      {"dotterelshift_tokens_held",
                       "By live entries, not yet spent", Number(sums.granted)},
                      {"dotterelshift_tokens_lost",
                       "Held by dead runs, which may have spent them",
                       Number(sums.lost)},
                      {"dotterelshift_tokens_free", "Free to be granted",
                       Number(sums.Free())}});
}

}  // namespace dotterelshift::app
