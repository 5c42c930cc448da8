#include "Fleet/EvidenceOwners.h"
#include "UnitTests/Fleet/OutlierZone.h"
#include "UnitTests/Seeds.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>

using namespace auburnroute;
using namespace std::chrono_literals;
using unittests::OutlierZone;
using unittests::ServerFault;

namespace {

constexpr routing::ServerId Faulty = 7;
constexpr std::chrono::seconds WarmUp{10};
/// Limit of the bytes that a host sends on average.
constexpr double MaxBytesPerSecond = 600;

/// The servers other than Faulty with a verdict.
std::set<routing::ServerId> wrongVerdicts(const OutlierZone &zone) {
  std::set<routing::ServerId> list;
  for (const auto &it : zone.Verdicts)
    if (it.Server != Faulty)
      list.insert(it.Server);
  return list;
}

/// Lets server Faulty fail with \p fault, and checks that the whole zone knows
/// within \p bound, that no other server has a verdict, and that no open flow
/// was reset.
void checkFault(ServerFault fault, const OutlierZone::Options &options,
                std::chrono::milliseconds bound,
                std::initializer_list<std::uint64_t> defaultSeeds = {1, 2, 3, 4,
                                                                     5}) {
  for (const auto seed : unittests::seeds(defaultSeeds))
    BOOST_TEST_CONTEXT("seed " << seed) {
      OutlierZone zone(options, seed);
      zone.run(WarmUp);
      BOOST_TEST(zone.Verdicts.empty());
      const auto start = zone.Clock.now();
      zone.setFault(Faulty, fault);
      zone.run(bound + 4s);
      const auto known = zone.knownAfter(Faulty, start);
      BOOST_TEST_MESSAGE("seed " << seed << ": known after " << known.count()
                                 << " ms");
      BOOST_TEST(known.count() <= bound.count());
      BOOST_TEST(wrongVerdicts(zone).empty());
      BOOST_TEST(zone.ResetFlows == 0);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(OutlierDetectorTest)

// A server that accepts requests and never answers keeps its callers waiting
// for their timeout of 2.5 s and more. 3 s bounds this to one timeout.
BOOST_AUTO_TEST_CASE(HungServerIsKnownWithinThreeSeconds) {
  checkFault(ServerFault::Hang, {}, 3s);
}

// At 2 requests/s a host sees one request of the server in eleven seconds.
BOOST_AUTO_TEST_CASE(HungServerWithFewRequestsIsKnownWithinSixSeconds) {
  checkFault(ServerFault::Hang, {.RatePerServer = 2, .LongShare = 0}, 6s);
}

BOOST_AUTO_TEST_CASE(HungServerIsKnownUnderPacketLoss) {
  checkFault(ServerFault::Hang, {.Loss = 0.02}, 4s);
}

// A server that answers with errors at once looks idle and attracts flows.
BOOST_AUTO_TEST_CASE(ServerWithErrorsIsKnown) {
  checkFault(ServerFault::Errors, {}, 6s);
}

BOOST_AUTO_TEST_CASE(ServerThatResetsFlowsIsKnown) {
  checkFault(ServerFault::Reset, {}, 4s);
}

BOOST_AUTO_TEST_CASE(SlowServerIsKnown) {
  checkFault(ServerFault::Slow, {}, 8s);
}

BOOST_AUTO_TEST_CASE(FlappingServerIsKnown) {
  checkFault(ServerFault::Flap, {}, 8s);
}

// A flapping server that got its flows back after each verdict would fail them
// in each of its turns.
BOOST_AUTO_TEST_CASE(FlappingServerIsHeldLongerEachTime) {
  OutlierZone zone({}, 1);
  zone.run(WarmUp);
  zone.setFault(Faulty, ServerFault::Flap);
  zone.run(60s);
  std::chrono::milliseconds longest{0};
  for (const auto &it : zone.Verdicts)
    longest = std::max(longest, it.Hold);
  BOOST_TEST(longest.count() >= 16000);
  BOOST_TEST(longest.count() <= 60000);
  BOOST_TEST(wrongVerdicts(zone).empty());
}

// A verdict that outlasts the fault costs a server, one that ends at once sends
// it all new flows.
BOOST_AUTO_TEST_CASE(RestoredServerGetsItsFlowsBackStepByStep) {
  OutlierZone zone({}, 1);
  zone.run(WarmUp);
  const auto before = zone.Placed[Faulty];
  zone.setFault(Faulty, ServerFault::Hang);
  zone.run(4s);
  BOOST_TEST(zone.hostsWithVerdict(Faulty) == 22U);
  const auto during = zone.Placed[Faulty];
  zone.run(4s);
  // 40 flows in 10 s before; one in twenty of the usual ones now.
  BOOST_TEST(before > 30U);
  BOOST_TEST(zone.Placed[Faulty] - during < 8U);
  zone.setFault(Faulty, ServerFault::None);
  zone.run(30s);
  BOOST_TEST(zone.hostsWithVerdict(Faulty) == 0U);
  const auto restored = zone.Placed[Faulty];
  zone.run(10s);
  BOOST_TEST(zone.Placed[Faulty] - restored > 20U);
}

// Normal variation must not take servers out: lognormal service times, loads of
// 0.2 to 0.9, busy callers that load servers unequally, cold servers, callers
// that close and give up early, and lost packets.
BOOST_AUTO_TEST_CASE(NormalVariationYieldsNoVerdict) {
  for (const auto seed : unittests::seeds({1, 2, 3}))
    for (const double load : {0.2, 0.5, 0.7, 0.9})
      BOOST_TEST_CONTEXT("seed " << seed << ", load " << load) {
        OutlierZone zone({.RatePerServer = load * 2000 / 30,
                          .Sigma = 1,
                          .Loss = 0.02,
                          .ColdShare = 0.2,
                          .BusyCallerShare = 0.1,
                          .HastyCallerShare = 0.1},
                         seed);
        zone.run(40s);
        for (const auto &it : zone.Verdicts)
          if (it.Evidence) {
            const auto &[recent, all, others, caller, several] =
                it.Evidence->Outcomes;
            BOOST_TEST_MESSAGE("server "
                               << it.Server << ' ' << toString(it.Kind) << ": "
                               << all.Unanswered << '/' << all.Slow << '/'
                               << all.requests() << " requests, mean "
                               << all.meanTime().count() << " ms, others "
                               << others.Unanswered << '/' << others.Slow << '/'
                               << others.requests() << ", mean "
                               << others.meanTime().count() << " ms; "
                               << it.Evidence->Reporters << " reporters");
          }
        BOOST_TEST(zone.Verdicts.empty());
        const double bytes = static_cast<double>(zone.MessageBytes) / 22 / 40;
        BOOST_TEST_MESSAGE("seed " << seed << ", load " << load << ": " << bytes
                                   << " bytes/s a host");
        BOOST_TEST(bytes < MaxBytesPerSecond);
      }
}

BOOST_AUTO_TEST_CASE(NothingIsSentWhileAllIsWell) {
  OutlierZone zone({.RatePerServer = 4, .Sigma = 0.3}, 1);
  zone.run(30s);
  BOOST_TEST(zone.MessageBytes == 0U);
}

// What a host sees in a fault of its own would be held against servers.
BOOST_AUTO_TEST_CASE(FaultOfAHostYieldsNoVerdict) {
  for (const auto seed : unittests::seeds({1, 2, 3, 4, 5}))
    BOOST_TEST_CONTEXT("seed " << seed) {
      OutlierZone zone({}, seed);
      zone.run(WarmUp);
      for (const auto time : {300ms, 700ms, 1500ms, 3000ms}) {
        zone.setCut(3, true);
        zone.setIsolated(4, true);
        zone.pause(5, time);
        zone.run(time);
        zone.setCut(3, false);
        zone.setIsolated(4, false);
        zone.run(6s);
      }
      BOOST_TEST(zone.Verdicts.empty());
    }
}

// More servers at once than a fifth: the cause is elsewhere.
BOOST_AUTO_TEST_CASE(AtMostAFifthOfTheServersIsAvoided) {
  OutlierZone zone({}, 1);
  zone.run(WarmUp);
  for (routing::ServerId id = 0; id < 20; ++id)
    zone.setFault(id, ServerFault::Hang);
  zone.run(10s);
  for (std::size_t host = 0; host < 22; ++host)
    BOOST_TEST(zone.degradedAt(host) <= 8U);
}

// The loss of an owner must not delay the verdict: the other one decides.
BOOST_AUTO_TEST_CASE(LossOfAnOwnerDelaysNothing) {
  for (const auto seed : unittests::seeds({1, 2, 3, 4, 5}))
    BOOST_TEST_CONTEXT("seed " << seed) {
      OutlierZone zone({}, seed);
      zone.run(WarmUp);
      std::vector<std::uint32_t> hosts;
      for (std::uint32_t n = 0; n < 22; ++n)
        hosts.push_back(OutlierZone::FirstAddress + n);
      const auto owners = fleet::EvidenceOwners::choose(Faulty + 1, hosts, 1);
      zone.kill(owners.front() - OutlierZone::FirstAddress);
      const auto start = zone.Clock.now();
      zone.setFault(Faulty, ServerFault::Hang);
      zone.run(5s);
      const auto known = zone.knownAfter(Faulty, start);
      BOOST_TEST_MESSAGE("seed " << seed << ": known after " << known.count()
                                 << " ms, first "
                                 << zone.firstAfter(Faulty, start).count());
      BOOST_TEST(known.count() <= 3000);
      BOOST_TEST(wrongVerdicts(zone).empty());
    }
}

// Two views of the zone have two pairs of owners with part of the evidence
// each.
BOOST_AUTO_TEST_CASE(TwoViewsOfTheZoneBothDecide) {
  OutlierZone zone({}, 1);
  zone.hideHostsFrom(11);
  zone.run(WarmUp);
  const auto start = zone.Clock.now();
  zone.setFault(Faulty, ServerFault::Hang);
  zone.run(6s);
  BOOST_TEST(zone.knownAfter(Faulty, start).count() <= 5000);
  BOOST_TEST(wrongVerdicts(zone).empty());
}

BOOST_AUTO_TEST_SUITE_END()
