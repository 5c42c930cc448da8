#include "UnitTests/Fleet/FleetModel.h"
#include "UnitTests/Seeds.h"

#include <boost/test/unit_test.hpp>

#include <numeric>

using namespace auburnroute;
using namespace std::chrono_literals;
using fleet::RegistryCallKind;
using unittests::FleetModel;
using unittests::samplePage;
using unittests::sampleServer;
using unittests::ViewFixture;

namespace {

constexpr std::chrono::milliseconds BusyTime{9000};
constexpr std::chrono::milliseconds CalmTime{15000};

std::vector<std::uint64_t> firstSeeds(std::size_t n) {
  std::vector<std::uint64_t> all(n);
  std::iota(all.begin(), all.end(), 1);
  return all;
}

/// Runs a fleet of \p seed through \p drills restores of the registry and a
/// calm time. Returns what went wrong.
std::vector<std::string> faultsOf(std::uint64_t seed, int drills) {
  FleetModel fleet(seed);
  std::mt19937_64 random(seed);
  fleet.run(BusyTime, /*isCalm=*/false);
  for (int i = 0; i < drills; ++i) {
    fleet.restoreRegistry(std::chrono::milliseconds(500 + random() % 18000),
                          std::chrono::milliseconds(random() % 2500));
    fleet.run(BusyTime, /*isCalm=*/false);
  }
  fleet.run(CalmTime, /*isCalm=*/true);
  return fleet.faults();
}

} // namespace

BOOST_AUTO_TEST_SUITE(RestoredRegistryTest)

// A restored registry gives out revisions again. A watch from a revision of the
// lost history is answered without the changes below it, so a configuration
// that the operator wrote after the restore was never in force.
BOOST_AUTO_TEST_CASE(ConfigurationWrittenAtAReusedRevisionIsRead) {
  common::ManualClock clock;
  ViewFixture it;
  fleet::RegistryReader reader(it.View);
  const auto answer = [&](fleet::RegistryPage page, std::uint64_t era) {
    page.Era = era;
    reader.onPage(page, clock.now());
    clock.advance(reader.timing().WatchPause);
  };
  BOOST_REQUIRE(reader.nextCall(clock.now()).has_value());
  answer(samplePage(23, {sampleServer(1, 3)}, 11), 1);
  BOOST_REQUIRE(reader.nextCall(clock.now()).has_value());
  // Version 14 has revision 23 in the new history.
  answer(samplePage(24, {sampleServer(1, 24, routing::ServerState::Draining)}),
         2);
  const auto call = reader.nextCall(clock.now());
  BOOST_REQUIRE(call.has_value());
  BOOST_TEST((call->Kind == RegistryCallKind::List));
  answer(
      samplePage(24, {sampleServer(1, 24, routing::ServerState::Draining)}, 14),
      2);
  BOOST_TEST(it.View.configurationVersion() == 14U);
}

// Without a restore, hosts must agree with the registry, so that the next test
// finds faults of the restore only.
BOOST_AUTO_TEST_CASE(ViewsAgreeWithTheRegistryWithoutARestore) {
  for (const auto seed : unittests::seeds(firstSeeds(200)))
    for (const auto &it : faultsOf(seed, 0))
      BOOST_ERROR("seed " << seed << ": " << it);
}

// After restores of the registry, each view must agree with it again; no host
// may serve an older configuration than before, or a server that it knew to be
// leaving.
BOOST_AUTO_TEST_CASE(ViewsAgreeWithTheRegistryAfterRestores) {
  for (const auto seed : unittests::seeds(firstSeeds(1000)))
    for (const auto &it : faultsOf(seed, 1 + static_cast<int>(seed % 3)))
      BOOST_ERROR("seed " << seed << ": " << it);
}

BOOST_AUTO_TEST_SUITE_END()
