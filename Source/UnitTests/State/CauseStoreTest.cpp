#include "State/CauseStore.h"
#include "Common/ManualClock.h"
#include "State/CauseReport.h"

#include <boost/test/unit_test.hpp>

using namespace auburnroute;
using state::Cause;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(CauseStoreTest)

// Guards against causes that are lost with the host that recorded them: a copy
// at a peer must still be found 30 minutes after that host died.
BOOST_AUTO_TEST_CASE(CopySurvivesItsOrigin) {
  common::ManualClock clock;
  state::CauseStore peer("couva-1", 2);
  {
    state::CauseStore origin("sando-1", 1);
    origin.record(clock.wallTime(), Cause::BackendServerReset, "counter", 7,
                  "counter-3", 4);
    for (const auto &it : origin.takeChanged(100))
      peer.merge(clock.wallTime(), it);
  }
  clock.advance(30min);
  peer.expire(clock.wallTime());
  const auto found =
      state::findCauses(peer.since(clock.wallTime() - 60min), "counter");
  BOOST_REQUIRE(found.size() == 1);
  BOOST_TEST(found[0].Count == 4);
  BOOST_TEST(found[0].Subject == "counter-3");
  BOOST_TEST((found[0].Triggers.empty()));
  BOOST_TEST(state::describe(found[0]).find("Cause unknown") !=
             std::string::npos);
}

// Guards against starvation in takeChanged(): an entry that is never sent
// because others, which change all the time, are taken first.
BOOST_AUTO_TEST_CASE(GrowingCausesDoNotDelayOthers) {
  common::ManualClock clock;
  state::CauseStore store("sando-1", 1);
  store.record(clock.wallTime(), Cause::SettingsApplied, "", 9, "");
  std::size_t taken = 0;
  for (int round = 0; round < 10; ++round) {
    for (std::uint64_t revision = 1; revision <= 3; ++revision)
      store.record(clock.wallTime(), Cause::QueueFull, "counter", revision, "");
    for (const auto &it : store.takeChanged(2))
      taken += it.Key.Cause == Cause::SettingsApplied;
  }
  BOOST_TEST(taken == 1U);
}

// Guards against counting an entry twice when several copies are merged.
BOOST_AUTO_TEST_CASE(CopiesCountOnce) {
  common::ManualClock clock;
  state::CauseStore origin("sando-1", 1);
  state::CauseStore peer("couva-1", 2);
  origin.record(clock.wallTime(), Cause::QueueFull, "counter", 7, "");
  for (const auto &it : origin.takeChanged(100)) {
    peer.merge(clock.wallTime(), it);
    peer.merge(clock.wallTime(), it);
  }
  origin.record(clock.wallTime(), Cause::QueueFull, "counter", 7, "", 2);
  auto entries = origin.since(clock.wallTime() - 60min);
  const auto copies = peer.since(clock.wallTime() - 60min);
  entries.insert(entries.end(), copies.begin(), copies.end());
  const auto found = state::findCauses(entries, "");
  BOOST_REQUIRE(found.size() == 1);
  BOOST_TEST(found[0].Count == 3);
}

// Guards against attributing the resets of one backend server to the failure
// of another one.
BOOST_AUTO_TEST_CASE(TriggerMustConcernTheSameServer) {
  common::ManualClock clock;
  state::CauseStore store("sando-1", 1);
  store.record(clock.wallTime(), Cause::BackendServerEjected, "counter", 7,
               "counter-3");
  store.record(clock.wallTime(), Cause::HostDead, "", 7, "sando-2");
  clock.advance(2s);
  store.record(clock.wallTime(), Cause::BackendServerReset, "counter", 7,
               "counter-3");
  store.record(clock.wallTime(), Cause::BackendServerReset, "counter", 7,
               "counter-4");
  const auto found =
      state::findCauses(store.since(clock.wallTime() - 60min), "counter");
  BOOST_REQUIRE(found.size() == 2);
  for (const auto &it : found) {
    const bool known = it.Subject == "counter-3";
    BOOST_TEST(it.Triggers.size() == (known ? 1U : 0U));
    if (known)
      BOOST_TEST((it.Triggers[0].Cause == Cause::BackendServerEjected));
  }
}

// Guards against a trigger that is too old, or later than the outcome.
BOOST_AUTO_TEST_CASE(TriggersOutsideTheWindowAreIgnored) {
  common::ManualClock clock;
  state::CauseStore store("sando-1", 1);
  store.record(clock.wallTime(), Cause::SettingsApplied, "", 7, "");
  clock.advance(10min);
  store.record(clock.wallTime(), Cause::SettingsApplied, "", 8, "");
  clock.advance(20s);
  store.record(clock.wallTime(), Cause::QueueTimeout, "counter", 8, "");
  clock.advance(20s);
  store.record(clock.wallTime(), Cause::SettingsApplied, "", 9, "");
  const auto found =
      state::findCauses(store.since(clock.wallTime() - 60min), "");
  BOOST_REQUIRE(found.size() == 1);
  BOOST_REQUIRE(found[0].Triggers.size() == 1);
  BOOST_TEST(found[0].Triggers[0].Revision == 8);
}

// Guards against unbounded growth under many subjects, and over time.
BOOST_AUTO_TEST_CASE(SizeAndAgeAreBounded) {
  common::ManualClock clock;
  state::CauseStore store("sando-1", 1);
  for (std::size_t i = 0; i < state::CauseStore::MaxEntries + 50; ++i)
    store.record(clock.wallTime(), Cause::QueueFull, std::to_string(i), 7, "");
  BOOST_TEST(store.size() == state::CauseStore::MaxEntries);
  BOOST_TEST(store.evicted() == 50);
  clock.advance(62min);
  store.expire(clock.wallTime());
  BOOST_TEST(store.size() == 0);
}

// Guards against causes that the report has no text or name for.
BOOST_AUTO_TEST_CASE(EveryRefusalIsAnOutcome) {
  for (const auto why :
       {Cause::MissingTimestamps, Cause::NoBackendServer, Cause::QueueFull,
        Cause::QueueTimeout, Cause::ConnectionLimit})
    BOOST_TEST(state::isOutcome(why));
  for (int i = 0; i < static_cast<int>(Cause::Count); ++i)
    BOOST_TEST((state::toString(static_cast<Cause>(i)) != "Invalid"));
}

BOOST_AUTO_TEST_SUITE_END()
