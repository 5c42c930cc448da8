#include "UnitTests/Coordination/Placement/AdmissionFixture.h"

#include <map>
#include <set>

using namespace auburnroute;
using namespace auburnroute::forwarding;
using namespace auburnroute::health;
using namespace auburnroute::placement;
using namespace std::chrono_literals;
using state::Cause;

BOOST_FIXTURE_TEST_SUITE(AdmissionControllerTest, AdmissionFixture)

// Guards against new flows on a server after its drain is known (R6), from
// each of the three sources.
BOOST_AUTO_TEST_CASE(DrainFromSettingsHostListAndReport) {
  addServers(4);
  apply();
  counter().BackendServers[0].Mode = state::BackendServerMode::Draining;
  apply();
  Controller.onLeaving(Clock.now(), {1});
  LoadReport draining;
  draining.Service = "counter";
  draining.Mode = state::BackendServerMode::Draining;
  Controller.onLoadReport(Clock.now(), 2, draining);
  BOOST_TEST(eventCount(Cause::BackendServerDraining) == 3);
  for (int i = 0; i < 50; ++i) {
    const auto key = newKey(i % 2 == 0 ? RequestAddress : FeedAddress);
    BOOST_TEST(numberOf(syn(key)) == 4);
    finish(key);
  }
  Controller.onLeaving(Clock.now(), {1, 3});
  BOOST_TEST((causeOf(syn()) == Cause::NoBackendServer));
}

// Guards against a repeated SYN that reaches a server after its drain.
BOOST_AUTO_TEST_CASE(RepeatedSynLeavesADrainingServer) {
  addServers(2);
  apply();
  const auto key = newKey();
  const auto first = numberOf(syn(key));
  Controller.onLeaving(Clock.now(), {static_cast<std::uint32_t>(first - 1)});
  Clock.advance(1s);
  BOOST_TEST(numberOf(syn(key)) == 3 - first);
  BOOST_TEST(requests(0) + requests(1) == 1);
}

// Guards against two placements of one flow: a repeated SYN is neither placed
// elsewhere nor counted or held twice.
BOOST_AUTO_TEST_CASE(RepeatedSynKeepsItsDecision) {
  addServers(2, 1);
  apply();
  const auto placed = newKey();
  const auto number = numberOf(syn(placed));
  syn();
  const auto held = newKey();
  BOOST_TEST(isHeld(syn(held)));
  for (int i = 0; i < 3; ++i) {
    Clock.advance(100ms);
    BOOST_TEST(numberOf(syn(placed)) == number);
    BOOST_TEST(isHeld(syn(held)));
  }
  BOOST_TEST(requests(0) + requests(1) == 2);
  BOOST_TEST(Controller.held(0) == 1);
}

// Guards against a reused port that counts as the flow before it for ever.
BOOST_AUTO_TEST_CASE(LateRepeatedSynIsANewFlow) {
  addServers(2);
  apply();
  const auto key = newKey(FeedAddress);
  syn(key);
  syn(newKey(FeedAddress));
  Clock.advance(AdmissionController::SynRepeatWindow);
  BOOST_TEST(numberOf(syn(key)) != 0);
  BOOST_TEST(feeds(0) + feeds(1) == 2);
}

// Guards against a queue that is unbounded, unordered or without a deadline.
BOOST_AUTO_TEST_CASE(QueueIsBoundedInSizeAndTime) {
  addServers(1, 1);
  policy().QueueLimit = 2;
  policy().QueueTimeout = 800ms;
  apply();
  const auto first = newKey();
  const auto second = newKey();
  const auto third = newKey();
  BOOST_TEST(numberOf(syn(first)) == 1);
  BOOST_TEST(isHeld(syn(second)));
  Clock.advance(100ms);
  BOOST_TEST(isHeld(syn(third)));
  BOOST_TEST((causeOf(syn()) == Cause::QueueFull));
  BOOST_TEST(poll().empty());
  finish(first);
  auto released = poll();
  BOOST_REQUIRE(released.size() == 1);
  BOOST_TEST((released[0].Key == second));
  BOOST_TEST(numberOf(released[0].Decision) == 1);
  Clock.advance(800ms);
  released = poll();
  BOOST_REQUIRE(released.size() == 1);
  BOOST_TEST((released[0].Key == third));
  BOOST_TEST((causeOf(released[0].Decision) == Cause::QueueTimeout));
  const auto events = Controller.takeEvents();
  BOOST_REQUIRE(events.size() == 2);
  BOOST_TEST((events[0].Why == Cause::QueueFull));
  BOOST_TEST((events[1].Why == Cause::QueueTimeout));
  BOOST_TEST(events[1].Service == "counter");
}

// Guards against stale placements by a host that was paused for 30 s.
BOOST_AUTO_TEST_CASE(WokenControllerRefusesWhatExpired) {
  addServers(1, 1);
  apply();
  const auto first = newKey();
  syn(first);
  std::set<std::uint16_t> waiting;
  for (int i = 0; i < 5; ++i) {
    const auto key = newKey();
    waiting.insert(key.Caller.Port);
    syn(key);
  }
  Clock.advance(30s);
  finish(first);
  const auto fresh = newKey();
  BOOST_TEST(numberOf(syn(fresh)) == 1);
  const auto released = poll();
  BOOST_TEST(released.size() == 5);
  for (const auto &it : released) {
    BOOST_TEST((causeOf(it.Decision) == Cause::QueueTimeout));
    BOOST_TEST(waiting.erase(it.Key.Caller.Port) == 1);
  }
  BOOST_TEST(Controller.held(0) == 0);
}

// Guards against a flow that is refused and placed: its deadline passed, and
// its SYN is repeated before poll() tells of the refusal.
BOOST_AUTO_TEST_CASE(RepeatedSynAfterItsDeadlineIsRefusedOnce) {
  addServers(1, 1);
  apply();
  const auto first = newKey();
  const auto held = newKey();
  syn(first);
  syn(held);
  Clock.advance(policy().QueueTimeout);
  finish(first);
  BOOST_TEST(isHeld(syn(held)));
  BOOST_TEST(poll().size() == 1);
  BOOST_TEST(requests(0) == 0);
  BOOST_TEST(numberOf(syn(held)) == 1);
}

// Guards against a new SYN that overtakes those that wait.
BOOST_AUTO_TEST_CASE(NewSynDoesNotPassTheQueue) {
  addServers(1, 1);
  apply();
  const auto first = newKey();
  const auto second = newKey();
  syn(first);
  syn(second);
  finish(first);
  BOOST_TEST(isHeld(syn()));
  const auto released = poll();
  BOOST_REQUIRE(released.size() == 1);
  BOOST_TEST((released[0].Key == second));
}

// Guards against health that lies: servers that all say "shedding" while they
// serve must not leave the service without a server.
BOOST_AUTO_TEST_CASE(FloorUsesAllServersIfTooManyAreEjected) {
  addServers(10, 1);
  apply();
  LoadReport shedding;
  shedding.Service = "counter";
  shedding.Shedding = true;
  for (std::uint32_t id = 0; id < 3; ++id)
    Controller.onLoadReport(Clock.now(), id, shedding);
  for (int i = 0; i < 7; ++i)
    BOOST_TEST(numberOf(syn()) > 3);
  BOOST_TEST(isHeld(syn())); // 3 of 10 are within the share
  for (std::uint32_t id = 3; id < 10; ++id)
    Controller.onLoadReport(Clock.now(), id, shedding);
  BOOST_TEST(poll().size() == 1);
  for (int i = 0; i < 2; ++i)
    BOOST_TEST(numberOf(syn()) != 0);
  BOOST_TEST(eventCount(Cause::BackendServerEjected) == 10);
}

// Guards against the floor bringing back a draining or moved server.
BOOST_AUTO_TEST_CASE(FloorNeverUsesDrainingOrMovedServers) {
  addServers(3, 100);
  apply();
  Controller.onLeaving(Clock.now(), {0});
  LoadReport moved;
  moved.Service = "catalogue";
  Controller.onLoadReport(Clock.now(), 1, moved);
  BOOST_TEST(eventCount(Cause::BackendServerMoved) == 1);
  for (int i = 0; i < 3; ++i)
    Controller.onReportFailure(Clock.now(), 2);
  BOOST_TEST((health(2) == HealthState::Ejected));
  for (int i = 0; i < 50; ++i)
    BOOST_TEST(numberOf(syn()) == 3);
}

// Guards against callers that are sent again and again to a server that resets
// every SYN: at most ejectAfter refusals before it is left alone.
BOOST_AUTO_TEST_CASE(ServerThatResetsSynsIsEjected) {
  addServers(4);
  apply();
  int refused = 0;
  for (int i = 0; i < 2000; ++i) {
    const auto key = newKey();
    const bool toFirst = numberOf(syn(key)) == 1;
    refused += toFirst;
    Clock.advance(2ms);
    finish(key, toFirst ? FinishKind::SynRefused : FinishKind::Ended);
  }
  BOOST_TEST(refused == 3);
  BOOST_TEST(eventCount(Cause::BackendServerRefused) == 3);
}

// Guards against lost counts and lost SYNs when ids change with a revision.
BOOST_AUTO_TEST_CASE(SettingsChangeKeepsCountsAndHeldSyns) {
  addServers(3, 1);
  apply();
  std::map<int, FlowKey> placed;
  for (int i = 0; i < 3; ++i) {
    const auto key = newKey();
    placed[numberOf(syn(key))] = key;
  }
  const auto held = newKey();
  BOOST_TEST(isHeld(syn(held)));
  // Server 1 leaves, server 3 gets a lower id and another number.
  counter().BackendServers.erase(counter().BackendServers.begin());
  counter().BackendServers[1].Number = 1;
  apply();
  BOOST_TEST(requests(0) == 1);
  BOOST_TEST(requests(1) == 1);
  BOOST_TEST(poll().empty());
  finish(placed[1]); // unknown by now
  BOOST_TEST(poll().empty());
  finish(placed[3]);
  BOOST_TEST(requests(0) == 0);
  const auto released = poll();
  BOOST_REQUIRE(released.size() == 1);
  BOOST_TEST((released[0].Key == held));
  BOOST_TEST(numberOf(released[0].Decision) == 1);
}

// Guards against held SYNs that stay with the daemon for ever when their
// service is gone.
BOOST_AUTO_TEST_CASE(HeldSynOfARemovedListenerIsRefused) {
  addServers(1, 1);
  apply();
  syn();
  syn();
  counter().Listeners.pop_back();
  apply();
  const auto released = poll();
  BOOST_REQUIRE(released.size() == 1);
  BOOST_TEST((causeOf(released[0].Decision) == Cause::UnknownAddress));
}

// Guards against a process that ends because a caller repeats the SYN of a
// placed flow after its listener was removed.
BOOST_AUTO_TEST_CASE(RepeatedSynOfARemovedListenerIsRefused) {
  addServers(1);
  apply();
  const auto key = newKey();
  syn(key);
  counter().Listeners.pop_back();
  apply();
  BOOST_TEST((causeOf(syn(key)) == Cause::UnknownAddress));
  BOOST_TEST(requests(0) == 0);
}

// Guards against full load on a server that has just been added.
BOOST_AUTO_TEST_CASE(AddedServerStartsSlowly) {
  addServers(2, 4);
  apply();
  BOOST_TEST((health(0) == HealthState::Healthy));
  addServer(4);
  apply();
  BOOST_TEST((health(0) == HealthState::Healthy));
  BOOST_TEST((health(2) == HealthState::Starting));
  for (int i = 0; i < 9; ++i)
    syn();
  BOOST_TEST(requests(2) == 1);
  BOOST_TEST(isHeld(syn()));
  Clock.advance(policy().SlowStart);
  for (int i = 0; i < 3; ++i)
    BOOST_TEST(numberOf(syn()) == 3);
  BOOST_TEST(requests(2) == 4);
}

// Guards against feeds that pile up on one server or exceed its connections.
BOOST_AUTO_TEST_CASE(FeedsFollowWeightAndConnectionLimit) {
  addServers(3, 1);
  counter().BackendServers[1].Weight = 2;
  for (auto &it : counter().BackendServers)
    it.Connections = 60;
  apply();
  for (int i = 0; i < 80; ++i)
    syn(newKey(FeedAddress));
  BOOST_TEST(feeds(0) == 20);
  BOOST_TEST(feeds(1) == 40);
  BOOST_TEST(feeds(2) == 20);
  BOOST_TEST(numberOf(syn()) != 0); // feeds take no slot
  for (int i = 0; i < 99; ++i)
    syn(newKey(FeedAddress));
  BOOST_TEST((causeOf(syn(newKey(FeedAddress))) == Cause::ConnectionLimit));
  BOOST_TEST((causeOf(syn()) == Cause::ConnectionLimit));
}

// Guards against flows in other zones while the own zone can take them, and
// against none when it cannot.
BOOST_AUTO_TEST_CASE(OtherZonesAreUsedOnlyForFailover) {
  addServers(2, 1, "sando");
  addServers(6, 1, "couva");
  apply();
  BOOST_TEST(numberOf(syn()) <= 2);
  BOOST_TEST(numberOf(syn()) <= 2);
  BOOST_TEST(isHeld(syn()));
  Controller.onLeaving(Clock.now(), {0, 1});
  const auto released = poll();
  BOOST_REQUIRE(released.size() == 1);
  BOOST_TEST(numberOf(released[0].Decision) > 2);
  policy().Zones = state::ZoneMode::Local;
  apply();
  BOOST_TEST((causeOf(syn()) == Cause::NoBackendServer));
}

// Guards against SYNs lost by a graceful stop.
BOOST_AUTO_TEST_CASE(HeldSynsCanBeTaken) {
  addServers(1, 1);
  apply();
  syn();
  const auto held = newKey();
  syn(held);
  const auto taken = Controller.takeHeld();
  BOOST_REQUIRE(taken.size() == 1);
  BOOST_TEST((taken[0].Key == held));
  BOOST_TEST(Controller.held(0) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
