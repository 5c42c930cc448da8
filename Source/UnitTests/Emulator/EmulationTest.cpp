#include "Emulator/Emulation.h"
#include "Emulator/ExperimentReport.h"
#include "UnitTests/Seeds.h"

#include <boost/test/unit_test.hpp>

using namespace auburnroute;
using namespace std::chrono_literals;
using emulator::Candidate;
using emulator::Deployment;
using emulator::DisruptionKind;
using emulator::Emulation;
using emulator::EmulationResult;
using emulator::PlacementRule;

namespace {

/// Six hosts in two zones and ten servers at 25% of their capacity.
Deployment lightlyLoadedDeployment() {
  Deployment deployment;
  deployment.Zones = {{"a", 3, 1}, {"b", 3, 1}};
  deployment.Services = {{"orders", 10, 2, 8, 2000ms, 1.6}};
  emulator::RequestSpec feed;
  feed.Name = "feed";
  feed.Service = "orders";
  feed.ReusesFlow = true;
  feed.RatePerSecond = 180;
  feed.MeanWorkMs = 20;
  feed.Objective = 150ms;
  feed.TimeLimit = 1000ms;
  auto order = feed;
  order.Name = "order";
  order.ReusesFlow = false;
  order.Kind = routing::RequestKind::NonIdempotent;
  order.RatePerSecond = 70;
  deployment.Requests = {feed, order};
  deployment.Duration = 12s;
  return deployment;
}

EmulationResult runEmulation(const Deployment &deployment,
                             const Candidate &candidate = {},
                             std::uint64_t seed = 1) {
  return Emulation(deployment, candidate, seed).run();
}

} // namespace

BOOST_AUTO_TEST_SUITE(EmulationTest)

// Guards against models that lose or delay requests without a disruption.
BOOST_AUTO_TEST_CASE(ServesAllRequestsWithoutDisruption) {
  const auto deployment = lightlyLoadedDeployment();
  for (const auto seed : unittests::seeds({1, 2, 3})) {
    const auto result = runEmulation(deployment, {}, seed);
    BOOST_TEST(result.all().Total > 2500U);
    BOOST_TEST(result.all().Failed == 0U);
    BOOST_TEST(result.all().lateShare() < 0.03);
    BOOST_TEST(result.quantile(0.5).count() < 30);
  }
}

// Guards against candidates that are compared under different traffic, and
// against runs that cannot be reproduced.
BOOST_AUTO_TEST_CASE(EqualSeedsIssueTheSameRequests) {
  const auto deployment = lightlyLoadedDeployment();
  const auto once = runEmulation(deployment);
  const auto again = runEmulation(deployment);
  BOOST_TEST(once.all().EarnedCredit == again.all().EarnedCredit);
  BOOST_TEST(once.EventCount == again.EventCount);
  const auto other = runEmulation(
      deployment, {.Name = "random", .Rule = PlacementRule::Random});
  BOOST_TEST(once.all().Total == other.all().Total);
  BOOST_TEST(once.all().Total != runEmulation(deployment, {}, 2).all().Total);
}

// Guards against a model in which the loss of all hosts has no effect, or an
// effect that outlasts their restart.
BOOST_AUTO_TEST_CASE(RecoversAfterAllHostsLosePower) {
  auto deployment = lightlyLoadedDeployment();
  deployment.Disruptions = {
      {DisruptionKind::KillHosts, 5000ms, 1500ms, 1, 1, {}}};
  const auto result = runEmulation(deployment);
  BOOST_TEST(result.bySecond()[3].credit() > 0.95);
  BOOST_TEST(result.bySecond()[5].credit() < 0.5);
  BOOST_TEST(result.bySecond()[9].credit() > 0.95);
}

// Guards against new flows on crashed servers: unanswered packets make a server
// suspect long before its registration lapses.
BOOST_AUTO_TEST_CASE(SuspicionReducesTheEffectOfCrashedServers) {
  auto deployment = lightlyLoadedDeployment();
  deployment.HeartbeatInterval = 2000ms;
  deployment.Disruptions = {
      {DisruptionKind::CrashServers, 3000ms, 8000ms, 0.3, 1, {}}};
  double creditWithSuspicion = 0;
  double creditWithoutSuspicion = 0;
  for (const auto seed : unittests::seeds({1, 2, 3})) {
    creditWithSuspicion += runEmulation(deployment, {}, seed).all().credit();
    creditWithoutSuspicion +=
        runEmulation(deployment, {.Name = "none", .SuspicionHold = 0ms}, seed)
            .all()
            .credit();
  }
  BOOST_TEST(creditWithSuspicion > creditWithoutSuspicion);
}

// Guards against a model in which the placement of flows on busy servers makes
// no difference. The benchmark of the users ranks the rules in this order.
BOOST_AUTO_TEST_CASE(LeastLoadBeatsTwoChoicesAndRandom) {
  auto deployment = lightlyLoadedDeployment();
  for (auto &it : deployment.Requests) {
    it.RatePerSecond *= 2.4;
    it.ReusesFlow = false;
  }
  double leastLoadCredit = 0;
  double twoChoicesCredit = 0;
  double randomCredit = 0;
  for (const auto seed : unittests::seeds({1, 2, 3})) {
    leastLoadCredit += runEmulation(deployment, {}, seed).all().credit();
    twoChoicesCredit +=
        runEmulation(deployment,
                     {.Name = "two", .Rule = PlacementRule::TwoChoices}, seed)
            .all()
            .credit();
    randomCredit +=
        runEmulation(deployment,
                     {.Name = "random", .Rule = PlacementRule::Random}, seed)
            .all()
            .credit();
  }
  BOOST_TEST(leastLoadCredit > twoChoicesCredit);
  BOOST_TEST(twoChoicesCredit > randomCredit);
}

// Guards against requests that are not counted in a mix of disruptions, and
// against a mix from which the deployment does not recover.
BOOST_AUTO_TEST_CASE(CountsEachRequestInMixedDisruptions) {
  auto deployment = lightlyLoadedDeployment();
  deployment.Disruptions = {
      {DisruptionKind::ReplaceServers, 1000ms, 0ms, 0.5, 1, {}},
      {DisruptionKind::CutZone, 2000ms, 2000ms, 1, 1, "a"},
      {DisruptionKind::SlowServers, 3000ms, 2000ms, 0.3, 4, {}},
      {DisruptionKind::Burst, 4000ms, 1000ms, 1, 3, {}},
      {DisruptionKind::KillHosts, 4500ms, 700ms, 0.5, 1, {}},
      {DisruptionKind::CrashServers, 5000ms, 1000ms, 0.2, 1, {}}};
  for (const auto seed : unittests::seeds({1, 2, 3, 4, 5})) {
    const auto result = runEmulation(deployment, {}, seed);
    std::uint64_t total = 0;
    for (const auto &it : result.byRequest())
      total += it.Total;
    BOOST_TEST(total == result.all().Total);
    BOOST_TEST(result.all().credit() > 0.5);
  }
}

// Guards against a report that omits a candidate or its plot.
BOOST_AUTO_TEST_CASE(ReportListsEachCandidate) {
  auto deployment = lightlyLoadedDeployment();
  deployment.Duration = 2s;
  std::vector<emulator::CandidateResult> results;
  results.push_back({"first", {runEmulation(deployment)}});
  results.push_back(
      {"second", {runEmulation(deployment), runEmulation(deployment, {}, 2)}});
  const emulator::ExperimentReport report(deployment, results);
  for (const auto *name : {"first", "second"}) {
    BOOST_TEST(report.text().find(name) != std::string::npos);
    BOOST_TEST(report.json().find(name) != std::string::npos);
    BOOST_TEST(report.html().find(std::string("<h2>") + name) !=
               std::string::npos);
  }
}

BOOST_AUTO_TEST_SUITE_END()
