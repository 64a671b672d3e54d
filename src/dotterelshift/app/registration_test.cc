#include "dotterelshift/app/registration.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <memory>    // for make_unique
#include <optional>  // for optional

#include "dotterelshift/base/error.h"             // for ErrorKind
#include "dotterelshift/telemetry/log_testing.h"  // for CapturedLog

namespace dotterelshift::app {
namespace {

// Sequence number of the registration command in these tests.
constexpr uint64_t kSequence = 7;

wire::CommandAnswerT AnswerTo(const wire::CommandT& command, ErrorKind error,
                              Incarnation newest) {
  wire::CommandAnswerT answer;
  answer.id = std::make_unique<wire::CommandIdT>(*command.id);
  answer.error = static_cast<uint16_t>(error);
  answer.newest_incarnation = newest;
  return answer;
}

Registration MakeRegistration(bool may_raise) {
  RegistrationOptions options;
  options.self = {"plateau-1", 5};
  options.data_centre = "plateau";
  options.address = "10.0.0.4:7400";
  options.may_raise = may_raise;
  return Registration(std::move(options));
}

class RegistrationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RegistrationTest);
  CPPUNIT_TEST(CommandNamesTheIncarnationAndItsAddress);
  CPPUNIT_TEST(OnlyTheAnswerToTheRegistrationCompletesIt);
  CPPUNIT_TEST(SupersededUnregisteredIncarnationIsRaised);
  CPPUNIT_TEST(SupersededRegisteredIncarnationIsLoggedOnce);
  CPPUNIT_TEST(WithoutRaisingItIsSupersededAtOnce);
  CPPUNIT_TEST(AnswerToTheFormerIncarnationIsIgnored);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { m_log.emplace(telemetry::LogLevel::kWarning); }
  void tearDown() override { m_log.reset(); }

 private:
  void CommandNamesTheIncarnationAndItsAddress() {
    Registration registration = MakeRegistration(false);
    const wire::CommandT command = registration.Command(kSequence);
    CPPUNIT_ASSERT_EQUAL(std::string("plateau-1"), command.id->host);
    CPPUNIT_ASSERT_EQUAL(Incarnation{5}, command.id->incarnation);
    CPPUNIT_ASSERT_EQUAL(kSequence, command.id->sequence);
    const wire::RegisterHostT* host = command.body.AsRegisterHost();
    CPPUNIT_ASSERT(host != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::string("plateau"), host->data_centre);
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.4:7400"), host->address);
    CPPUNIT_ASSERT(host->role == wire::HostRole::Entry);
  }

  void OnlyTheAnswerToTheRegistrationCompletesIt() {
    Registration registration = MakeRegistration(true);
    wire::CommandT command = registration.Command(kSequence);
    command.id->sequence = kSequence + 1;
    CPPUNIT_ASSERT(
        registration.OnAnswer(AnswerTo(command, ErrorKind::kNone, 0)) ==
        IncarnationStatus::kUnchanged);
    CPPUNIT_ASSERT(!registration.Done());
    command.id->sequence = kSequence;
    CPPUNIT_ASSERT(
        registration.OnAnswer(AnswerTo(command, ErrorKind::kNone, 0)) ==
        IncarnationStatus::kRegistered);
    CPPUNIT_ASSERT(registration.Done());
  }

  void SupersededUnregisteredIncarnationIsRaised() {
    Registration registration = MakeRegistration(true);
    const wire::CommandT command = registration.Command(kSequence);
    CPPUNIT_ASSERT(registration.OnAnswer(
                       AnswerTo(command, ErrorKind::kStaleIncarnation, 9)) ==
                   IncarnationStatus::kRaised);
    CPPUNIT_ASSERT_EQUAL(Incarnation{10}, registration.Self().incarnation);
    CPPUNIT_ASSERT_EQUAL(Incarnation{10},
                         registration.Command(kSequence).id->incarnation);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_log->Count("incarnation_raised"));
  }

  // The log is the only place that shows why such a daemon stopped.
  void SupersededRegisteredIncarnationIsLoggedOnce() {
    Registration registration = MakeRegistration(true);
    const wire::CommandT command = registration.Command(kSequence);
    registration.OnAnswer(AnswerTo(command, ErrorKind::kNone, 0));
    for (int i = 0; i < 2; ++i) {
      CPPUNIT_ASSERT(registration.OnAnswer(
                         AnswerTo(command, ErrorKind::kStaleIncarnation, 9)) ==
                     IncarnationStatus::kSuperseded);
    }
    CPPUNIT_ASSERT_EQUAL(Incarnation{5}, registration.Self().incarnation);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_log->Count("stale_incarnation"));
  }

  void WithoutRaisingItIsSupersededAtOnce() {
    Registration registration = MakeRegistration(false);
    const wire::CommandT command = registration.Command(kSequence);
    CPPUNIT_ASSERT(registration.OnAnswer(
                       AnswerTo(command, ErrorKind::kStaleIncarnation, 9)) ==
                   IncarnationStatus::kSuperseded);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_log->Count("stale_incarnation"));
  }

  // Two commands are in flight when the first is refused. The second refusal is
  // for the former incarnation number and must not stop the daemon.
  void AnswerToTheFormerIncarnationIsIgnored() {
    Registration registration = MakeRegistration(true);
    const wire::CommandT first = registration.Command(kSequence);
    registration.OnAnswer(AnswerTo(first, ErrorKind::kStaleIncarnation, 9));
    const wire::CommandT second = registration.Command(kSequence);
    registration.OnAnswer(AnswerTo(second, ErrorKind::kNone, 0));
    CPPUNIT_ASSERT(registration.OnAnswer(
                       AnswerTo(first, ErrorKind::kStaleIncarnation, 9)) ==
                   IncarnationStatus::kUnchanged);
    CPPUNIT_ASSERT(registration.Done());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_log->Count("stale_incarnation"));
  }

  std::optional<telemetry::CapturedLog> m_log;  // while a test runs
};
CPPUNIT_TEST_SUITE_REGISTRATION(RegistrationTest);

}  // namespace
}  // namespace dotterelshift::app
