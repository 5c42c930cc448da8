#include "Fleet/PeerTable.h"
#include "Common/ManualClock.h"
#include "UnitTests/Seeds.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace auburnroute;
using namespace std::chrono_literals;
using fleet::PeerInfo;
using fleet::PeerTable;

BOOST_AUTO_TEST_SUITE(PeerTableTest)

// Guards against old news that keeps a dead host alive, or that hides its
// restart.
BOOST_AUTO_TEST_CASE(OnlyANewHeartbeatShowsLife) {
  common::ManualClock clock;
  PeerTable table({1, "a", 1}, 1);
  BOOST_TEST(table.applyDirectUpdate({2, "a", 100, 5}, clock.now()));
  clock.advance(3s);
  BOOST_TEST(!table.applyDirectUpdate({2, "a", 100, 5}, clock.now()));
  table.applyRelayedUpdate({2, "a", 100, 4}, clock.now());
  clock.advance(2s);
  BOOST_TEST(table.aliveCount(clock.now()) == 0U);
  table.applyRelayedUpdate({2, "a", 100, 5}, clock.now());
  BOOST_TEST(table.aliveCount(clock.now()) == 0U);
  table.applyRelayedUpdate({2, "a", 100, 6}, clock.now());
  BOOST_TEST(table.aliveCount(clock.now()) == 1U);
}

// Guards against a host that others take for dead after a restart because its
// wall clock was set back: its starts have no order.
BOOST_AUTO_TEST_CASE(ARestartCountsWhateverItsNumber) {
  common::ManualClock clock;
  PeerTable table({1, "a", 1}, 1);
  table.applyDirectUpdate({2, "a", 100, 50}, clock.now());
  clock.advance(1s);
  BOOST_TEST(table.applyDirectUpdate({2, "a", 7, 1}, clock.now()));
  // News of the former start is on its way for a while.
  table.applyRelayedUpdate({2, "a", 100, 51}, clock.now());
  clock.advance(3500ms);
  BOOST_TEST(!table.applyDirectUpdate({2, "a", 7, 1}, clock.now()));
  clock.advance(1s);
  BOOST_TEST(table.aliveCount(clock.now()) == 0U);
}

// Guards against hosts whose end nobody hears of, or is told of twice, and
// against a graceful stop that counts as a loss.
BOOST_AUTO_TEST_CASE(ALostHostIsReportedOnce) {
  common::ManualClock clock;
  PeerTable table({1, "a", 1}, 1);
  table.applyDirectUpdate({2, "a", 100, 5}, clock.now());
  table.applyDirectUpdate({3, "a", 100, 5, true}, clock.now());
  table.applyDirectUpdate({4, "a", 100, 5}, clock.now());
  BOOST_TEST(table.takeLostHosts(clock.now()).empty());
  // Host 4 was killed and is back before its silence was noticed.
  clock.advance(1s);
  table.applyDirectUpdate({4, "a", 200, 1}, clock.now());
  auto lost = table.takeLostHosts(clock.now());
  BOOST_REQUIRE(lost.size() == 1U);
  BOOST_TEST(lost.front().Address == 4U);
  BOOST_TEST(lost.front().Incarnation == 100U);
  clock.advance(3500ms);
  lost = table.takeLostHosts(clock.now());
  BOOST_REQUIRE(lost.size() == 1U);
  BOOST_TEST(lost.front().Address == 2U);
  BOOST_TEST(table.takeLostHosts(clock.now()).empty());
  BOOST_TEST(table.alive(clock.now()) == std::vector<std::uint32_t>{4},
             boost::test_tools::per_element());
}

// Guards against a fleet without a reader, or with many: exactly one host that
// is not leaving comes first.
BOOST_AUTO_TEST_CASE(OneHostComesFirst) {
  common::ManualClock clock;
  std::vector<PeerTable> tables;
  for (std::uint32_t n = 1; n <= 5; ++n)
    tables.emplace_back(PeerInfo{n, n < 3 ? "a" : "b", 1}, n);
  for (auto &it : tables)
    for (std::uint32_t n = 1; n <= 5; ++n)
      it.applyRelayedUpdate({n, n < 3 ? "a" : "b", 1, 1, n == 1}, clock.now());
  BOOST_TEST(std::ranges::count_if(tables, [&](const PeerTable &it) {
               return it.hasLowestAddress(clock.now()) &&
                      it.self().Address != 1;
             }) == 1);
  BOOST_TEST(tables[1].rankInZone(clock.now()) == 0U);
  BOOST_TEST(tables[4].rankInZone(clock.now()) == 2U);
}

// Guards against gossip that stays within a zone, or never leaves it.
BOOST_AUTO_TEST_CASE(ChoicesCoverBothZones) {
  common::ManualClock clock;
  for (const auto seed : unittests::seeds({1, 2, 3})) {
    PeerTable table({1, "a", 1}, seed);
    for (std::uint32_t n = 2; n <= 41; ++n)
      table.applyRelayedUpdate({n, n % 2 == 0 ? "a" : "b", 1, 1}, clock.now());
    const auto chosen = table.choose(4, clock.now());
    BOOST_TEST(chosen.size() == 4U);
    BOOST_TEST(std::ranges::count_if(chosen,
                                     [](auto it) { return it % 2 == 0; }) == 2);
  }
}

// Guards against a table that hostile messages fill without bound.
BOOST_AUTO_TEST_CASE(TheTableIsBounded) {
  common::ManualClock clock;
  fleet::MembershipLimits limits;
  limits.MaxPeers = 100;
  PeerTable table({1, "a", 1}, 1, limits);
  for (std::uint32_t n = 2; n <= 1000; ++n)
    table.applyRelayedUpdate({n, "a", 1, 1}, clock.now());
  BOOST_TEST(table.aliveCount(clock.now()) == 100U);
  clock.advance(limits.RemovalTimeout + 1s);
  table.advanceHeartbeat(clock.now());
  BOOST_TEST(table.applyDirectUpdate({2000, "a", 1, 1}, clock.now()));
  BOOST_TEST(table.aliveCount(clock.now()) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
