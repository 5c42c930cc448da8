#include "UnitTests/Routing/HardLoadModel.h"
#include "UnitTests/Routing/RoutingFixture.h"
#include "UnitTests/Seeds.h"

#include <boost/test/unit_test.hpp>

#include <cmath>

using namespace auburnroute;
using namespace std::chrono_literals;
using unittests::HardLoadModel;

namespace {

class FixedLoad final : public routing::SharedLoad {
public:
  routing::RemoteLoad elsewhere(routing::ServerId,
                                common::TimePoint) const override {
    return {};
  }
  std::optional<routing::ZoneLoad> zoneLoad(routing::NameTable::Id,
                                            routing::NameTable::Id zone,
                                            common::TimePoint) const override {
    return zone < Loads.size() ? Loads[zone] : std::nullopt;
  }
  std::vector<std::optional<routing::ZoneLoad>> Loads;
};

class FixedZone final : public routing::ZoneSelector {
public:
  std::optional<routing::NameTable::Id> zoneFor(routing::NameTable::Id,
                                                common::TimePoint) override {
    return Zone;
  }
  std::optional<routing::NameTable::Id> Zone;
};

/// Zones "a" (own), "b" and "c" with 1, 1 and 3 servers of two slots.
struct BalancerFixture : unittests::RoutingFixture {
  BalancerFixture() {
    add(1, "orders", "a");
    add(2, "orders", "b");
    for (std::uint64_t i = 3; i <= 5; ++i)
      add(i, "orders", "c");
  }
  routing::NameTable::Id zone(const char *name) {
    return Directory.zoneNames().idOf(name);
  }
  /// Part of 1,000 choices that is \p name.
  double shareOf(const char *name) {
    int n = 0;
    for (int i = 0; i < 1000; ++i)
      n += Balancer.zoneFor(Service, Clock.now()) == zone(name);
    return n / 1000.0;
  }

  routing::NameTable::Id Service = Directory.serviceNames().idOf("orders");
  routing::ZoneEvacuations Evacuations;
  FixedLoad Load;
  routing::ZoneDelays Delays;
  routing::UsableZones Usable{Directory, Health, &Evacuations,
                              Directory.zoneNames().idOf("a")};
  routing::ZoneBalancer Balancer{Usable, Load, Delays, 5ms, 1};
};

} // namespace

BOOST_AUTO_TEST_SUITE(ZoneBalancerTest)

// Guards against a change of placement where no load is exchanged.
BOOST_FIXTURE_TEST_CASE(WithoutLoadThereIsNoPreference, BalancerFixture) {
  BOOST_TEST(!Balancer.zoneFor(Service, Clock.now()).has_value());
}

// Guards against flows to evacuated, empty or draining zones, and against a
// split that overloads the smaller zone.
BOOST_FIXTURE_TEST_CASE(EvacuatedZoneSplitsBySlots, BalancerFixture) {
  Evacuations.apply({.Zone = "a"});
  BOOST_TEST(std::abs(shareOf("b") - 0.25) < 0.05);
  BOOST_TEST(std::abs(shareOf("c") - 0.75) < 0.05);
  // Takes effect at once, not with the next interval.
  Evacuations.apply({.Zone = "c"});
  BOOST_TEST(shareOf("b") == 1);
  Evacuations.apply({.Zone = "b"});
  BOOST_TEST(!Balancer.zoneFor(Service, Clock.now()).has_value());
  Evacuations.apply({.Zone = "c", .IsActive = false, .Era = 0, .Revision = 1});
  add(3, "orders", "c", routing::ServerState::Draining);
  BOOST_TEST(shareOf("c") == 1);
}

BOOST_FIXTURE_TEST_CASE(EvacuatedZoneSplitsByFreeSlots, BalancerFixture) {
  Evacuations.apply({.Zone = "a"});
  Load.Loads = {routing::ZoneLoad{0, 2, 0}, routing::ZoneLoad{0, 2, 10},
                routing::ZoneLoad{5, 6, 10}};
  BOOST_TEST(std::abs(shareOf("b") - 2.0 / 3) < 0.05);
}

// Guards against a flow that bounces back to the own zone, and against one that
// leaves though the selector keeps it.
BOOST_FIXTURE_TEST_CASE(PlacementFollowsTheChosenZone, BalancerFixture) {
  FixedZone zones;
  Placement.setParts({.Zones = &zones});
  const auto place = [&](const char *zone) {
    zones.Zone = this->zone(zone);
    const auto id = Placement.choose(Service, {}, false, Clock.now());
    return Directory.at(*id).Registration.Name;
  };
  for (int i = 0; i < 9; ++i)
    for (const routing::ServerId id : {0U, 2U, 3U})
      Health.onRequest(id);
  BOOST_TEST(place("a") == "s1");
  BOOST_TEST(place("c") == "s5");
  add(1, "orders", "a", routing::ServerState::Draining);
  BOOST_TEST(place("a") != "s1");
}

BOOST_AUTO_TEST_CASE(DelayIsTheDifferenceOfHandshakes) {
  routing::ZoneDelays delays;
  for (unsigned i = 0; i < routing::ZoneDelays::MinSamples; ++i) {
    BOOST_TEST((delays.extraDelay(1, 0) == routing::ZoneDelays::DefaultDelay));
    delays.onHandshake(0, 6ms);
    delays.onHandshake(1, 8ms);
    delays.onHandshake(1, 900ms); // A lost packet.
  }
  BOOST_TEST(std::abs(delays.extraDelay(1, 0).count() - 2) < 0.01);
  BOOST_TEST(delays.extraDelay(0, 1).count() == 0);
}

// Guards against swings of a zone's hosts that decide at once on old loads
// while most requests stay on flows placed earlier, and against a crowded zone
// beside free ones. Zones of 2, 59 and 10 hosts, loads 1 to 2 and 2 to 3 s old.
BOOST_AUTO_TEST_CASE(CrowdedZoneSettles) {
  for (const auto seed : unittests::seeds({1, 2, 3, 4})) {
    HardLoadModel::Parameters parameters;
    parameters.Seed = seed;
    parameters.Zones = {{2, 20, 1.1}, {59, 20, 0.6}, {10, 20, 0.6}};
    parameters.LoadDelay = std::chrono::seconds(1 + seed % 2);
    HardLoadModel model(parameters);
    model.run(60s);
    for (const unsigned zone : {1U, 2U})
      BOOST_TEST(
          std::abs((model.meanWait(0, 30) - model.meanWait(zone, 30)).count()) <
          0.04);
    BOOST_TEST(model.meanShare(0, 30) > 0.2);
    BOOST_TEST(model.shareRange(0, 30) < 0.3);
    BOOST_TEST(model.meanShare(1, 30) < 0.1);
    // The own zone is enough again.
    model.setLoad(0, 0.4);
    model.run(12s);
    BOOST_TEST(model.meanShare(0, 2) == 0);
    model.run(10s);
    BOOST_TEST(model.meanShare(0, 10) < 0.01);
  }
}

// Guards against shares that lag behind waves or follow noise.
BOOST_AUTO_TEST_CASE(WavesOutOfPhaseAreBalanced) {
  for (const auto seed : unittests::seeds({1, 2})) {
    double value[2];
    for (const bool balanced : {false, true}) {
      HardLoadModel::Parameters parameters;
      parameters.Zones.assign(3, {10, 20, 0.65});
      parameters.Swing = 0.55;
      parameters.Seed = seed;
      parameters.HasBalancer = balanced;
      HardLoadModel model(parameters);
      model.run(90s);
      value[balanced] = model.mean(&HardLoadModel::Second::Value, 60);
    }
    BOOST_TEST(value[1] > 1.05 * value[0]);
  }
}

// Guards against a crowded zone beside a free one when the hosts of an
// evacuated zone follow the same old loads, and against their slow return.
BOOST_AUTO_TEST_CASE(EvacuationIsSplitAndEnds) {
  HardLoadModel::Parameters parameters;
  parameters.Zones = {{10, 20, 0.5}, {10, 20, 0.5}, {10, 20, 0.6}};
  HardLoadModel model(parameters);
  model.run(30s);
  model.evacuate(0, true);
  model.run(5s);
  unsigned placed = 0;
  model.run(45s);
  for (auto i = model.seconds().size() - 45; i < model.seconds().size(); ++i)
    placed += model.seconds()[i].Placed[0];
  BOOST_TEST(placed == 0U);
  BOOST_TEST(model.mean(&HardLoadModel::Second::Lost, 45) == 0);
  BOOST_TEST(std::abs((model.meanWait(1, 30) - model.meanWait(2, 30)).count()) <
             0.04);
  model.evacuate(0, false);
  model.run(12s);
  BOOST_TEST(model.meanShare(0, 2) < 0.02);
}

// Guards against flows to a zone that does not answer.
BOOST_AUTO_TEST_CASE(NothingCrossesAPartition) {
  HardLoadModel::Parameters parameters;
  parameters.Zones = {{10, 20, 1.1}, {10, 20, 0.5}, {10, 20, 0.5}};
  HardLoadModel model(parameters);
  model.run(30s);
  BOOST_TEST(model.meanShare(0, 5) > 0.1);
  model.partition(0, true);
  model.run(10s);
  BOOST_TEST(model.meanShare(0, 5) == 0);
  model.partition(0, false);
  model.run(30s);
  BOOST_TEST(model.meanShare(0, 5) > 0.1);
}

BOOST_AUTO_TEST_SUITE_END()
