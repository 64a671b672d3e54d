#include "scenarios/origin_fleet.h"

#include <algorithm>  // for max_element, sort
#include <numeric>    // for accumulate
#include <utility>    // for exchange, move

#include "dotterelshift/peers/hub.h"  // for MakeFrame

namespace dotterelshift::testing {
namespace {

// As the defaults of peers::HubOptions.
constexpr Duration kSilenceTimeout = 6s;
constexpr Duration kConnectRetry = 250ms;
constexpr Duration kKeepAliveAfter = kSilenceTimeout / 4;
constexpr Duration kCheckInterval = 250ms;
constexpr Duration kBeatInterval = 1s;
constexpr Duration kIdleTime = 60s;
// A connection and its two-way proof of the secret, in delays of the link.
constexpr int kDelaysToConnect = 4;
constexpr size_t kProofBytes = 32;
constexpr size_t kKeepAliveBytes = 4;

uint64_t Sum(const std::map<OriginTraffic, uint64_t>& counts) {
  uint64_t sum = 0;
  for (const auto& [kind, count] : counts) sum += count;
  return sum;
}

uint64_t MostOf(const std::vector<uint64_t>& counts) {
  return counts.empty() ? 0 : *std::ranges::max_element(counts);
}

}  // namespace

std::string_view NameOf(OriginTraffic kind) {
  switch (kind) {
    case OriginTraffic::kQuestions:
      return "questions";
    case OriginTraffic::kAnswers:
      return "answers";
    case OriginTraffic::kHandshakes:
      return "handshakes";
    case OriginTraffic::kKeepAlives:
      return "keep-alives";
    case OriginTraffic::kNaming:
      return "naming";
  }
  return "unknown";
}

uint64_t OriginFleetTotals::Bytes() const { return Sum(bytes); }
uint64_t OriginFleetTotals::Frames() const { return Sum(frames); }
uint64_t OriginFleetTotals::MostBytesOfEntry() const {
  return MostOf(bytes_of_entry);
}
uint64_t OriginFleetTotals::MostFramesOfEntry() const {
  return MostOf(frames_of_entry);
}

size_t OriginFleetTotals::Ended() const {
  size_t count = 0;
  for (const auto& [outcome, took] : ended) count += took.size();
  return count;
}

size_t OriginFleetTotals::Learned() const {
  const auto found = ended.find(origins::LookupOutcome::kLearned);
  return found == ended.end() ? 0 : found->second.size();
}

Duration OriginFleetTotals::TookAt(double part) const {
  std::vector<Duration> all;
  for (const auto& [outcome, took] : ended)
    all.insert(all.end(), took.begin(), took.end());
  if (all.empty()) return 0s;
  std::ranges::sort(all);
  return all[static_cast<size_t>(part * static_cast<double>(all.size() - 1))];
}

OriginFleet::OriginFleet(const OriginFleetOptions& options)
    : m_options(options), m_random(options.seed), m_entries(options.entries) {
  TakeTotals();
  for (size_t i = 0; i < m_entries.size(); ++i) {
    Entry& entry = m_entries[i];
    entry.name = "10." + std::to_string(DataCentreOf(i)) + ".0." +
                 std::to_string(i) + ":7700";
    m_by_name[entry.name] = i;
    Start(i);
  }
  // All have been up for long enough to know what began before.
  m_now += 60s;
  CheckConnections();
  NameAskable();
}

void OriginFleet::At(Instant when, std::function<void()> work) {
  m_due.emplace(when, std::move(work));
}

void OriginFleet::Run(Duration time) {
  const Instant until = m_now + time;
  while (!m_due.empty() && m_due.begin()->first <= until) {
    auto next = m_due.extract(m_due.begin());
    m_now = std::max(m_now, next.key());
    next.mapped()();
  }
  m_now = until;
}

size_t OriginFleet::RegionOf(size_t entry) const {
  return DataCentreOf(entry) * m_options.regions / m_options.data_centres;
}

Duration OriginFleet::DelayBetween(size_t a, size_t b) const {
  return RegionOf(a) == RegionOf(b) ? m_options.delay
                                    : m_options.delay_between_regions;
}

bool OriginFleet::IsInReach(size_t a, size_t b) const {
  const bool cut = m_cut_off.contains(DataCentreOf(a)) ||
                   m_cut_off.contains(DataCentreOf(b));
  const bool same = DataCentreOf(a) == DataCentreOf(b);
  return m_entries[a].alive && m_entries[b].alive && (same || !cut);
}

std::vector<origins::StreamKey> OriginFleet::Begin(size_t entry, size_t count) {
  constexpr SoftwareKey kSoftware = 1;
  std::vector<origins::StreamKey> streams;
  for (size_t i = 0; i < count; ++i) {
    const origins::StreamKey stream = m_random();
    streams.push_back(stream);
    for (size_t other = 0; other < m_entries.size(); ++other) {
      if (!m_entries[other].alive || DataCentreOf(other) != DataCentreOf(entry))
        continue;
      m_entries[other].origins->OnUpdates(m_entries[entry].name,
                                          {{stream, kSoftware}}, m_now);
      m_entries[other].origins->TakeLearned();
    }
  }
  return streams;
}

size_t OriginFleet::ChooseElsewhere(size_t began_in) {
  while (true) {
    const size_t entry = m_random() % m_entries.size();
    const size_t data_centre = DataCentreOf(entry);
    if (m_entries[entry].alive && data_centre != began_in &&
        !m_cut_off.contains(data_centre))
      return entry;
  }
}

void OriginFleet::ResumeElsewhere(
    const std::vector<origins::StreamKey>& streams, size_t began_in,
    Duration within) {
  for (const origins::StreamKey stream : streams) {
    const Duration delay = within * (m_random() % 10'000) / 10'000;
    const size_t entry = ChooseElsewhere(began_in);
    In(delay, [this, stream, entry] { Resume(stream, entry); });
  }
}

void OriginFleet::Resume(origins::StreamKey stream, size_t entry) {
  Entry& at = m_entries[entry];
  if (!at.alive) return;
  const auto state = at.origins->Find(stream, m_now).state;
  if (state != origins::OriginState::kMissing) return;
  if (!at.lookup->Start(stream, m_now))
    m_totals.ended[origins::LookupOutcome::kIncomplete].push_back(0s);
  ExchangeSoon(entry);
}

void OriginFleet::Count(OriginTraffic kind, size_t bytes, size_t entry) {
  m_totals.bytes_of_entry[entry] += bytes;
  ++m_totals.frames_of_entry[entry];
  m_totals.bytes[kind] += bytes;
  ++m_totals.frames[kind];
}

size_t OriginFleet::SizeOf(const wire::FrameT& frame) {
  std::string bytes;
  m_writer.Append(frame, &bytes);
  return bytes.size();
}

void OriginFleet::Send(OriginTraffic kind, size_t from, size_t to,
                       wire::FrameT frame) {
  const auto peer = m_entries[from].peers.find(to);
  if (peer == m_entries[from].peers.end()) return;
  peer->second.last_sent = m_now;
  const size_t bytes = SizeOf(frame);
  Count(kind, bytes, from);
  const auto sent = std::make_shared<wire::FrameT>(std::move(frame));
  In(DelayBetween(from, to), [this, from, to, bytes, sent] {
    const auto connection = m_entries[to].peers.find(from);
    if (!IsInReach(from, to) || connection == m_entries[to].peers.end()) return;
    connection->second.last_received = m_now;
    m_totals.bytes_of_entry[to] += bytes;
    ++m_totals.frames_of_entry[to];
    OnFrame(from, to, *sent);
  });
}

void OriginFleet::OnFrame(size_t from, size_t to, const wire::FrameT& frame) {
  Entry& entry = m_entries[to];
  const std::string& sender = m_entries[from].name;
  if (const auto* question = frame.body.AsOriginQuestion())
    entry.responder->OnQuestion(sender, question->streams, m_now);
  if (const auto* answer = frame.body.AsOriginAnswer()) {
    entry.origins->OnUpdates(sender, answer->origins, m_now);
    for (const origins::StreamKey stream : answer->unclear)
      entry.origins->OnUnclear(sender, stream, m_now);
    TakeLearned(entry);
    entry.lookup->OnMissing(sender, answer->missing, answer->starting, m_now);
  }
  ExchangeSoon(to);
}

void OriginFleet::Dial(size_t from, size_t to) {
  Entry& entry = m_entries[from];
  if (!entry.dialled.contains(to) || entry.peers.contains(to)) return;
  if (!entry.dialling.insert(to).second) return;
  const uint64_t run = entry.run;
  const bool reached = IsInReach(from, to);
  const Duration took =
      reached ? kDelaysToConnect * DelayBetween(from, to) : kConnectRetry;
  In(took, [this, from, to, run] {
    if (m_entries[from].run != run) return;
    m_entries[from].dialling.erase(to);
    if (IsInReach(from, to))
      Connect(from, to);
    else
      Dial(from, to);
  });
}

void OriginFleet::Connect(size_t from, size_t to) {
  if (m_entries[from].peers.contains(to)) return;
  for (const auto& [entry, peer] : {std::pair(from, to), std::pair(to, from)}) {
    const size_t bytes = HandshakeBytes(m_entries[entry]);
    Count(OriginTraffic::kHandshakes, bytes, entry);
    m_totals.bytes_of_entry[peer] += bytes;
    m_entries[entry].peers[peer] = {m_now, m_now};
    m_entries[entry].lookup->OnUp(m_entries[peer].name, m_entries[peer].name,
                                  m_now);
    ExchangeSoon(entry);
  }
}

void OriginFleet::Disconnect(size_t entry, size_t peer) {
  Entry& at = m_entries[entry];
  if (at.peers.erase(peer) == 0) return;
  at.lookup->OnDown(m_entries[peer].name, m_now);
  at.responder->OnDown(m_entries[peer].name);
  ExchangeSoon(entry);
}

size_t OriginFleet::HandshakeBytes(const Entry& entry) {
  wire::HelloT hello;
  hello.fleet = "fleet";
  hello.host = entry.name;
  hello.data_centre = DataCentreNameOf(m_by_name.at(entry.name));
  hello.http_address = entry.name;
  hello.address = entry.name;
  hello.challenge.resize(kProofBytes);
  wire::HelloProofT proof;
  proof.proof.resize(kProofBytes);
  return SizeOf(peers::MakeFrame(std::move(hello))) +
         SizeOf(peers::MakeFrame(std::move(proof)));
}

void OriginFleet::ExchangeSoon(size_t entry) {
  if (std::exchange(m_entries[entry].exchange_due, true)) return;
  In(0s, [this, entry] { Exchange(entry); });
}

void OriginFleet::TakeLearned(Entry& entry) {
  for (const origins::StreamKey stream : entry.origins->TakeLearned()) {
    entry.lookup->OnLearned(stream, m_now);
    entry.responder->OnLearned(stream, m_now);
  }
}

void OriginFleet::Exchange(size_t entry) {
  Entry& at = m_entries[entry];
  at.exchange_due = false;
  if (!at.alive) return;
  TakeLearned(at);
  for (const std::string& address : at.lookup->TakeDials()) {
    const size_t to = m_by_name.at(address);
    at.dialled[to] = m_now;
    Dial(entry, to);
  }
  for (origins::OriginQuestion& question : at.lookup->TakeQuestions(m_now)) {
    const size_t to = m_by_name.at(question.to);
    if (at.dialled.contains(to)) at.dialled[to] = m_now;
    wire::OriginQuestionT frame;
    frame.streams = std::move(question.streams);
    Send(OriginTraffic::kQuestions, entry, to,
         peers::MakeFrame(std::move(frame)));
  }
  at.lookup->OnTimer(m_now);
  at.responder->OnTimer(m_now);
  SendAnswers(entry);
  for (const origins::EndedLookup& ended : at.lookup->TakeEnded())
    m_totals.ended[ended.outcome].push_back(ended.took);
  const Instant next =
      std::min(at.lookup->NextTimer(), at.responder->NextTimer());
  if (next != Instant::max()) At(next, [this, entry] { ExchangeSoon(entry); });
}

void OriginFleet::SendAnswers(size_t entry) {
  for (auto& [host, answer] : m_entries[entry].responder->TakeAnswers(m_now)) {
    wire::OriginAnswerT frame;
    frame.origins = std::move(answer.known);
    frame.unclear = std::move(answer.unclear);
    frame.missing = std::move(answer.missing);
    frame.starting = answer.starting;
    Send(OriginTraffic::kAnswers, entry, m_by_name.at(host),
         peers::MakeFrame(std::move(frame)));
  }
}

void OriginFleet::CheckConnections() {
  for (size_t i = 0; i < m_entries.size(); ++i)
    if (m_entries[i].alive) CheckConnectionsOf(i);
  In(kCheckInterval, [this] { CheckConnections(); });
}

void OriginFleet::CheckConnectionsOf(size_t entry) {
  Entry& at = m_entries[entry];
  std::set<size_t> lost;
  for (auto& [peer, connection] : at.peers) {
    if (m_now - connection.last_received > kSilenceTimeout) lost.insert(peer);
    if (m_now - connection.last_sent <= kKeepAliveAfter) continue;
    connection.last_sent = m_now;
    Count(OriginTraffic::kKeepAlives, kKeepAliveBytes, entry);
    const auto other = m_entries[peer].peers.find(entry);
    if (!IsInReach(entry, peer) || other == m_entries[peer].peers.end())
      continue;
    other->second.last_received = m_now;
    m_totals.bytes_of_entry[peer] += kKeepAliveBytes;
    ++m_totals.frames_of_entry[peer];
  }
  for (const size_t peer : lost) Disconnect(entry, peer);
  std::erase_if(at.dialled, [&](const auto& item) {
    const auto& [peer, last_asked] = item;
    const bool idle = m_now - last_asked >= kIdleTime;
    if (idle) {
      Disconnect(entry, peer);
      if (IsInReach(entry, peer)) Disconnect(peer, entry);
    }
    return idle;
  });
}

void OriginFleet::Fail(size_t entry) {
  Entry& at = m_entries[entry];
  at.alive = false;
  const uint64_t run = ++at.run;
  In(kSilenceTimeout, [this, entry, run] {
    if (m_entries[entry].run != run) return;
    m_known_to_control.erase(entry);
  });
}

void OriginFleet::Start(size_t entry) {
  Entry& at = m_entries[entry];
  for (const auto& [peer, connection] : std::exchange(at.peers, {}))
    Disconnect(peer, entry);
  at.alive = true;
  ++at.run;
  at.dialling.clear();
  at.dialled.clear();
  at.askable.clear();
  at.origins = std::make_unique<origins::StreamOrigins>();
  at.lookup = std::make_unique<origins::OriginLookup>();
  at.responder = std::make_unique<origins::OriginResponder>(*at.origins, m_now);
  m_known_to_control.insert(entry);
}

void OriginFleet::CutOff(size_t data_centre) {
  m_cut_off.insert(data_centre);
  In(kSilenceTimeout, [this, data_centre] {
    std::erase_if(m_known_to_control, [&](size_t entry) {
      return DataCentreOf(entry) == data_centre;
    });
  });
}

void OriginFleet::NameAskable() {
  origins::EntryAddresses known;
  for (const size_t entry : m_known_to_control)
    known[DataCentreNameOf(entry)].push_back(m_entries[entry].name);
  for (size_t i = 0; i < m_entries.size(); ++i)
    if (m_entries[i].alive && !m_cut_off.contains(DataCentreOf(i)))
      NameAskableTo(i, known);
  In(kBeatInterval, [this] { NameAskable(); });
}

void OriginFleet::NameAskableTo(size_t entry,
                                const origins::EntryAddresses& known) {
  Entry& at = m_entries[entry];
  auto askable = origins::AskableFor(at.name, DataCentreNameOf(entry), known);
  if (askable == at.askable) return;
  at.askable = std::move(askable);
  wire::LeaderBeatT beat;
  const size_t bytes_without = SizeOf(peers::MakeFrame(wire::LeaderBeatT()));
  beat.distant = std::make_unique<wire::DistantEntriesT>();
  for (const origins::DistantEntry& other : at.askable) {
    beat.distant->entries.push_back(std::make_unique<wire::DistantEntryT>());
    beat.distant->entries.back()->address = other.address;
    beat.distant->entries.back()->data_centre = other.data_centre;
  }
  const size_t bytes = SizeOf(peers::MakeFrame(std::move(beat)));
  Count(OriginTraffic::kNaming, bytes - bytes_without, entry);
  at.lookup->SetEntries(at.askable);
  for (const auto& [peer, connection] : at.peers)
    at.lookup->OnUp(m_entries[peer].name, m_entries[peer].name, m_now);
  ExchangeSoon(entry);
}

OriginFleetTotals OriginFleet::TakeTotals() {
  OriginFleetTotals totals = std::exchange(m_totals, {});
  m_totals.bytes_of_entry.resize(m_entries.size());
  m_totals.frames_of_entry.resize(m_entries.size());
  return totals;
}

}  // namespace dotterelshift::testing
