#include "Coordination/Membership/Membership.h"

#include "Bench/ZoneSimulation.h"
#include "UnitTests/Seeds.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <sstream>

using namespace auburnroute;
using namespace std::chrono_literals;
using bench::ZoneSimulation;
using membership::ConfirmationState;
using state::HostState;

namespace {

// A zone that has settings and in which all hosts are confirmed.
ZoneSimulation settledZone(std::size_t hosts, std::uint64_t seed,
                           bench::NetworkOptions network = {}) {
  ZoneSimulation zone(hosts, seed, network);
  for (int i = 0; i < 50; ++i)
    zone.Services.push_back("service-" + std::to_string(i));
  zone.startAll();
  zone.publish(0, bench::sampleDocument(1, 2, 2, 0));
  zone.runUntil([&] { return zone.allHostsLive(); }, 20s);
  BOOST_REQUIRE(zone.allHostsLive());
  return zone;
}

bool allOthersSee(const ZoneSimulation &zone, std::size_t i, HostState state) {
  for (const auto &node : zone.Nodes)
    if (node.Running && node.Name != zone.Nodes[i].Name &&
        node.Members->hosts().find(zone.Nodes[i].Name)->State != state)
      return false;
  return true;
}

std::size_t transitionsTo(const ZoneSimulation &zone, HostState state) {
  std::size_t n = 0;
  for (const auto &node : zone.Nodes)
    for (const auto &it : node.Transitions)
      n += it.To == state ? 1 : 0;
  return n;
}

std::size_t servicesOwnedBySelf(const ZoneSimulation &zone, std::size_t i) {
  std::size_t n = 0;
  for (const auto &it : zone.Services)
    n += zone.Nodes[i].Members->admissionOwner(it) == zone.Nodes[i].Name;
  return n;
}

// Checks that all hosts agree on one live owner per service and on the same two
// settings readers.
void checkOwners(const ZoneSimulation &zone) {
  const std::vector<std::string> *readers = nullptr;
  for (const auto &node : zone.Nodes) {
    if (!node.Running)
      continue;
    BOOST_TEST(node.Members->settingsReaders().size() == 2);
    BOOST_TEST(
        (readers == nullptr || *readers == node.Members->settingsReaders()));
    readers = &node.Members->settingsReaders();
  }
  for (const auto &service : zone.Services) {
    std::optional<std::string> first;
    for (const auto &node : zone.Nodes) {
      if (!node.Running)
        continue;
      const auto owner = node.Members->admissionOwner(service);
      BOOST_REQUIRE(owner.has_value());
      BOOST_TEST(node.Members->hosts().find(*owner)->State == HostState::Live);
      BOOST_TEST((!first || *owner == *first));
      first = owner;
    }
  }
}

const double LossShares[] = {0, 0.01, 0.05};

} // namespace

namespace auburnroute::state {
std::ostream &operator<<(std::ostream &out, HostState state) {
  return out << toString(state);
}
} // namespace auburnroute::state

BOOST_AUTO_TEST_SUITE(MembershipTest)

// Guards against slow detection, which keeps new flows waiting for a dead
// owner, and against false suspicions, which move services between hosts.
BOOST_DATA_TEST_CASE(KilledHostIsDetected,
                     boost::unit_test::data::make(LossShares), loss) {
  for (const auto seed : unittests::seeds({1, 2, 3})) {
    auto zone = settledZone(32, seed, {loss, 500us, 2000us});
    for (auto &node : zone.Nodes)
      node.Transitions.clear();
    zone.run(60s);
    if (loss < 0.05)
      BOOST_TEST(transitionsTo(zone, HostState::Suspect) == 0);
    BOOST_TEST(transitionsTo(zone, HostState::Dead) == 0);
    zone.kill(3);
    const auto excluded = [&] {
      return allOthersSee(zone, 3, HostState::Suspect) ||
             allOthersSee(zone, 3, HostState::Dead);
    };
    BOOST_TEST((zone.runUntil(excluded, 5s) <= 2s));
    const auto dead = [&] { return allOthersSee(zone, 3, HostState::Dead); };
    BOOST_TEST((zone.runUntil(dead, 5s) <= 3500ms));
    zone.run(2s);
    checkOwners(zone);
  }
}

// Guards against a host that places new flows by its state from before a pause.
BOOST_AUTO_TEST_CASE(ResumedHostIsUnconfirmedUntilAnswered) {
  for (const auto seed : unittests::seeds({1, 2, 3}))
    for (const auto length : {100ms, 2000ms, 30000ms}) {
      auto zone = settledZone(8, seed);
      zone.pause(2, length);
      zone.run(length - 1ms);
      zone.Nodes[2].Members->takeTransitions();
      const auto &members = *zone.Nodes[2].Members;
      bool hasOwnedServices = false;
      bool wasConfirmedAgain = false;
      for (int i = 0; i < 400; ++i) {
        zone.run(1ms);
        const bool isConfirmed = members.isConfirmed(zone.Now);
        hasOwnedServices =
            hasOwnedServices ||
            (length > 200ms && !isConfirmed && zone.isAwake(zone.Nodes[2]) &&
             members.counters().Pauses > 0 && servicesOwnedBySelf(zone, 2) > 0);
        wasConfirmedAgain = wasConfirmedAgain || isConfirmed;
        if (i == 0)
          BOOST_TEST(isConfirmed == (length < 200ms));
      }
      BOOST_TEST(!hasOwnedServices);
      BOOST_TEST(members.counters().Suspicions == 0);
      BOOST_TEST(wasConfirmedAgain);
      BOOST_TEST((members.confirmation() == ConfirmationState::ByPeer));
      zone.run(2s);
      BOOST_TEST(zone.allHostsLive());
      checkOwners(zone);
      if (length < 200ms)
        BOOST_TEST(transitionsTo(zone, HostState::Suspect) == 0);
    }
}

// Guards against a resumed host that is confirmed by answers from before the
// pause, which are still in its socket buffer.
BOOST_AUTO_TEST_CASE(OldAnswersDoNotConfirm) {
  auto zone = settledZone(3, 1);
  zone.pause(0, 2s);
  zone.run(100ms);
  zone.Nodes[0].PartitionId = 1;
  zone.run(2500ms);
  const auto &members = *zone.Nodes[0].Members;
  BOOST_TEST(!members.isConfirmed(zone.Now));
  BOOST_TEST(servicesOwnedBySelf(zone, 0) == 0);
  zone.run(2s);
  BOOST_TEST((members.confirmation() == ConfirmationState::NoPeerAnswered));
  zone.Nodes[0].PartitionId = 0;
  zone.run(3s);
  BOOST_TEST((members.confirmation() == ConfirmationState::ByPeer));
  BOOST_TEST(zone.allHostsLive());
}

// Guards against an outdated host list that revives a dead host or removes a
// live one.
BOOST_AUTO_TEST_CASE(OutdatedHostListNeitherRevivesNorRemoves) {
  auto zone = settledZone(4, 1);
  zone.kill(3);
  zone.run(6s);
  zone.list(0, {0, 1, 3});
  zone.run(3s);
  BOOST_TEST(allOthersSee(zone, 3, HostState::Dead));
  BOOST_TEST(allOthersSee(zone, 2, HostState::Live));
  // A new process joins under the same name with a new incarnation.
  zone.start(3);
  zone.list(3, {0, 1, 3});
  zone.run(4s);
  BOOST_TEST(zone.allHostsLive());
  checkOwners(zone);
}

// Guards against new flows that go to a host which is stopping.
BOOST_AUTO_TEST_CASE(LeavingHostOwnsNothing) {
  auto zone = settledZone(20, 1);
  zone.Nodes[5].Members->announceLeaving(zone.Now);
  zone.run(1s);
  BOOST_TEST(allOthersSee(zone, 5, HostState::Leaving));
  checkOwners(zone);
  zone.run(10s);
  BOOST_TEST(allOthersSee(zone, 5, HostState::Leaving));
}

// Guards against a restarted process that its peers ignore because the clock of
// the previous one ran ahead.
BOOST_AUTO_TEST_CASE(RestartedHostTakesHigherIncarnation) {
  auto zone = settledZone(3, 1);
  messages::Heartbeat body;
  body.Updates.push_back(
      {zone.Nodes[0].Name, 4'000'000'000'000, 77, HostState::Dead, false, {}});
  auto &members = *zone.Nodes[0].Members;
  auto message = zone.Nodes[1].Members->makeMessage(body);
  members.onHeartbeat(zone.Now, message);
  BOOST_TEST(members.makeMessage(body).Incarnation == 4'000'000'000'001);
  zone.run(2s);
  BOOST_TEST(zone.allHostsLive());
}

// Guards against views that diverge under random kills, pauses and partitions:
// once these end, all running hosts are live in all views, and each service has
// one live owner.
BOOST_AUTO_TEST_CASE(RandomFailuresConverge) {
  for (const auto seed : unittests::seeds({11, 12, 13, 14, 15, 16, 17, 18})) {
    std::mt19937_64 random(seed);
    const auto hosts = 3 + random() % 30;
    auto zone = settledZone(hosts, seed, {0.01, 500us, 20000us});
    std::vector<std::size_t> all(hosts);
    for (std::size_t i = 0; i < hosts; ++i)
      all[i] = i;
    std::uint64_t revision = 1;
    for (int step = 0; step < 40; ++step) {
      const auto i = random() % hosts;
      auto &node = zone.Nodes[i];
      switch (random() % 6) {
      case 0:
        zone.kill(i);
        break;
      case 1:
        zone.start(i);
        zone.list(i, all);
        break;
      case 2:
        zone.pause(i, std::chrono::milliseconds(random() % 10000));
        break;
      case 3:
        for (auto &it : zone.Nodes)
          it.PartitionId = static_cast<int>(random() % 2);
        break;
      case 4:
        for (auto &it : zone.Nodes)
          it.PartitionId = 0;
        break;
      default:
        // An outdated platform may offer any earlier revision.
        if (node.Running) {
          ++revision;
          zone.publish(i, bench::sampleDocument(1 + random() % revision, 2, 2,
                                                revision));
        }
      }
      zone.run(std::chrono::milliseconds(random() % 3000));
    }
    for (std::size_t i = 0; i < hosts; ++i) {
      zone.Nodes[i].PartitionId = 0;
      if (!zone.Nodes[i].Running) {
        zone.start(i);
        zone.list(i, all);
      }
    }
    zone.Network.LossShare = 0;
    zone.publish(0, bench::sampleDocument(++revision, 2, 2, 0));
    zone.run(15s);
    BOOST_TEST_CONTEXT("seed " << seed << ", " << hosts << " hosts") {
      BOOST_TEST(zone.allHostsLive());
      BOOST_TEST(zone.allHaveSettings(zone.Nodes[0].Follower->stamp()));
      for (const auto &node : zone.Nodes)
        BOOST_TEST(!node.HasRevertedSettings);
      checkOwners(zone);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
