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

// Outdated updates must not keep a dead host alive or hide its restart.
BOOST_AUTO_TEST_CASE(OnlyAHigherHeartbeatMarksAHostAlive) {
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

// A restarted host must be accepted whatever its incarnation number. If
// incarnations were ordered by wall clock, a restarted host whose clock was set
// back would be considered dead.
BOOST_AUTO_TEST_CASE(RestartIsAcceptedWithAnyIncarnation) {
  common::ManualClock clock;
  PeerTable table({1, "a", 1}, 1);
  table.applyDirectUpdate({2, "a", 100, 50}, clock.now());
  clock.advance(1s);
  BOOST_TEST(table.applyDirectUpdate({2, "a", 7, 1}, clock.now()));
  // Updates about the previous incarnation keep arriving for a while.
  table.applyRelayedUpdate({2, "a", 100, 51}, clock.now());
  clock.advance(3500ms);
  BOOST_TEST(!table.applyDirectUpdate({2, "a", 7, 1}, clock.now()));
  clock.advance(1s);
  BOOST_TEST(table.aliveCount(clock.now()) == 0U);
}

// The loss of a host must be reported exactly once; a graceful stop must not
// count as a loss.
BOOST_AUTO_TEST_CASE(LostHostIsReportedOnce) {
  common::ManualClock clock;
  PeerTable table({1, "a", 1}, 1);
  table.applyDirectUpdate({2, "a", 100, 5}, clock.now());
  table.applyDirectUpdate({3, "a", 100, 5, true}, clock.now());
  table.applyDirectUpdate({4, "a", 100, 5}, clock.now());
  BOOST_TEST(table.takeLostHosts(clock.now()).empty());
  // Host 4 was killed and restarted before its death was detected.
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

// Exactly one host that is not leaving must have the lowest address, since that
// host reads the registry.
BOOST_AUTO_TEST_CASE(ExactlyOneHostHasTheLowestAddress) {
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

// Gossip must reach hosts of the own zone and of other zones.
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

// Hostile messages must not grow the table without bound.
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
