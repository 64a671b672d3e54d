#include "scenarios/engine.h"

#include <algorithm>  // for min

namespace dotterelshift::scenarios {
namespace {

constexpr Tokens kTokensPerChunk = 8;
constexpr int kOk = 200;

}  // namespace

Engine::Engine(const wire::EndpointRecordT& record, Network* network,
               Records* records, EngineEvents events)
    : m_record(record),
      m_network(network),
      m_records(records),
      m_events(std::move(events)) {}

void Engine::Die() {
  m_alive = false;
  m_records->Trace(m_network->Now(), m_record.id + " dies");
  const auto streams = std::move(m_streams);
  m_streams.clear();
  for (const auto& [connection, stream] : streams)
    End(connection, serving::AttemptEnd::kDied);
}

void Engine::Start() {
  m_alive = true;
  ++m_record.incarnation;
  m_record.sequence = 0;
  m_record.draining = false;
}

wire::EndpointRecordT Engine::Announce() {
  ++m_record.sequence;
  m_record.running = static_cast<uint32_t>(m_streams.size());
  return m_record;
}

void Engine::Run(const Connection& connection, RequestId request) {
  if (!m_alive) return End(connection, serving::AttemptEnd::kNotSent);
  if (fault.refuses)
    return End(connection, serving::AttemptEnd::kRefusedBeforeRun);
  const RequestRecord& record = m_records->Of(request);
  m_last_start = m_network->Now();
  m_records->OnRun(request, m_record.id, m_network->Now());
  m_records->OnConsumed(request, record.prompt);
  const uint64_t serial = ++m_last_serial;
  m_streams[connection] = {request, 0, serial};
  m_network->After(fault.first_token, [this, connection, serial] {
    if (!m_streams.contains(connection)) return;
    m_network->Send(m_record.id, connection.entry,
                    [this, connection] { m_events.on_head(connection, kOk); });
    WriteNext(connection, serial);
  });
}

void Engine::WriteNext(const Connection& connection, uint64_t serial) {
  const auto found = m_streams.find(connection);
  if (found == m_streams.end() || found->second.serial != serial) return;
  Stream& stream = found->second;
  const RequestRecord& record = m_records->Of(stream.request);
  if (record.crashes_engines) return Die();
  const Tokens tokens =
      std::min(kTokensPerChunk, record.output - stream.written);
  if (record.service || tokens == 0) {
    const Stream done = stream;
    m_streams.erase(found);
    return Finish(connection, done);
  }
  stream.written += tokens;
  m_records->OnConsumed(stream.request, tokens);
  m_network->Send(m_record.id, connection.entry,
                  [this, connection, tokens, request = stream.request] {
                    m_events.on_chunk(connection, request, {.tokens = tokens});
                  });
  m_network->After(fault.chunk_interval, [this, connection, serial] {
    WriteNext(connection, serial);
  });
}

void Engine::Finish(const Connection& connection, const Stream& stream) {
  const RequestRecord& record = m_records->Of(stream.request);
  if (!record.service && !fault.usage_missing) {
    serving::Chunk usage;
    usage.has_usage = true;
    usage.usage_prompt = record.prompt;
    usage.usage_output = stream.written;
    m_network->Send(m_record.id, connection.entry,
                    [this, connection, usage, request = stream.request] {
                      m_events.on_chunk(connection, request, usage);
                    });
  }
  End(connection, serving::AttemptEnd::kWhole);
}

void Engine::End(const Connection& connection, serving::AttemptEnd end) {
  m_network->Send(m_record.id, connection.entry, [this, connection, end] {
    m_events.on_end(connection, end);
  });
}

void Engine::Cancel(const Connection& connection) {
  m_streams.erase(connection);
}

void Engine::CancelAll(const std::string& entry) {
  std::erase_if(m_streams, [&](const auto& stream) {
    return stream.first.entry == entry;
  });
}

}  // namespace dotterelshift::scenarios
