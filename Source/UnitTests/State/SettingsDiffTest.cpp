#include "State/SettingsDiff.h"

#include "State/RendezvousHash.h"
#include "State/SettingsLoader.h"

#include "SettingsSamples.h"

#include <boost/test/unit_test.hpp>

using namespace auburnroute::state;

namespace {

Settings load(const std::string &text) {
  auto settings = loadSettings(text, "f");
  if (!settings.ok())
    throw std::runtime_error(std::string(settings.status().message()));
  return *std::move(settings);
}

/// The service `counter` with 15 backend servers of equal weight, and another
/// service.
Settings exampleSettings() {
  return load(readSource("examples/carenage.json"));
}

Service &counter(Settings &settings) {
  return *std::find_if(settings.Services.begin(), settings.Services.end(),
                       [](const auto &it) { return it.Name == "counter"; });
}

void useHash(Settings &settings) {
  for (auto &it : counter(settings).PolicyByZone)
    it.Timestamps = TimestampMode::Hash;
}

SettingsDiff diffTo(Settings after) {
  ++after.Revision;
  return SettingsDiff::between(exampleSettings(), after);
}

bool hasChange(const SettingsDiff &diff, ChangeKind kind,
               std::string_view subject) {
  for (const auto &service : diff.Services)
    for (const auto &it : service.Changes)
      if (it.Kind == kind && it.Subject == subject)
        return true;
  return false;
}

std::vector<std::string> warnings(const SettingsDiff &diff) {
  std::vector<std::string> kinds;
  for (const auto &it : diff.Warnings)
    kinds.emplace_back(toString(it.Kind));
  return kinds;
}

using Kinds = std::vector<std::string>;

} // namespace

BOOST_AUTO_TEST_SUITE(SettingsDiffTest)

// Guards against changes that are reported for settings that do not differ.
BOOST_AUTO_TEST_CASE(SameContentHasNoDifference) {
  const auto diff = diffTo(exampleSettings());
  BOOST_TEST(diff.empty());
  BOOST_TEST(diff.Warnings.empty());
  BOOST_CHECK(
      warnings(SettingsDiff::between(exampleSettings(), exampleSettings())) ==
      Kinds{"RevisionNotHigher"});
}

// Guards against a planned change that is reported to break tagged flows.
BOOST_AUTO_TEST_CASE(PlannedChangesBreakNoTaggedFlow) {
  auto after = exampleSettings();
  auto &servers = counter(after).BackendServers;
  servers[0].Mode = BackendServerMode::Draining;
  servers[1].Weight = 2;
  auto added = servers[2];
  added.Name = "counter-16";
  added.Number = 16;
  added.Address += 100;
  servers.push_back(added);
  const auto diff = diffTo(after);
  BOOST_CHECK(hasChange(diff, ChangeKind::BackendServerDrained, "counter-1"));
  BOOST_CHECK(
      hasChange(diff, ChangeKind::BackendServerReweighted, "counter-2"));
  BOOST_CHECK(hasChange(diff, ChangeKind::BackendServerAdded, "counter-16"));
  BOOST_TEST(diff.Warnings.empty());
  BOOST_REQUIRE(diff.Services.size() == 1);
  BOOST_TEST(diff.Services[0].Shares->Established == 0);
  BOOST_CHECK(!diff.Services[0].Shares->Untagged);
  // Weights 15 x 1 become 12 x 1, 2 and 1 of 16 servers, 16 in all.
  const auto gained = (2.0 / 16 - 1.0 / 15) + 1.0 / 16;
  BOOST_TEST(diff.Services[0].Shares->New == gained,
             boost::test_tools::tolerance(1e-9));
}

// Guards against risky changes that pass without a warning.
BOOST_AUTO_TEST_CASE(RiskyChangesGiveWarnings) {
  auto after = exampleSettings();
  counter(after).BackendServers.erase(counter(after).BackendServers.begin());
  auto diff = diffTo(after);
  BOOST_CHECK(warnings(diff) == Kinds{"RemovedWithoutDraining"});
  BOOST_TEST(diff.Services[0].Shares->Established == 1.0 / 15,
             boost::test_tools::tolerance(1e-9));

  after = exampleSettings();
  counter(after).BackendServers[3].Address += 100;
  BOOST_CHECK(warnings(diffTo(after)) == Kinds{"NumberReused"});

  after = exampleSettings();
  ++after.FlowSeed;
  BOOST_CHECK(warnings(diffTo(after)) == Kinds{"FlowSeedChanged"});

  after = exampleSettings();
  std::swap(after.Services[0].Listeners[0].Address,
            after.Services[1].Listeners[0].Address);
  const auto moved = warnings(diffTo(after));
  BOOST_TEST(std::count(moved.begin(), moved.end(), "AddressMoved") == 2);

  after = exampleSettings();
  after.Services.erase(after.Services.begin());
  BOOST_CHECK(warnings(diffTo(after)) == Kinds{"RemovedWithoutDraining"});
}

// Guards against a backend server address that changes service unnoticed; the
// port counts, since services may share a machine.
BOOST_AUTO_TEST_CASE(MovedBackendServerAddressGivesWarning) {
  const std::string text(SampleSettings);
  const auto before = load(text);
  auto after = load(replaceOnce(replaceOnce(text, "192.0.2.2\"", "192.0.2.9\""),
                                "192.0.2.3\"", "192.0.2.2\""));
  after.Revision = 8;
  BOOST_TEST(warnings(SettingsDiff::between(before, after)).size() == 2);
  after.Services[1].Listeners[0].BackendPort = 91;
  const auto kinds = warnings(SettingsDiff::between(before, after));
  BOOST_TEST(std::count(kinds.begin(), kinds.end(), "AddressMoved") == 1);
}

// Guards against policy changes that are lost where zones differ.
BOOST_AUTO_TEST_CASE(PolicyChangesNameTheirZones) {
  auto after = exampleSettings();
  counter(after).PolicyByZone[1].QueueLimit = 9;
  for (auto &it : counter(after).PolicyByZone)
    it.EjectAfter = 4;
  const auto diff = diffTo(after);
  BOOST_CHECK(
      hasChange(diff, ChangeKind::PolicyChanged, "queueLimit in zone pointe"));
  BOOST_CHECK(hasChange(diff, ChangeKind::PolicyChanged, "ejectAfter"));
}

// Guards against an estimate that is off: rendezvous hashing moves the share
// of the added server, the flows of the removed one, and nothing on draining.
BOOST_AUTO_TEST_CASE(UntaggedShareMatchesTheWeights) {
  auto before = exampleSettings();
  useHash(before);
  const auto share = [&](const Settings &after) {
    const auto diff = SettingsDiff::between(before, after);
    return *diff.Services.at(0).Shares->Untagged;
  };
  auto after = before;
  auto added = counter(after).BackendServers[0];
  added.Number = 16;
  added.Weight = 3;
  counter(after).BackendServers.push_back(added);
  BOOST_TEST(std::abs(share(after) - 3.0 / 18) < 0.015);
  after = before;
  counter(after).BackendServers.erase(counter(after).BackendServers.begin() +
                                      4);
  BOOST_TEST(std::abs(share(after) - 1.0 / 15) < 0.01);
  after = before;
  counter(after).BackendServers[4].Mode = BackendServerMode::Draining;
  BOOST_TEST(share(after) == 0);
  after = before;
  for (auto &it : counter(after).PolicyByZone)
    it.Timestamps = TimestampMode::Refuse;
  BOOST_TEST(share(after) == 1);
}

// Guards against placement that depends on the order of the servers.
BOOST_AUTO_TEST_CASE(RendezvousIgnoresOrder) {
  std::vector<RendezvousHash::Candidate> list{{1, 1}, {2, 5}, {3, 2}};
  for (const auto seed : testSeeds())
    for (std::uint64_t i = 0; i < 100; ++i) {
      const auto first = RendezvousHash::choose(list, seed * 1000 + i);
      std::swap(list[0], list[i % 3]);
      BOOST_TEST(RendezvousHash::choose(list, seed * 1000 + i) == first);
    }
  BOOST_TEST(RendezvousHash::choose({}, 1) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
