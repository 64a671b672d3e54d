#ifndef DOTTERELSHIFT_SRC_GATEWAY_VERSIONED_CORE_TESTING_H_
#define DOTTERELSHIFT_SRC_GATEWAY_VERSIONED_CORE_TESTING_H_

#include <string>  // for string
#include <vector>  // for vector

#include "dotterelshift/directory/spread.h"      // for PulseKey
#include "dotterelshift/gateway/core_testing.h"  // for CoreFixture

namespace dotterelshift::gateway {

// A core whose service of streams has two endpoints of each of two software
// versions, which announced themselves 5 s ago and now.
class VersionedCoreFixture : public CoreFixture {
 public:
  void setUp() override {
    CoreFixture::setUp();
    Publish();
    for (const char* id : {"l1", "l2"}) Leave(id);
    AnnounceVersions();
    m_now += 5s;
    AnnounceVersions();
    Collect();
  }

 protected:
  static std::vector<std::string> IdsOf(const std::string& version) {
    if (version == "v1") return {"a1", "b1"};
    return {"a2", "b2"};
  }

  EndpointKey KeyOf(const std::string& id) const {
    return directory::PulseKey(id, m_directory.Find(id)->record.incarnation);
  }

  void AnnounceVersions() {
    for (const char* version : {"v1", "v2"})
      for (const std::string& id : IdsOf(version))
        AnnounceEndpoint(id, version);
  }

  void AnnounceEndpoint(const std::string& id, const std::string& version,
                        uint64_t incarnation = 1) {
    wire::EndpointRecordT record;
    record.id = id;
    record.incarnation = incarnation;
    record.sequence = ++m_sequence;
    record.address = record.id + ":80";
    record.data_centre = "dc";
    record.services = {"llm"};
    record.slots = 6;
    record.software_version = version;
    m_directory.OnRecord(record, m_now);
    m_core->OnEndpointsChanged(m_directory, m_now);
  }

  void Leave(const std::string& id) {
    wire::EndpointRecordT record = m_directory.Find(id)->record;
    record.sequence = ++m_sequence;
    record.draining = true;
    m_directory.OnRecord(record, m_now);
    m_core->OnEndpointsChanged(m_directory, m_now);
  }

  // A stream of which three events were passed on, on a kept connection.
  StartAttempt Begin() {
    Request("/resume/");
    StartAttempt start = Only<StartAttempt>();
    Head(start.attempt, 200, true);
    Chunk(start.attempt, "id: 1\n\nid: 2\n\nid: 3\n\n");
    return start;
  }

  void Tell(const std::string& first, const std::string& version,
            const TeamId& team = "team") {
    m_origins->OnUpdates("other",
                         {{origins::StreamKeyOf(team, first),
                           origins::SoftwareKeyOf("llm", version)}},
                         m_now);
  }

  // No announcement was received since the connection was established.
  StartAttempt ResumeOnNewConnection() {
    Tell("first", "v1");
    Resume("first");
    StartAttempt start = Only<StartAttempt>();
    m_core->OnConnected(start.attempt, m_now);
    Collect();
    return start;
  }

  StartAttempt BeginResponse(const StartAttempt& start) {
    Head(start.attempt, 200, true);
    return start;
  }
};

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_SRC_GATEWAY_VERSIONED_CORE_TESTING_H_
