#ifndef DOTTERELSHIFT_TESTS_SCENARIOS_ENGINE_H_
#define DOTTERELSHIFT_TESTS_SCENARIOS_ENGINE_H_

#include <functional>  // for function
#include <map>         // for map
#include <string>      // for string
#include <utility>     // for pair

#include "dotterelshift/serving/request_core.h"   // for Chunk, AttemptEnd
#include "dotterelshift/wire/frames_generated.h"  // for EndpointRecordT
#include "scenarios/network.h"                    // for Network
#include "scenarios/records.h"                    // for Records

namespace dotterelshift::scenarios {

// Identifies the connection of one attempt to an engine.
struct Connection {
  std::string entry;
  Incarnation incarnation = 0;
  AttemptId attempt = 0;
  auto operator<=>(const Connection&) const = default;
};

// Callbacks for what an engine sends back over a connection.
struct EngineEvents {
  std::function<void(const Connection&, int status)> on_head;
  std::function<void(const Connection&, RequestId from, const serving::Chunk&)>
      on_chunk;
  std::function<void(const Connection&, serving::AttemptEnd)> on_end;
};

// Delays and faults of an engine.
struct EngineFault {
  Duration first_token = 20ms;
  Duration chunk_interval = 10ms;
  bool refuses = false;        // refuses requests before running them
  bool usage_missing = false;  // responses end without a usage report
};

// A simulated model engine or plain service. It writes chunks of tokens until
// the request's output is complete, the request is cancelled or the engine
// dies.
class Engine {
 public:
  Engine(const wire::EndpointRecordT& record, Network* network,
         Records* records, EngineEvents events);

  const wire::EndpointRecordT& Record() const { return m_record; }
  bool Alive() const { return m_alive; }
  EngineFault fault;

  void Drain() { m_record.draining = true; }
  void Die();
  void Start();
  // Returns the next announcement of the current incarnation.
  wire::EndpointRecordT Announce();

  void Run(const Connection& connection, RequestId request);
  void Cancel(const Connection& connection);
  // Cancels all requests of an entry that can no longer be reached.
  void CancelAll(const std::string& entry);
  int Running() const { return static_cast<int>(m_streams.size()); }
  // When the engine last began to run a request.
  Instant LastStart() const { return m_last_start; }

 private:
  struct Stream {
    RequestId request = 0;
    Tokens written = 0;
    uint64_t serial = 0;
  };
  void WriteNext(const Connection& connection, uint64_t serial);
  void Finish(const Connection& connection, const Stream& stream);
  void End(const Connection& connection, serving::AttemptEnd end);

  wire::EndpointRecordT m_record;
  Network* m_network;
  Records* m_records;
  EngineEvents m_events;
  bool m_alive = true;
  uint64_t m_last_serial = 0;
  Instant m_last_start{};
  std::map<Connection, Stream> m_streams;
};

}  // namespace dotterelshift::scenarios

#endif  // DOTTERELSHIFT_TESTS_SCENARIOS_ENGINE_H_
