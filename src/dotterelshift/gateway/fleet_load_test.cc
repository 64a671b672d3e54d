#include "dotterelshift/gateway/fleet_load.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <algorithm>  // for min

#include "dotterelshift/directory/spread.h"  // for PulseKey

namespace dotterelshift::gateway {
namespace {

constexpr Tokens kLong = 15'000;

EndpointKey KeyOf(const EndpointId& id) { return directory::PulseKey(id, 1); }

class FleetLoadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetLoadTest);
  CPPUNIT_TEST(LongPromptsAreQueuedSequentially);
  CPPUNIT_TEST(UpdatesOfOtherEntriesCountAsLoad);
  CPPUNIT_TEST(CachedSegmentsAttractRequestsUntilTheirEndpointIsBusy);
  CPPUNIT_TEST(RequestsOfALostEntryAreRemoved);
  CPPUNIT_TEST(BatchedUpdatesAreSummedAndSegmentsDroppedFirst);
  CPPUNIT_TEST(RepeatedlyFailingEndpointIsAvoidedForAWhile);
  CPPUNIT_TEST(ChangedPathEndsTheAvoidanceAndKeepsTheCache);
  CPPUNIT_TEST(EndpointThatGoesOnRefusingIsAskedLessOften);
  CPPUNIT_TEST(EndpointThatServesSomeIsAskedForLittleMore);
  CPPUNIT_TEST(EndpointThatRefusesIsChosenLastByAllEntries);
  CPPUNIT_TEST(EndpointThatDoesNotEndResponsesIsChosenLastByAllEntries);
  CPPUNIT_TEST(EndpointsThatDoNotEndResponsesAreUsedIfThereAreNoOthers);
  CPPUNIT_TEST(EndpointWithARefusalLimitGetsNothingBeyondItsSlots);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_directory = directory::Directory();
    for (const char* id : {"a", "b"}) Announce(id);
    Routes routes;
    Service service;
    service.name = "llm";
    service.engine = EngineCapacity{48, 400'000, 6};
    routes.services.push_back(service);
    m_load.emplace(FleetLoadOptions{"dc"});
    m_load->OnDirectory(m_directory);
    m_load->OnRoutes(RouteTable(routes));
  }

 private:
  void Announce(const EndpointId& id) {
    wire::EndpointRecordT record;
    record.id = id;
    record.incarnation = 1;
    record.sequence = 1;
    record.address = record.id + ":80";
    record.data_centre = "dc";
    record.services = {"llm"};
    record.slots = 48;
    m_directory.OnRecord(record, m_now);
  }

  static Prompt PromptOf(Tokens tokens, uint64_t shared = 0) {
    Prompt prompt;
    prompt.prompt_tokens = tokens;
    if (shared != 0) prompt.parts = {{shared, tokens}};
    return prompt;
  }

  Placement Give(const Prompt& prompt) {
    const auto placement = m_load->Choose("llm", prompt, {}, m_now);
    CPPUNIT_ASSERT(placement.has_value());
    m_load->OnAssigned(*placement, prompt, m_now);
    return *placement;
  }

  // Three long prompts arrive at once for two endpoints; no two are prefilled
  // at the same time.
  void LongPromptsAreQueuedSequentially() {
    const Placement first = Give(PromptOf(kLong));
    const Placement second = Give(PromptOf(kLong));
    const Placement third = Give(PromptOf(kLong));
    CPPUNIT_ASSERT(first.endpoint != second.endpoint);
    CPPUNIT_ASSERT(first.wait == 0s && second.wait == 0s);
    CPPUNIT_ASSERT(third.wait == first.read);
  }

  void UpdatesOfOtherEntriesCountAsLoad() {
    wire::LoadNotesT notes;
    notes.notes.emplace_back(KeyOf("a"), 7, kLong, kLong, 1);
    m_load->OnLoadUpdates("other", notes, m_now);
    CPPUNIT_ASSERT_EQUAL(uint32_t{1}, m_load->Running(KeyOf("a")));
    CPPUNIT_ASSERT_EQUAL(KeyOf("b"), Give(PromptOf(kLong)).endpoint);
    // The segment that the other entry had prefilled there is not prefilled
    // again.
    m_now += 1s;
    const Placement placement = Give(PromptOf(kLong, 7));
    CPPUNIT_ASSERT_EQUAL(KeyOf("a"), placement.endpoint);
    CPPUNIT_ASSERT_EQUAL(Tokens{0}, placement.tokens_to_prefill);
  }

  void CachedSegmentsAttractRequestsUntilTheirEndpointIsBusy() {
    const EndpointKey owner = Give(PromptOf(kLong, 9)).endpoint;
    m_now += 1s;
    CPPUNIT_ASSERT_EQUAL(owner, Give(PromptOf(kLong, 9)).endpoint);
    // Behind three other long prompts, the endpoint with the cached segment is
    // the slower choice.
    wire::LoadNotesT notes;
    for (int i = 0; i < 3; ++i) notes.notes.emplace_back(owner, 0, kLong, 0, 1);
    m_load->OnLoadUpdates("other", notes, m_now);
    CPPUNIT_ASSERT(owner != Give(PromptOf(kLong, 9)).endpoint);
  }

  void RequestsOfALostEntryAreRemoved() {
    wire::LoadNotesT notes;
    notes.notes.emplace_back(KeyOf("a"), 0, 0, 0, 1);
    notes.notes.emplace_back(KeyOf("a"), 0, 0, 0, 1);
    m_load->OnLoadUpdates("other", notes, m_now);
    m_load->OnEntryGone("other");
    CPPUNIT_ASSERT_EQUAL(uint32_t{0}, m_load->Running(KeyOf("a")));
    // A late end of such a request is not subtracted from other requests.
    wire::LoadNotesT late;
    late.notes.emplace_back(KeyOf("a"), 0, 0, 0, -1);
    m_load->OnLoadUpdates("other", late, m_now);
    CPPUNIT_ASSERT_EQUAL(uint32_t{0}, m_load->Running(KeyOf("a")));
  }

  // Guards against request counts at other entries that stay wrong because
  // updates were dropped from a batch.
  void BatchedUpdatesAreSummedAndSegmentsDroppedFirst() {
    std::vector<EndpointKey> given;
    for (uint64_t part = 1; part <= 6; ++part)
      given.push_back(Give(PromptOf(kLong, part)).endpoint);
    m_load->OnEnded(given.front());
    const std::vector<wire::LoadNote> notes = m_load->TakeLoadUpdates(3);
    CPPUNIT_ASSERT(notes.size() <= 3);
    int requests = 0;
    Tokens tokens = 0;
    for (const wire::LoadNote& note : notes) {
      requests += note.requests();
      tokens += note.prompt_tokens();
    }
    CPPUNIT_ASSERT_EQUAL(5, requests);
    CPPUNIT_ASSERT_EQUAL(6 * kLong, tokens);
    CPPUNIT_ASSERT(m_load->TakeLoadUpdates().empty());
    // A request that began and ended since the last batch needs no update.
    m_load->OnEnded(Give(PromptOf(0)).endpoint);
    CPPUNIT_ASSERT(m_load->TakeLoadUpdates().empty());
  }

  void RepeatedlyFailingEndpointIsAvoidedForAWhile() {
    const EndpointKey bad = KeyOf("a");
    m_load->OnFailed(bad, m_now);
    m_load->OnFailed(bad, m_now);
    for (int i = 0; i < 5; ++i)
      CPPUNIT_ASSERT_EQUAL(KeyOf("b"), Give(PromptOf(100)).endpoint);
    m_now += FleetLoadOptions().max_avoid_time;
    CPPUNIT_ASSERT_EQUAL(bad, Give(PromptOf(100)).endpoint);
    m_load->OnUnreachable(KeyOf("a"), m_now);
    m_load->OnUnreachable(KeyOf("b"), m_now);
    CPPUNIT_ASSERT(!m_load->HasEndpoint("llm", m_now));
  }

  void ChangedPathEndsTheAvoidanceAndKeepsTheCache() {
    const EndpointKey owner = Give(PromptOf(kLong, 9)).endpoint;
    m_now += 1s;
    m_load->OnUnreachable(owner, m_now);
    CPPUNIT_ASSERT(m_load->AvoidedFor(owner, m_now) > 0s);
    m_load->OnPathChanged(owner);
    CPPUNIT_ASSERT(m_load->AvoidedFor(owner, m_now) == 0s);
    const Placement placement = Give(PromptOf(kLong, 9));
    CPPUNIT_ASSERT_EQUAL(owner, placement.endpoint);
    CPPUNIT_ASSERT_EQUAL(Tokens{0}, placement.tokens_to_prefill);
  }

  // It has the least load of all, as it runs next to nothing.
  void EndpointThatGoesOnRefusingIsAskedLessOften() {
    const EndpointKey refusing = KeyOf("a");
    int refused = 0;
    for (int i = 0; i < 1000; ++i) {
      const EndpointKey chosen = Give(PromptOf(100)).endpoint;
      if (chosen == refusing) {
        m_load->OnOverloaded(refusing, m_now);
        ++refused;
      } else {
        m_load->OnSucceeded(chosen, m_now);
      }
      m_load->OnEnded(chosen);
      m_now += 10ms;
    }
    CPPUNIT_ASSERT(refused >= 2 && refused <= 10);
    // It is still used if there is no other one.
    m_load->OnOverloaded(refusing, m_now);
    m_now += FleetLoadOptions().full_for;
    const ChoiceLimits alone = {.excluded = {KeyOf("b")}};
    CPPUNIT_ASSERT(m_load->Choose("llm", PromptOf(100), alone, m_now));
    CPPUNIT_ASSERT_EQUAL(KeyOf("b"), Give(PromptOf(100)).endpoint);
    // Or if the others would respond much later.
    const Duration longest = FleetLoadOptions().max_last_choice_time;
    while (PlacementAt("b").wait < longest) {
      const Placement placement = PlacementAt("b");
      m_load->OnAssigned(placement, PromptOf(kLong), m_now);
    }
    CPPUNIT_ASSERT_EQUAL(refusing, Give(PromptOf(100)).endpoint);
  }

  // It serves three requests in a second, and refuses all others.
  void EndpointThatServesSomeIsAskedForLittleMore() {
    const EndpointKey refusing = KeyOf("a");
    std::vector<Instant> served;
    int refused = 0;
    for (const Instant end = m_now + 60s; m_now < end; m_now += 50ms) {
      const EndpointKey chosen = Give(PromptOf(100)).endpoint;
      std::erase_if(served, [this](Instant at) { return m_now - at >= 1s; });
      if (chosen == refusing && served.size() >= 3) {
        m_load->OnOverloaded(refusing, m_now);
        ++refused;
      } else {
        m_load->OnSucceeded(chosen, m_now);
        if (chosen == refusing) served.push_back(m_now);
      }
      m_load->OnEnded(chosen);
    }
    CPPUNIT_ASSERT(refused <= 60 / 2);
    // It recovers.
    m_now += FleetLoadOptions().max_last_choice_time;
    for (int i = 0; i < 1000; ++i, m_now += 50ms)
      m_load->OnSucceeded(refusing, m_now);
    m_load->OnOverloaded(refusing, m_now);
    ExpectChosenLast(*m_load, FleetLoadOptions().min_last_choice_time);
  }

  // Each entry of a large fleet would otherwise be refused itself, again and
  // again, before it knows.
  void EndpointThatRefusesIsChosenLastByAllEntries() {
    const EndpointKey refusing = KeyOf("a");
    FleetLoad other(FleetLoadOptions{"dc"});
    other.OnDirectory(m_directory);
    m_load->OnOverloaded(refusing, m_now);
    CPPUNIT_ASSERT(m_load->HasLoadUpdates());
    Tell(m_load->TakeTroubleChanges(m_now), other);
    CPPUNIT_ASSERT(!m_load->HasLoadUpdates());
    ExpectChosenLast(other, FleetLoadOptions().min_last_choice_time);
    // The next time is doubled, whoever is refused.
    other.OnOverloaded(refusing, m_now);
    Tell(other.TakeTroubleChanges(m_now), *m_load);
    ExpectChosenLast(*m_load, 2 * FleetLoadOptions().min_last_choice_time);
    // One that starts later is told as well.
    other.OnOverloaded(refusing, m_now);
    FleetLoad late(FleetLoadOptions{"dc"});
    late.OnDirectory(m_directory);
    Tell(other.Troubles(m_now), late);
    ExpectChosenLast(late, 4 * FleetLoadOptions().min_last_choice_time);
    // Two have been served in the end, and it is taken for less in need.
    m_now += 4 * FleetLoadOptions().min_last_choice_time;
    for (int i = 0; i < 2; ++i) other.OnSucceeded(refusing, m_now);
    Tell(other.TakeTroubleChanges(m_now), late);
    late.OnOverloaded(refusing, m_now);
    ExpectChosenLast(late, FleetLoadOptions().min_last_choice_time);
    late.OnOverloaded(refusing, m_now);
    ExpectChosenLast(late, 2 * FleetLoadOptions().min_last_choice_time);
  }

  void EndpointThatDoesNotEndResponsesIsChosenLastByAllEntries() {
    FleetLoad other(FleetLoadOptions{"dc"});
    other.OnDirectory(m_directory);
    m_load->OnEndlessResponse(KeyOf("a"), m_now);
    Tell(m_load->TakeTroubleChanges(m_now), other);
    ExpectChosenLast(other, FleetLoadOptions().max_last_choice_time);
  }

  // Each endpoint fails a few requests: the others are served.
  void EndpointsThatDoNotEndResponsesAreUsedIfThereAreNoOthers() {
    const Instant start = m_now;
    m_load->OnEndlessResponse(KeyOf("a"), m_now);
    ExpectChosenLast(*m_load, FleetLoadOptions().max_last_choice_time);
    m_now = start;
    m_load->OnEndlessResponse(KeyOf("b"), m_now);
    CPPUNIT_ASSERT(m_load->Choose("llm", PromptOf(100), {}, m_now));
  }

  void EndpointWithARefusalLimitGetsNothingBeyondItsSlots() {
    for (const char* id : {"a", "b"}) m_load->SetRefusalLimit(KeyOf(id), 10);
    for (int i = 0; i < 2 * 48; ++i) Give(PromptOf(0));
    CPPUNIT_ASSERT(!m_load->Choose("llm", PromptOf(0), {}, m_now));
    m_load->SetRefusalLimit(KeyOf("a"), std::nullopt);
    CPPUNIT_ASSERT_EQUAL(KeyOf("a"), Give(PromptOf(0)).endpoint);
  }

  Placement PlacementAt(const EndpointId& id) const {
    const ChoiceLimits others = {.excluded = {KeyOf(id == "a" ? "b" : "a")}};
    return *m_load->Choose("llm", PromptOf(kLong), others, m_now);
  }

  void Tell(std::vector<wire::TroubleNote> troubles, FleetLoad& other) const {
    wire::LoadNotesT notes;
    notes.troubles = std::move(troubles);
    other.OnLoadUpdates("entry", notes, m_now);
  }

  // Endpoint a is chosen last for that long, and not longer.
  void ExpectChosenLast(const FleetLoad& load, Duration time) {
    const auto chosen = [&load](Instant at) {
      return load.Choose("llm", PromptOf(100), {}, at)->endpoint;
    };
    CPPUNIT_ASSERT_EQUAL(KeyOf("b"), chosen(m_now));
    const ChoiceLimits alone = {.excluded = {KeyOf("b")}};
    CPPUNIT_ASSERT(load.Choose("llm", PromptOf(100), alone, m_now + time / 2));
    m_now += time;
    CPPUNIT_ASSERT_EQUAL(KeyOf("b"), chosen(m_now - 1ms));
    CPPUNIT_ASSERT_EQUAL(std::min(KeyOf("a"), KeyOf("b")), chosen(m_now));
  }

  Instant m_now{1000s};
  directory::Directory m_directory;
  std::optional<FleetLoad> m_load;
};
CPPUNIT_TEST_SUITE_REGISTRATION(FleetLoadTest);

}  // namespace
}  // namespace dotterelshift::gateway
