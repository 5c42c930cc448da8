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

// Guards against new flows to a server after its drain is known, for each of
// the three sources of a drain.
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

// Guards against forwarding a repeated SYN to a server that is draining by now.
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

// Guards against two placements of one flow: a repeated SYN must not be placed
// elsewhere, counted twice or held twice.
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

// Guards against treating the SYN of a reused port as part of the earlier flow
// forever.
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

// Guards against a queue of held SYNs without a size limit, order or deadline.
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

// Guards against a host that was paused for 30 s and then places SYNs whose
// deadline has passed.
BOOST_AUTO_TEST_CASE(ResumedControllerRefusesExpiredSyns) {
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

// Guards against a flow that is both refused and placed: its deadline passes,
// and its SYN is repeated before poll() returns the refusal.
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

// Guards against a new SYN that is placed before the held ones.
BOOST_AUTO_TEST_CASE(NewSynDoesNotOvertakeHeldSyns) {
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

// Guards against an outage due to wrong health: if all servers report
// "shedding" although they serve, the service must still use them.
BOOST_AUTO_TEST_CASE(PanicModeUsesAllServersIfTooManyAreEjected) {
  addServers(10, 1);
  apply();
  LoadReport shedding;
  shedding.Service = "counter";
  shedding.IsShedding = true;
  for (std::uint32_t id = 0; id < 3; ++id)
    Controller.onLoadReport(Clock.now(), id, shedding);
  for (int i = 0; i < 7; ++i)
    BOOST_TEST(numberOf(syn()) > 3);
  BOOST_TEST(isHeld(syn())); // 3 of 10 may be ejected
  for (std::uint32_t id = 3; id < 10; ++id)
    Controller.onLoadReport(Clock.now(), id, shedding);
  BOOST_TEST(poll().size() == 1);
  for (int i = 0; i < 2; ++i)
    BOOST_TEST(numberOf(syn()) != 0);
  BOOST_TEST(eventCount(Cause::BackendServerEjected) == 10);
}

// Guards against panic mode using a draining or moved server.
BOOST_AUTO_TEST_CASE(PanicModeNeverUsesDrainingOrMovedServers) {
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

// Guards against sending callers repeatedly to a server that resets every SYN:
// it must be ejected after ejectAfter refusals.
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

// Guards against losing counts and held SYNs when a revision changes ids.
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
  // Server 1 is removed, server 3 gets a lower id and another number.
  counter().BackendServers.erase(counter().BackendServers.begin());
  counter().BackendServers[1].Number = 1;
  apply();
  BOOST_TEST(requests(0) == 1);
  BOOST_TEST(requests(1) == 1);
  BOOST_TEST(poll().empty());
  finish(placed[1]); // removed together with its server
  BOOST_TEST(poll().empty());
  finish(placed[3]);
  BOOST_TEST(requests(0) == 0);
  const auto released = poll();
  BOOST_REQUIRE(released.size() == 1);
  BOOST_TEST((released[0].Key == held));
  BOOST_TEST(numberOf(released[0].Decision) == 1);
}

// Guards against holding SYNs forever after their listener was removed.
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

// Guards against a failed invariant, which ends the process, when a caller
// repeats the SYN of a placed flow after its listener was removed.
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

// Guards against full load on a newly added server.
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

// Guards against feeds that are not spread by weight or that exceed a server's
// connection limit.
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

// Guards against flows to other zones while the own zone has healthy servers,
// and against no failover when it has none.
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

// Guards against losing held SYNs in a graceful stop.
BOOST_AUTO_TEST_CASE(TakeHeldReturnsAllHeldSyns) {
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
