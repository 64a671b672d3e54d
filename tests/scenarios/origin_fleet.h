#ifndef DOTTERELSHIFT_TESTS_SCENARIOS_ORIGIN_FLEET_H_
#define DOTTERELSHIFT_TESTS_SCENARIOS_ORIGIN_FLEET_H_

#include <cstddef>     // for size_t
#include <cstdint>     // for uint64_t
#include <functional>  // for function
#include <map>         // for map, multimap
#include <memory>      // for unique_ptr
#include <random>      // for mt19937_64
#include <set>         // for set
#include <string>      // for string
#include <vector>      // for vector

#include "dotterelshift/base/ids.h"                  // for DataCentreId
#include "dotterelshift/base/time.h"                 // for Instant
#include "dotterelshift/origins/askable_entries.h"   // for AskableFor
#include "dotterelshift/origins/origin_lookup.h"     // for OriginLookup
#include "dotterelshift/origins/origin_responder.h"  // for OriginResponder
#include "dotterelshift/origins/stream_origins.h"    // for StreamOrigins
#include "dotterelshift/peers/frame_buffer.h"        // for FrameWriter

namespace dotterelshift::testing {

struct OriginFleetOptions {
  uint64_t seed = 1;
  size_t entries = 73;
  size_t data_centres = 4;
  size_t regions = 1;
  // One way, between two entries.
  Duration delay = 1500us;
  Duration delay_between_regions = 1500us;
};

// What went over the wire to look up origins, as encoded frames.
enum class OriginTraffic : uint8_t {
  kQuestions,
  kAnswers,
  kHandshakes,
  kKeepAlives,
  kNaming,  // control names the entries that can be asked
};
std::string_view NameOf(OriginTraffic kind);

struct OriginFleetTotals {
  std::map<OriginTraffic, uint64_t> bytes;
  std::map<OriginTraffic, uint64_t> frames;
  std::vector<uint64_t> bytes_of_entry;  // sent and received, by entry
  std::vector<uint64_t> frames_of_entry;
  std::map<origins::LookupOutcome, std::vector<Duration>> ended;

  uint64_t Bytes() const;   // each counted once
  uint64_t Frames() const;  // each counted once
  uint64_t MostBytesOfEntry() const;
  uint64_t MostFramesOfEntry() const;
  size_t Ended() const;
  size_t Learned() const;
  // Of all lookups; `part` from 0 to 1.
  Duration TookAt(double part) const;
};

// The entries of a large fleet that look up origins of streams at each other,
// with the real cores and frames, hand-moved time, and connections and links
// that are modelled.
class OriginFleet {
 public:
  explicit OriginFleet(const OriginFleetOptions& options);

  // Streams begin at an entry; all of its data centre know them.
  std::vector<origins::StreamKey> Begin(size_t entry, size_t count);
  // Callers resume the streams, each once within the time, at entries that are
  // in reach and in another data centre than the one where the streams began.
  void ResumeElsewhere(const std::vector<origins::StreamKey>& streams,
                       size_t began_in, Duration within);
  void Run(Duration time);

  // A host loses power: nobody is told.
  void Fail(size_t entry);
  // A new process, which knows nothing.
  void Start(size_t entry);
  // Cuts a data centre off from all others and from control.
  void CutOff(size_t data_centre);

  size_t DataCentreOf(size_t entry) const {
    return entry % m_options.data_centres;
  }
  DataCentreId DataCentreNameOf(size_t entry) const {
    return "region-1-centre-" + std::to_string(DataCentreOf(entry));
  }
  OriginFleetTotals TakeTotals();

 private:
  struct Peer {
    Instant last_sent{};
    Instant last_received{};
  };
  struct Entry {
    std::string name;  // host and address
    bool alive = true;
    uint64_t run = 0;
    std::unique_ptr<origins::StreamOrigins> origins;
    std::unique_ptr<origins::OriginLookup> lookup;
    std::unique_ptr<origins::OriginResponder> responder;
    std::map<size_t, Peer> peers;
    std::set<size_t> dialling;
    std::map<size_t, Instant> dialled;           // when last asked
    std::vector<origins::DistantEntry> askable;  // as named by control
    bool exchange_due = false;
  };

  void At(Instant when, std::function<void()> work);
  void In(Duration delay, std::function<void()> work) {
    At(m_now + delay, std::move(work));
  }
  size_t RegionOf(size_t entry) const;
  Duration DelayBetween(size_t a, size_t b) const;
  bool IsInReach(size_t a, size_t b) const;
  size_t ChooseElsewhere(size_t began_in);
  void Resume(origins::StreamKey stream, size_t entry);

  void Count(OriginTraffic kind, size_t bytes, size_t entry);
  size_t SizeOf(const wire::FrameT& frame);
  void Send(OriginTraffic kind, size_t from, size_t to, wire::FrameT frame);
  void OnFrame(size_t from, size_t to, const wire::FrameT& frame);
  void Dial(size_t from, size_t to);
  void Connect(size_t from, size_t to);
  void Disconnect(size_t entry, size_t peer);
  size_t HandshakeBytes(const Entry& entry);

  // As app::OriginExchange, once in each event loop iteration.
  void ExchangeSoon(size_t entry);
  void Exchange(size_t entry);
  void TakeLearned(Entry& entry);
  void SendAnswers(size_t entry);

  void CheckConnections();
  void CheckConnectionsOf(size_t entry);
  // As app::EntryPushes.
  void NameAskable();
  void NameAskableTo(size_t entry, const origins::EntryAddresses& known);

  const OriginFleetOptions m_options;
  std::mt19937_64 m_random;
  Instant m_now{1000s};
  std::multimap<Instant, std::function<void()>> m_due;
  std::vector<Entry> m_entries;
  std::map<std::string, size_t> m_by_name;
  std::set<size_t> m_cut_off;  // data centres
  std::set<size_t> m_known_to_control;
  peers::FrameWriter m_writer;
  OriginFleetTotals m_totals;
};

}  // namespace dotterelshift::testing

#endif  // DOTTERELSHIFT_TESTS_SCENARIOS_ORIGIN_FLEET_H_
