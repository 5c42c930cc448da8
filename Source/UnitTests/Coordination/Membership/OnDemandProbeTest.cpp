#include "Coordination/Membership/Membership.h"

#include "Bench/ZoneSimulation.h"
#include "UnitTests/Seeds.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <iterator>
#include <sstream>

using namespace auburnroute;
using namespace std::chrono_literals;
using bench::ZoneSimulation;
using state::HostState;

namespace {

ZoneSimulation settledZone(std::size_t hosts, std::uint64_t seed) {
  ZoneSimulation zone(hosts, seed);
  zone.startAll();
  zone.publish(0, bench::sampleDocument(1, 2, 2, 0));
  zone.runUntil([&] { return zone.allHostsLive(); }, 20s);
  BOOST_REQUIRE(zone.allHostsLive());
  zone.run(5s);
  for (auto &node : zone.Nodes)
    node.Transitions.clear();
  return zone;
}

/// Whether host \p i is live in the view of host \p from.
bool isSeenLive(const ZoneSimulation &zone, std::size_t from, std::size_t i) {
  const auto *host = zone.Nodes[from].Members->hosts().find(zone.Nodes[i].Name);
  return host != nullptr && host->State == HostState::Live;
}

std::uint64_t probesOf(const ZoneSimulation &zone, std::size_t i) {
  return zone.Nodes[i].Members->counters().OnDemandProbes;
}

} // namespace

BOOST_AUTO_TEST_SUITE(OnDemandProbeTest)

// Guards against moving the services of a host that answers, however often
// probes of it are requested, and against more than one probe per interval.
BOOST_AUTO_TEST_CASE(AnsweringHostStaysLive) {
  for (const auto seed : unittests::seeds({1, 2, 3})) {
    auto zone = settledZone(3, seed);
    const auto probes = probesOf(zone, 0);
    for (int i = 0; i < 1000; ++i) {
      zone.requestProbe(0, 1);
      zone.run(10ms);
    }
    for (const auto &node : zone.Nodes)
      BOOST_TEST(node.Transitions.empty());
    BOOST_TEST(probesOf(zone, 0) - probes <= 10U);
  }
}

// Guards against waiting for the heartbeat timeout: a killed or paused host
// becomes suspect soon after an on-demand probe, in the views of all hosts of a
// small zone.
BOOST_AUTO_TEST_CASE(SilentHostIsSuspectAfterProbe) {
  for (const auto seed : unittests::seeds({1, 2, 3}))
    for (const bool paused : {false, true}) {
      auto zone = settledZone(3, seed);
      if (paused)
        zone.pause(1, 5s);
      else
        zone.kill(1);
      zone.run(20ms);
      zone.requestProbe(0, 1);
      const auto suspected = [&] { return !isSeenLive(zone, 0, 1); };
      BOOST_TEST((zone.runUntil(suspected, 5s) <= 260ms));
      const auto spread = [&] { return !isSeenLive(zone, 2, 1); };
      BOOST_TEST((zone.runUntil(spread, 5s) <= 160ms));
      if (!paused)
        continue;
      zone.run(8s);
      BOOST_TEST(zone.allHostsLive());
    }
}

// Guards against a false suspicion after a late tick of the probing host, whose
// socket holds the answer unread.
BOOST_AUTO_TEST_CASE(LateTickRaisesNoSuspicion) {
  for (const auto seed : unittests::seeds({1, 2, 3}))
    for (const auto pause : {150ms, 190ms, 300ms, 1500ms}) {
      auto zone = settledZone(3, seed);
      zone.requestProbe(0, 1);
      zone.pause(0, pause);
      zone.run(pause + 2s);
      BOOST_TEST(zone.Nodes[0].Members->counters().Suspicions == 0U);
    }
}

// Guards against probes of one host by all hosts of a large zone at once, and
// against a suspicion that does not reach hosts that are not neighbours.
BOOST_AUTO_TEST_CASE(OnlyNeighboursProbe) {
  for (const auto seed : unittests::seeds({1, 2, 3})) {
    auto zone = settledZone(100, seed);
    const auto neighbours = zone.Nodes[1].Members->neighbours().size();
    BOOST_REQUIRE(neighbours < 20U);
    zone.kill(1);
    std::uint64_t probes = 0;
    for (std::size_t i = 0; i < zone.Nodes.size(); ++i) {
      const auto before = probesOf(zone, i);
      if (i != 1)
        zone.requestProbe(i, 1);
      probes += probesOf(zone, i) - before;
    }
    BOOST_TEST(probes == neighbours);
    const auto known = [&] {
      for (std::size_t i = 0; i < zone.Nodes.size(); ++i)
        if (i != 1 && isSeenLive(zone, i, 1))
          return false;
      return true;
    };
    BOOST_TEST((zone.runUntil(known, 5s) <= 700ms));
  }
}

// Guards against a pending probe of a previous process that makes the restarted
// one suspect.
BOOST_AUTO_TEST_CASE(RestartedHostIsNotSuspect) {
  auto zone = settledZone(3, 1);
  zone.kill(1);
  zone.requestProbe(0, 1);
  zone.start(1);
  zone.list(1, {0, 1, 2});
  zone.run(3s);
  BOOST_TEST(zone.Nodes[0].Members->counters().Suspicions == 0U);
  BOOST_TEST(zone.allHostsLive());
}

BOOST_AUTO_TEST_SUITE_END()
