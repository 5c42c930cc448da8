#include "Coordination/Health/BackendServerHealth.h"

#include "Common/ManualClock.h"

#include <boost/test/unit_test.hpp>

using namespace auburnroute;
using namespace auburnroute::health;
using namespace std::chrono_literals;
using state::BackendServerMode;
using state::Cause;

namespace {

struct HealthFixture {
  common::ManualClock Clock;
  state::ServicePolicy Policy; // ejectAfter 3, ejectFor 5 s, slowStart 10 s
  BackendServerHealth Health;

  LoadReport report(std::string service = "counter") {
    LoadReport it;
    it.Service = std::move(service);
    return it;
  }
  Cause onReport(const LoadReport &it) {
    return Health.onReport(Clock.now(), it, "counter");
  }
  HealthState state() { return Health.state(Clock.now(), Policy); }
  Cause refuseSyns(int n) {
    auto cause = Cause::None;
    for (int i = 0; i < n; ++i)
      cause = Health.onSynRefused(Clock.now(), Policy);
    return cause;
  }
  void serve() {
    Clock.advance(20ms);
    Health.onServed(Clock.now(), 10ms, 2, Policy);
  }
  std::uint32_t usableSlots(std::uint32_t slots = 10) {
    return Health.usableSlots(Clock.now(), slots, Policy);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(BackendServerHealthTest, HealthFixture)

// Guards against a drain that one source starts and another one ends: the
// server must drain until settings, host list and report all have ended it.
BOOST_AUTO_TEST_CASE(DrainLastsUntilAllSourcesEndIt) {
  BOOST_TEST((state() == HealthState::Healthy));
  auto draining = report();
  draining.Mode = BackendServerMode::Draining;
  BOOST_TEST((onReport(draining) == Cause::BackendServerDraining));
  BOOST_TEST((Health.onLeaving(true) == Cause::None));
  BOOST_TEST((Health.onSettings(BackendServerMode::Draining) == Cause::None));
  onReport(report());
  BOOST_TEST((state() == HealthState::Draining));
  Health.onLeaving(false);
  BOOST_TEST((state() == HealthState::Draining));
  Health.onSettings(BackendServerMode::Active);
  BOOST_TEST((state() == HealthState::Healthy));
}

// Guards against a drain that ends because the report can no longer be fetched,
// as happens while the server stops.
BOOST_AUTO_TEST_CASE(ReportedDrainPersistsWhenReportsFail) {
  auto draining = report();
  draining.Mode = BackendServerMode::Draining;
  onReport(draining);
  Clock.advance(1min);
  Health.onReportFailure(Clock.now(), Policy);
  BOOST_TEST((state() == HealthState::Draining));
}

// Guards against flows to a server that now belongs to another service.
BOOST_AUTO_TEST_CASE(WrongServiceNameExcludesTheServer) {
  BOOST_TEST((onReport(report("catalogue")) == Cause::BackendServerMoved));
  BOOST_TEST((onReport(report("catalogue")) == Cause::None));
  BOOST_TEST((state() == HealthState::Ejected));
  Clock.advance(10min);
  BOOST_TEST(Health.isExcluded());
  onReport(report());
  BOOST_TEST(!Health.isExcluded());
  BOOST_TEST((state() == HealthState::Starting));
}

// Guards against ejection by failures that are not consecutive.
BOOST_AUTO_TEST_CASE(OnlyConsecutiveFailuresEject) {
  for (int i = 0; i < 10; ++i) {
    refuseSyns(2);
    serve();
    Health.onReportFailure(Clock.now(), Policy);
    Health.onReportFailure(Clock.now(), Policy);
    onReport(report());
  }
  BOOST_TEST((state() == HealthState::Healthy));
  BOOST_TEST((refuseSyns(3) == Cause::BackendServerEjected));
  BOOST_TEST((state() == HealthState::Ejected));
}

// Guards against a server that stays in use because its reports succeed,
// although it refuses every flow.
BOOST_AUTO_TEST_CASE(GoodReportsDoNotHideRefusedSyns) {
  for (int i = 0; i < 3; ++i) {
    refuseSyns(1);
    onReport(report());
  }
  BOOST_TEST((state() == HealthState::Ejected));
}

// Guards against ejecting a server that serves requests because its report
// cannot be fetched.
BOOST_AUTO_TEST_CASE(ServedRequestsOverrideFailedReports) {
  for (int i = 0; i < 20; ++i) {
    serve();
    BOOST_TEST((Health.onReportFailure(Clock.now(), Policy) == Cause::None));
  }
  BOOST_TEST((state() == HealthState::Healthy));
}

// Guards against a server that refuses SYNs but is not ejected because requests
// that it accepted earlier still end.
BOOST_AUTO_TEST_CASE(OldRequestsDoNotClearRefusals) {
  refuseSyns(2);
  Clock.advance(20ms);
  Health.onServed(Clock.now(), 500ms, 2, Policy);
  BOOST_TEST((refuseSyns(1) == Cause::BackendServerEjected));
}

// Guards against ejection times that grow without bound, or not at all.
BOOST_AUTO_TEST_CASE(EjectionTimeDoublesUpToItsBound) {
  refuseSyns(2);
  for (const auto expected : {5s, 10s, 20s, 40s, 40s, 40s}) {
    BOOST_TEST((refuseSyns(1) == Cause::BackendServerEjected));
    Clock.advance(expected - 1ms);
    BOOST_TEST((state() == HealthState::Ejected));
    Clock.advance(1ms);
    BOOST_TEST((state() == HealthState::Starting));
  }
  Clock.advance(Policy.SlowStart);
  serve();
  refuseSyns(3);
  Clock.advance(5s);
  BOOST_TEST((state() == HealthState::Starting));
}

// Guards against a dead server that gets flows again whenever ejectFor ends.
BOOST_AUTO_TEST_CASE(FailingReportsKeepAServerEjected) {
  int ejections = 0;
  for (int i = 0; i < 60; ++i) {
    ejections += Health.onReportFailure(Clock.now(), Policy) ==
                 Cause::BackendServerEjected;
    Clock.advance(1s);
    BOOST_TEST((i < 2 || state() == HealthState::Ejected));
  }
  BOOST_TEST(ejections == 1);
  onReport(report());
  Clock.advance(5s);
  BOOST_TEST((state() == HealthState::Starting));
}

// Guards against full load on a server that has just started.
BOOST_AUTO_TEST_CASE(SlowStartRampsLinearly) {
  Health.beginSlowStart(Clock.now());
  for (std::uint32_t second = 1; second < 10; ++second) {
    Clock.advance(1s);
    BOOST_TEST(usableSlots() == second);
  }
  Clock.advance(1s);
  BOOST_TEST(usableSlots() == 10);
  BOOST_TEST((state() == HealthState::Healthy));
}

// Guards against a slow start without effect on servers with few slots: below
// one slot, the server must pause between requests.
BOOST_AUTO_TEST_CASE(SlowStartPausesBetweenRequestsBelowOneSlot) {
  Health.beginSlowStart(Clock.now());
  Clock.advance(2500ms);
  BOOST_TEST(usableSlots(2) == 1); // half a slot
  Health.onServed(Clock.now(), 10ms, 2, Policy);
  BOOST_TEST(usableSlots(2) == 0);
  Clock.advance(11ms);
  BOOST_TEST(usableSlots(2) == 1);
}

// Guards against queued flows that all go to a server that refuses SYNs
// immediately: each refusal must start a backoff, twice as long as the last.
BOOST_AUTO_TEST_CASE(RefusedSynsStartABackoff) {
  refuseSyns(1);
  BOOST_TEST(Health.isBackingOff(Clock.now()));
  Clock.advance(BackendServerHealth::InitialBackoff);
  BOOST_TEST(!Health.isBackingOff(Clock.now()));
  refuseSyns(1);
  Clock.advance(BackendServerHealth::InitialBackoff);
  BOOST_TEST(Health.isBackingOff(Clock.now()));
}

BOOST_AUTO_TEST_SUITE_END()
