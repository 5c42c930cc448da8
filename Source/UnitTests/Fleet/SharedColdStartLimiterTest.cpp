#include "Fleet/SharedColdStartLimiter.h"

#include "UnitTests/Fleet/ColdStartModel.h"
#include "UnitTests/Seeds.h"

#include <boost/test/unit_test.hpp>

#include <numeric>

using namespace auburnroute;
using namespace std::chrono_literals;
using fleet::SharedColdStartLimiter;
using unittests::ColdStartModel;

namespace {

constexpr common::TimePoint Start{std::chrono::hours(1)};

class CountingObserver final : public fleet::ColdStartObserver {
public:
  void onCold(routing::ServerId, std::uint32_t) override { ++Cold; }
  void onWarm(routing::ServerId) override { ++Warm; }
  void onLimited(std::optional<routing::ServerId> server) override {
    ++(server ? Elsewhere : Refused);
  }

  int Cold = 0;
  int Warm = 0;
  int Elsewhere = 0;
  int Refused = 0;
};

/// The only host of a fleet, in zone "a", with a service that states 4 flows a
/// second for 10 s.
struct LimiterFixture {
  LimiterFixture() {
    routing::RoutingConfiguration configuration;
    configuration.Version = 1;
    configuration.ColdStarts.push_back({"s", 10s, 4});
    Routes.apply(configuration);
  }

  const routing::KnownServer &add(std::uint64_t identity,
                                  std::chrono::milliseconds warmUpLeft,
                                  std::uint64_t sequence = 1,
                                  const std::string &zone = "a",
                                  const std::string &service = "s") {
    routing::ServerRegistration server;
    server.Name = "s-" + std::to_string(identity);
    server.Identity = identity;
    server.Service = service;
    server.Zone = zone;
    server.Address = {static_cast<std::uint32_t>(0x0b000000 + identity), 80};
    server.WarmUpLeft = warmUpLeft;
    server.StartTimeMs = 1;
    server.Sequence = sequence;
    server.Revision = ++Revision;
    Directory.apply(server, Now);
    return *Directory.findByName(server.Name);
  }
  void wait(std::chrono::milliseconds time) {
    for (const auto end = Now + time; Now < end;) {
      Now += 250ms;
      Limiter.update(Now);
    }
  }
  /// Sends \p server what is admitted, at most 100 flows.
  int place(const routing::KnownServer &server) {
    int n = 0;
    for (; n < 100 && Limiter.admits(server, Now); ++n)
      Limiter.onPlaced(server, Now);
    return n;
  }

  fleet::PeerTable Peers{{1, "a", 1}, 1};
  routing::RouteTable Routes;
  routing::ServerDirectory Directory{65s};
  CountingObserver Observer;
  SharedColdStartLimiter Limiter{
      Peers, fleet::FleetStart::Alone, Routes, Directory, Observer, {2, 4}};
  std::uint64_t Revision = 0;
  common::TimePoint Now = Start;
};

} // namespace

BOOST_AUTO_TEST_SUITE(SharedColdStartLimiterTest)

// Guards against shares that exceed the limit in sum, or that grow for a host
// that knows more members than the others.
BOOST_AUTO_TEST_CASE(SharesAddUpAndDoNotGrowWithMembers) {
  for (std::uint32_t flows = 0; flows <= 40; ++flows)
    for (std::size_t members = 1; members <= 50; ++members) {
      std::uint32_t sum = 0;
      for (std::size_t rank = 0; rank < members; ++rank) {
        const auto share =
            SharedColdStartLimiter::shareOf(flows, rank, members);
        sum += share;
        BOOST_REQUIRE(
            SharedColdStartLimiter::shareOf(flows, rank, members + 1) <= share);
        BOOST_REQUIRE(SharedColdStartLimiter::shareOf(flows, rank + 1,
                                                      members + 1) <= share);
      }
      BOOST_REQUIRE(sum == flows);
    }
  BOOST_TEST(SharedColdStartLimiter::dividedFlows({1.5, 5}, 10) == 15);
  BOOST_TEST(SharedColdStartLimiter::dividedFlows({1, 0}, 1) == 1);
  BOOST_TEST(SharedColdStartLimiter::dividedFlows({1, 0}, 0.9) == 0);
}

// Guards against a warm server that is limited, for each way in which its entry
// may show that it is warm, and against a cold one that is not.
BOOST_FIXTURE_TEST_CASE(ServersAreColdAsTheirEntriesSay, LimiterFixture) {
  const auto identity = [&](const auto &it) {
    return it.Registration.Identity;
  };
  wait(4s);
  // Shorter and longer than the duration of the configuration.
  const auto brief = identity(add(1, 3s));
  const auto lasting = identity(add(2, 20s));
  const auto unstated = identity(add(3, 0s));
  const auto running = identity(add(4, 0s, 1000));
  const auto other = identity(add(5, 20s, 1, "a", "no-rate"));
  const auto at = [&](std::uint64_t id) -> const auto & {
    return *Directory.findByIdentity(id);
  };
  BOOST_TEST(place(at(brief)) == 0); // Not before the next update.
  BOOST_TEST(place(at(running)) == 100);
  BOOST_TEST(place(at(other)) == 100);
  wait(2750ms);
  for (const auto id : {brief, lasting, unstated})
    BOOST_TEST(place(at(id)) == 9, "server " << id); // 0.75 x (2 x 4 + 4)
  wait(250ms);
  BOOST_TEST(place(at(brief)) == 100);
  add(1, 0s, 4); // Its next entry.
  BOOST_TEST(place(at(brief)) == 100);
  wait(6750ms);
  BOOST_TEST(place(at(unstated)) == 9);
  wait(250ms);
  BOOST_TEST(place(at(unstated)) == 100);
  BOOST_TEST(place(at(lasting)) == 9);
  wait(10s);
  BOOST_TEST(place(at(lasting)) == 100);
  wait(2s);
  BOOST_TEST(Limiter.coldCount() == 0U);
  BOOST_TEST(Observer.Cold == 3);
  BOOST_TEST(Observer.Warm == 3);
}

// Guards against a server of another zone that gets flows while it is cold, and
// against SYNs that are counted for each cold server.
BOOST_FIXTURE_TEST_CASE(ServersOfOtherZonesWaitUntilWarm, LimiterFixture) {
  const auto id = Directory.idOf(add(1, 5s, 1, "b"));
  add(2, 5s, 1, "b");
  wait(4s);
  for (const auto refused : {true, false}) {
    for (routing::ServerId it = 0; it < 2; ++it)
      BOOST_TEST(!Limiter.admits(Directory.at(it), Now));
    if (refused)
      Limiter.onRefused(Now);
    else
      Limiter.onPlaced(Directory.at(id), Now);
  }
  BOOST_TEST(Observer.Refused == 1);
  BOOST_TEST(Observer.Elsewhere == 1);
  wait(1s);
  BOOST_TEST(place(Directory.at(id)) == 100);
}

// Guards against a host that takes itself for the only one after its process
// was stopped or its contact to others was lost.
BOOST_FIXTURE_TEST_CASE(HostsWithoutContactSendNothing, LimiterFixture) {
  const auto &server = add(1, 600s);
  wait(4s);
  BOOST_TEST(place(server) == 9);
  Now += 2s;
  BOOST_TEST(place(server) == 0);
  wait(2s);
  BOOST_TEST(place(server) == 0);
  wait(2s);
  BOOST_TEST(place(server) == 9);
  for (int i = 1; i <= 10; ++i) {
    Peers.applyDirectUpdate({2, "a", 7, static_cast<std::uint64_t>(i)}, Now);
    wait(500ms);
  }
  const auto share = place(server);
  BOOST_TEST((share == 4 || share == 5));
  wait(5s);
  BOOST_TEST(place(server) == 0);
}

// Guards against a sum over all hosts that exceeds the limit while hosts join,
// stop, die, pause and are cut off, alone or by zone.
BOOST_AUTO_TEST_CASE(TheFleetStaysWithinTheLimit) {
  std::vector<std::uint64_t> usual(40);
  std::iota(usual.begin(), usual.end(), 1);
  double rates = 0;
  int runs = 0;
  for (const auto seed : unittests::seeds(usual))
    for (const std::size_t hostsPerZone : {1, 2, 8, 22}) {
      ColdStartModel model({.Seed = seed, .HostsPerZone = hostsPerZone});
      model.run(120s);
      BOOST_TEST(model.busiestSecond() <= model.limit(),
                 "seed " << seed << ", " << hostsPerZone
                         << " hosts a zone: " << model.busiestSecond());
      rates += model.meanRate(0s);
      ++runs;
    }
  BOOST_TEST_MESSAGE("mean of " << runs << " runs with faults: " << rates / runs
                                << " flows/s");
  BOOST_TEST(rates / runs > 1); // The limit was put to the test.
}

// Guards against a model that would not notice a fault: hosts that each take
// themselves for the only one exceed the limit.
BOOST_AUTO_TEST_CASE(HostsThatEachOwnAServerExceedTheLimit) {
  ColdStartModel model(
      {.HostsPerZone = 2, .HasFaults = false, .Gossips = false});
  model.run(20s);
  BOOST_TEST(model.busiestSecond() > model.limit());
}

// Guards against a limit that is hardly used, or that a starting fleet uses
// late.
BOOST_AUTO_TEST_CASE(TheLimitIsUsed) {
  const std::pair<std::size_t, std::size_t> fleets[] = {
      {1, 2}, {3, 1}, {3, 22}, {3, 100}};
  for (const auto &[zones, hostsPerZone] : fleets) {
    ColdStartModel model(
        {.Zones = zones, .HostsPerZone = hostsPerZone, .HasFaults = false});
    model.run(60s);
    BOOST_TEST_MESSAGE(zones * hostsPerZone
                       << " hosts: first flow after "
                       << model.firstFlowAfter().count() << " ms, "
                       << model.meanRate(35s) << " flows/s of " << model.limit()
                       << ", busiest second " << model.busiestSecond());
    BOOST_TEST(model.busiestSecond() <= model.limit());
    BOOST_TEST(model.meanRate(35s) > 10);
    BOOST_TEST((model.firstFlowAfter() < 12s));
  }
}

BOOST_AUTO_TEST_SUITE_END()
