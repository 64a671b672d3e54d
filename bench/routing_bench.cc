// Compares the routing policies. Without arguments, simulates a queueing model
// of two deployments under each policy and prints a Markdown table, which is
// the same in each run. With "choice", measures the time of one routing choice
// among 710 endpoints.
#include <algorithm>  // for sort
#include <chrono>     // for steady_clock
#include <cstdio>     // for printf
#include <cstring>    // for strcmp
#include <memory>     // for unique_ptr
#include <string>     // for string
#include <vector>     // for vector

#include "routing_model.h"  // for Model

namespace dotterelshift::routing {
namespace {

const Deployment kDeployments[] = {
    {"Association", {"Plateau", "Fann", "Yoff", "Pikine"}, 20, 4, 48, 16},
    {"Kestrelbay",
     {"Midrand-A", "Midrand-B", "Isando-1", "Isando-2"},
     12,
     4,
     26,
     32},
};

constexpr PolicyRow kPolicies[] = {
    {"round robin", PolicyKind::kRoundRobin, false},
    {"least in flight", PolicyKind::kLeastInFlight, false},
    {"round robin, outliers ejected", PolicyKind::kRoundRobin, true},
    {"least in flight, outliers ejected", PolicyKind::kLeastInFlight, true},
    {"two choices", PolicyKind::kTwoChoices, true},
    {"six choices", PolicyKind::kSixChoices, true},
    {"two choices, own data centre first", PolicyKind::kLocalTwoChoices, true},
    {"prefix affinity, no ejection", PolicyKind::kPrefixAffinity, false},
    {"prefix affinity", PolicyKind::kPrefixAffinity, true},
    {"prefix affinity, own data centre first", PolicyKind::kLocalPrefixAffinity,
     true},
};

double Quantile(std::vector<double>* values, double part) {
  if (values->empty()) return 0;
  std::sort(values->begin(), values->end());
  const auto last = static_cast<double>(values->size() - 1);
  return (*values)[static_cast<size_t>(part * last)];
}

double Percent(size_t part, size_t whole) {
  return whole == 0
             ? 0
             : 100 * static_cast<double>(part) / static_cast<double>(whole);
}

void ComparePolicies() {
  std::printf(
      "| deployment | policy | first token p50, ms | p95, ms | prompt from "
      "cache, %% | to another data centre, %% | to the slow one, %% | refused "
      "|\n|---|---|---|---|---|---|---|---|\n");
  for (const Deployment& deployment : kDeployments) {
    for (const PolicyRow& policy : kPolicies) {
      Result result = Model(deployment, policy).Run();
      std::printf(
          "| %s | %s | %.0f | %.0f | %.0f | %.0f | %.1f | %zu |\n",
          deployment.name, policy.name, Quantile(&result.first_token_ms, 0.5),
          Quantile(&result.first_token_ms, 0.95),
          Percent(result.cached_blocks, result.blocks),
          Percent(result.remote, result.requests),
          Percent(result.sent_to_slow, result.requests), result.refused);
    }
  }
}

// Prints the median and p99 time of a choice, measured in batches, for each
// policy.
void TimeChoices() {
  constexpr size_t kEndpoints = 710;
  constexpr size_t kBatches = 4000;
  constexpr size_t kBatch = 25;
  directory::Directory directory;
  Instant now = Instant{} + 1000s;
  std::vector<Engine> engines(kEndpoints);
  for (size_t i = 0; i < kEndpoints; ++i) {
    engines[i].id = "engine-" + std::to_string(i);
    engines[i].data_centre = "dc-" + std::to_string(i % 7);
    engines[i].running = i % 8;
    directory.OnRecord(RecordOf(&engines[i]), now);
  }
  const state::Configuration configuration = MakeConfiguration();
  std::vector<std::vector<uint64_t>> prompts(1000);
  for (size_t i = 0; i < prompts.size(); ++i) {
    for (size_t block = 0; block < 24; ++block)
      prompts[i].push_back((block < 16 ? i % 80 : i) * 1000 + block);
  }
  for (const PolicyRow& policy : kPolicies) {
    RouterOptions options;
    options.policy = policy.kind;
    options.eject_outliers = policy.eject;
    options.data_centre = "dc-0";
    const std::unique_ptr<Router> router = MakeRouter(options);
    router->Refresh(directory, configuration, now);
    RouteQuery query;
    query.target = "model";
    std::vector<double> times;
    size_t next = 0;
    for (size_t batch = 0; batch < kBatches; ++batch) {
      std::vector<EndpointId> chosen;
      const auto start = std::chrono::steady_clock::now();
      for (size_t i = 0; i < kBatch; ++i) {
        query.team = "team-" + std::to_string(next % kTeams);
        query.prefix_hashes = &prompts[next++ % prompts.size()];
        chosen.push_back(router->Choose(query, now).endpoint);
      }
      const std::chrono::duration<double, std::micro> taken =
          std::chrono::steady_clock::now() - start;
      times.push_back(taken.count() / kBatch);
      for (const EndpointId& id : chosen) router->OnStarted(id, 0, now);
      now += 1ms;
      for (const EndpointId& id : chosen) router->OnEnded(id, 0, false, now);
    }
    std::printf("%-40s %.2f us a choice at the median, %.2f at p99\n",
                policy.name, Quantile(&times, 0.5), Quantile(&times, 0.99));
  }
}

}  // namespace
}  // namespace dotterelshift::routing

int main(int argc, char** argv) {
  if (argc > 1 && std::strcmp(argv[1], "choice") == 0) {
    dotterelshift::routing::TimeChoices();
  } else {
    dotterelshift::routing::ComparePolicies();
  }
  return 0;
}
