#ifndef DOTTERELSHIFT_SRC_GATEWAY_VERSION_SCHEDULE_TESTING_H_
#define DOTTERELSHIFT_SRC_GATEWAY_VERSION_SCHEDULE_TESTING_H_

#include <algorithm>  // for find_if, max
#include <map>        // for map
#include <memory>     // for unique_ptr
#include <random>     // for mt19937_64
#include <set>        // for set
#include <string>     // for string
#include <variant>    // for visit

#include "dotterelshift/gateway/version_schedule_parts_testing.h"  // for Node

// Random schedules: endpoints start again at their addresses at other versions,
// under new ids or their own, endpoints come and leave, directories lag,
// entries are killed or cut off from control, and callers resume their streams
// at any entry.
namespace dotterelshift::gateway::version_schedule {

class Schedule {
 public:
  explicit Schedule(const ScheduleOptions& options)
      : m_options(options), m_random(options.seed) {
    Route route;
    route.name = route.path_prefix = "/s/";
    route.host = "h";
    route.kind = RouteKind::kStream;
    route.services = {{"llm", 1}};
    route.timeout = kCallerTimeout;
    route.target = 600ms;
    route.attempts = 3;
    route.resumable = true;
    Routes routes;
    routes.version = 1;
    routes.routes = {route};
    routes.services = {{"llm", 10, EngineCapacity{8, 100'000, 6}}};
    m_routes = std::make_shared<const RouteTable>(std::move(routes));
    for (int i = 0; i < 4; ++i) AddEndpoint(i % 2 == 0 ? "v1" : "v2");
    for (int i = 0; i < 3; ++i) m_nodes.push_back(MakeNode());
  }

  void Run() {
    const Instant end = m_now + kRunTime;
    while (m_now < end) {
      m_now += kStep;
      Disturb();
      Announce();
      for (auto& node : m_nodes) DeliverTo(*node);
      for (auto& node : m_nodes) Proceed(*node);
      ExchangeOrigins();
      ExchangeNotices();
      BeginStream();
      Return();
    }
  }

  int Mixed() const { return m_mixed; }
  int Gaps() const { return m_gaps; }
  int Resumed() const { return m_resumed; }
  int WentOn() const { return m_went_on; }

 private:
  uint64_t Draw(uint64_t below) { return m_random() % below; }
  bool OneIn(uint64_t times) { return Draw(times) == 0; }

  std::unique_ptr<Node> MakeNode() {
    auto node = std::make_unique<Node>();
    node->core->OnRoutes(m_routes, 1, m_now);
    return node;
  }

  void AddEndpoint(const std::string& version) {
    Process process;
    process.id = "e" + std::to_string(++m_last_endpoint);
    process.address = "10.0.0." + std::to_string(m_last_endpoint) + ":80";
    process.version = version;
    process.announces_at = m_now;
    m_processes[process.address] = process;
  }

  void Disturb() {
    if (m_options.restarts && OneIn(70)) StartAgain(false);
    if (m_options.same_ids && OneIn(70)) StartAgain(true);
    if (m_options.rolls && OneIn(100)) Roll();
    if (m_options.kills && OneIn(200)) Kill(Draw(m_nodes.size()));
    if (m_options.cuts && OneIn(200)) {
      Node& node = *m_nodes[Draw(m_nodes.size())];
      node.cut_until = m_now + std::chrono::milliseconds(500 + Draw(5000));
    }
  }

  Process& AnyProcess() {
    auto at = m_processes.begin();
    std::advance(at, static_cast<ptrdiff_t>(Draw(m_processes.size())));
    return at->second;
  }

  // The new process may announce itself only at its next heartbeat.
  void StartAgain(bool same_id) {
    Process& process = AnyProcess();
    if (!same_id) process.id = "e" + std::to_string(++m_last_endpoint);
    ++process.incarnation;
    process.sequence = 0;
    process.draining = false;
    process.version = OneIn(2) ? "v1" : "v2";
  }

  void Roll() {
    if (m_processes.size() < 6) return AddEndpoint(OneIn(2) ? "v1" : "v2");
    Process& process = AnyProcess();
    if (process.draining) {
      m_processes.erase(process.address);
    } else {
      process.draining = true;
      process.announces_at = m_now;
    }
  }

  void Kill(size_t index) {
    for (auto& [request, stream] : m_nodes[index]->callers)
      EndTry(*stream, false);
    m_nodes[index] = MakeNode();
    Node& node = *m_nodes[index];
    for (const Delivery& known : m_announced) Deliver(node, known);
    for (size_t i = 0; i < m_nodes.size(); ++i) {
      if (i == index || IsCut(*m_nodes[i])) continue;
      Tell(node, m_nodes[i]->restarts.AllNotices(m_now));
      const auto is_connected = [&](const HostId& host) {
        return host != NameOf(index);
      };
      node.origins.OnUpdates(
          NameOf(i), m_nodes[i]->origins.ForNewEntry(is_connected, m_now),
          m_now);
    }
  }

  static HostId NameOf(size_t index) { return "n" + std::to_string(index); }
  bool IsCut(const Node& node) const { return m_now < node.cut_until; }

  void Announce() {
    for (auto& [address, process] : m_processes) {
      if (m_now < process.announces_at) continue;
      process.announces_at = m_now + kHeartbeat;
      wire::EndpointRecordT record;
      record.id = process.id;
      record.incarnation = process.incarnation;
      record.sequence = ++process.sequence;
      record.address = address;
      record.data_centre = "dc";
      record.services = {"llm"};
      record.slots = 64;
      record.software_version = process.version;
      record.draining = process.draining;
      m_announced.push_back({m_now, m_now, record});
    }
  }

  void Deliver(Node& node, const Delivery& delivery) {
    wire::EndpointRecordT record = delivery.record;
    record.age_ms = static_cast<uint32_t>(ToMs(m_now - delivery.announced));
    node.directory.OnRecord(record, m_now);
  }

  // What is announced reaches an entry after up to 200 ms, and one that was cut
  // off when it returns.
  void DeliverTo(Node& node) {
    if (IsCut(node)) return;
    node.confirmed = m_now;
    const uint64_t generation = node.directory.Generation();
    for (const Delivery& delivery : m_announced) {
      const Duration age = m_now - delivery.announced;
      if (age <= 8s && (age >= 200ms || OneIn(10))) Deliver(node, delivery);
    }
    while (!m_announced.empty() && m_now - m_announced.front().announced > 30s)
      m_announced.erase(m_announced.begin());
    if (node.directory.Generation() != generation)
      node.core->OnEndpointsChanged(node.directory, m_now);
    Execute(node);
  }

  void Proceed(Node& node) {
    node.view.Update({true, node.confirmed}, m_now);
    node.core->OnViewComplete(node.view.CompleteSince());
    node.core->OnViewConfirmed(node.confirmed, m_now);
    node.restarts.Update(m_now);
    node.origins.Update(node.directory, node.restarts, m_now);
    node.restarts.TakeBeliefs();
    std::vector<AttemptId> due;
    for (const auto& [attempt, run] : node.running)
      if (m_now >= run.next_at || IsBroken(run)) due.push_back(attempt);
    for (const AttemptId attempt : due) Proceed(node, attempt);
    if (node.core->NextTimer() <= m_now) node.core->OnTimer(m_now);
    Execute(node);
  }

  bool IsBroken(const EndpointRun& run) const {
    const auto process = m_processes.find(run.address);
    return process == m_processes.end() || process->second.id != run.endpoint ||
           process->second.incarnation != run.incarnation;
  }

  void Proceed(Node& node, AttemptId attempt) {
    const auto found = node.running.find(attempt);
    if (found == node.running.end()) return;
    EndpointRun& run = found->second;
    if (run.misdirected && !IsBroken(run)) return Misdirect(node, attempt);
    const bool ends = run.next > kEvents;
    if (IsBroken(run) || run.next == run.cut_before || ends) {
      const bool whole = !IsBroken(run) && ends;
      node.running.erase(found);
      node.core->OnEnd(
          attempt, whole ? http::TransferEnd::kWhole : http::TransferEnd::kCut,
          m_now);
      return Execute(node);
    }
    ResponseInfo info;
    info.echoed_id = run.caller_id;
    info.has_proof = info.event_stream = true;
    const std::string event = "id: " + std::to_string(run.next++) +
                              "\ndata: " + m_processes.at(run.address).version +
                              "\n\n";
    run.next_at = m_now + kEventInterval;
    node.core->OnHead(attempt, 200, info, m_now);
    node.core->OnChunk(attempt, event, m_now);
    Execute(node);
  }

  // Each endpoint checks the id that a request names, and does not run one for
  // another endpoint.
  void Misdirect(Node& node, AttemptId attempt) {
    ResponseInfo info;
    info.address_reassigned = true;
    node.running.erase(attempt);
    node.core->OnConnected(attempt, m_now);
    node.core->OnHead(attempt, 421, info, m_now);
    node.core->OnEnd(attempt, http::TransferEnd::kWhole, m_now);
    Execute(node);
  }

  void Execute(Node& node) {
    for (auto actions = node.core->TakeActions(); !actions.empty();
         actions = node.core->TakeActions()) {
      for (const Action& action : actions)
        std::visit([&](const auto& what) { Do(node, what); }, action);
    }
    node.core->TakeFinished();
    node.core->TakeSuspectReports();
    for (const EndpointKey endpoint : node.core->TakeReplaced())
      if (const origins::EndpointContact* contact = node.load.Find(endpoint))
        node.directory.OnReplaced(contact->id, m_now);
  }

  void Do(Node& node, const StartAttempt& start) {
    const auto process = m_processes.find(start.endpoint.address);
    if (process == m_processes.end())
      return node.core->OnEnd(start.attempt, http::TransferEnd::kNotSent,
                              m_now);
    EndpointRun run;
    run.request = start.request;
    run.endpoint = process->second.id;
    run.incarnation = process->second.incarnation;
    run.address = start.endpoint.address;
    run.misdirected = process->second.id != start.endpoint.id;
    run.caller_id = IdOf(*node.callers.at(start.request));
    run.next =
        start.last_event_id.empty() ? 1 : std::stoi(start.last_event_id) + 1;
    run.cut_before = OneIn(6) ? run.next + static_cast<int>(Draw(kEvents)) : 0;
    run.next_at = m_now + kEventInterval;
    node.running[start.attempt] = run;
  }
  void Do(Node& node, const CancelAttempt& cancel) {
    node.running.erase(cancel.attempt);
  }
  void Do(Node& node, const RelayChunk& chunk) {
    const auto caller = node.callers.find(chunk.request);
    if (caller != node.callers.end()) TakeEvents(*caller->second, chunk.bytes);
  }
  void Do(Node& node, const FinishStream& finish) { End(node, finish.request); }
  void Do(Node& node, const AbortStream& abort) { End(node, abort.request); }
  void Do(Node& node, const Refuse& refuse) { End(node, refuse.request); }
  static void Do(Node&, const WithdrawAttempt&) {}
  static void Do(Node&, const RelayResponse&) {}
  static void Do(Node&, const RelayHead&) {}
  static void Do(Node&, const Decision&) {}

  void TakeEvents(CallerStream& stream, const std::string& bytes) {
    constexpr std::string_view kData = "data: ";
    for (size_t at = bytes.find("id: "); at != std::string::npos;
         at = bytes.find("id: ", at + 1)) {
      if (std::stoi(bytes.substr(at + 4)) != stream.events + 1) ++m_gaps;
      ++stream.events;
      if (stream.first_id.empty()) stream.first_id = IdOf(stream);
      const size_t data = bytes.find(kData, at) + kData.size();
      stream.versions.insert(bytes.substr(data, 2));
      if (stream.versions.size() > 1) ++m_mixed;
    }
  }

  void End(Node& node, RequestId request) {
    const auto caller = node.callers.find(request);
    if (caller == node.callers.end()) return;
    CallerStream& stream = *caller->second;
    node.callers.erase(caller);
    EndTry(stream, true);
  }

  void EndTry(CallerStream& stream, bool counts) {
    stream.open = false;
    if (counts && stream.events > m_before[&stream]) {
      m_went_on += m_before[&stream] > 0 ? 1 : 0;
    }
    if (counts && m_before[&stream] > 0) ++m_resumed;
    stream.retry_at = m_now + std::chrono::milliseconds(20 + Draw(200));
  }

  static std::string IdOf(const CallerStream& stream) {
    return "r" + std::to_string(stream.number) + "-" +
           std::to_string(stream.tries);
  }

  void Tell(Node& node, const std::vector<wire::ProcessNote>& notices) {
    for (const wire::ProcessNote& note : notices) {
      const origins::EndpointContact* contact = node.load.Find(note.endpoint());
      if (contact != nullptr) node.restarts.OnTold(*contact, note, m_now);
    }
  }

  void ExchangeNotices() {
    for (size_t i = 0; i < m_nodes.size(); ++i) {
      const auto notices = m_nodes[i]->restarts.TakeNotices(m_now);
      if (IsCut(*m_nodes[i])) continue;
      for (size_t j = 0; j < m_nodes.size(); ++j)
        if (j != i && !IsCut(*m_nodes[j])) Tell(*m_nodes[j], notices);
    }
  }

  void ExchangeOrigins() {
    for (size_t i = 0; i < m_nodes.size(); ++i) {
      if (!m_nodes[i]->origins.HasUpdates()) continue;
      const auto updates = m_nodes[i]->origins.TakeUpdates();
      if (IsCut(*m_nodes[i])) continue;
      for (size_t j = 0; j < m_nodes.size(); ++j)
        if (j != i && !IsCut(*m_nodes[j]))
          m_nodes[j]->origins.OnUpdates(NameOf(i), updates, m_now);
    }
  }

  void BeginStream() {
    if (!OneIn(4)) return;
    auto stream = std::make_unique<CallerStream>();
    stream->number = ++m_last_stream;
    stream->deadline = m_now + kCallerTimeout;
    stream->retry_at = m_now;
    m_streams.push_back(std::move(stream));
  }

  void Return() {
    for (const auto& stream : m_streams) {
      const bool over = stream->events == kEvents ||
                        stream->tries == kMaxTries || m_now >= stream->deadline;
      if (!stream->open && !over && m_now >= stream->retry_at) Try(*stream);
      const bool leaves = stream->open && stream->leaves_after > 0 &&
                          stream->events >= stream->leaves_after;
      if (leaves) Leave(*stream);
    }
    std::erase_if(m_streams, [this](const auto& stream) {
      return !stream->open && m_now > stream->deadline;
    });
  }

  void Try(CallerStream& stream) {
    Node& node = *m_nodes[Draw(m_nodes.size())];
    ++stream.tries;
    stream.open = true;
    stream.leaves_after =
        OneIn(3) ? stream.events + 1 + static_cast<int>(Draw(10)) : 0;
    m_before[&stream] = stream.events;
    const RequestId request = ++m_last_request;
    node.callers[request] = &stream;
    RequestInfo info;
    info.caller_id = IdOf(stream);
    info.host = "h";
    info.path = "/s/x";
    info.timeout = stream.deadline - m_now;
    if (stream.events > 0) {
      info.last_event_id = std::to_string(stream.events);
      if (!OneIn(20)) info.first_caller_id = stream.first_id;
    }
    node.core->OnRequest(request, info, m_now);
    Execute(node);
  }

  void Leave(CallerStream& stream) {
    for (const auto& node : m_nodes) {
      const auto caller = std::ranges::find_if(
          node->callers,
          [&stream](const auto& item) { return item.second == &stream; });
      if (caller == node->callers.end()) continue;
      const RequestId request = caller->first;
      End(*node, request);
      node->core->OnCallerGone(request, m_now);
      return Execute(*node);
    }
  }

  const ScheduleOptions m_options;
  std::mt19937_64 m_random;
  Instant m_now{1000s};
  std::shared_ptr<const RouteTable> m_routes;
  std::map<std::string, Process> m_processes;  // by address
  std::vector<Delivery> m_announced;
  std::vector<std::unique_ptr<Node>> m_nodes;
  std::vector<std::unique_ptr<CallerStream>> m_streams;
  std::map<const CallerStream*, int> m_before;  // events before the open try
  int m_last_endpoint = 0;
  int m_last_stream = 0;
  RequestId m_last_request = 0;
  int m_mixed = 0;
  int m_gaps = 0;
  int m_resumed = 0;
  int m_went_on = 0;
};

}  // namespace dotterelshift::gateway::version_schedule

#endif  // DOTTERELSHIFT_SRC_GATEWAY_VERSION_SCHEDULE_TESTING_H_
