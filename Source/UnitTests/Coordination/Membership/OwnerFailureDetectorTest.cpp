#include "Coordination/Membership/OwnerFailureDetector.h"
#include "UnitTests/Seeds.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <iterator>
#include <random>
#include <sstream>

using namespace auburnroute;
using namespace std::chrono_literals;
using membership::OwnerFailureDetector;

namespace {

/// One host that sees SYNs and SYN-ACKs of service 0 at random times.
struct SimulatedService {
  explicit SimulatedService(std::uint64_t seed) : Random(seed) {
    Detector.reset(1);
  }

  /// Both rates are per second. Stops at the first probe if \p untilProbe.
  /// Returns the number of probes requested.
  int run(double syns, double synAcks, std::chrono::nanoseconds length,
          bool untilProbe = false) {
    const auto end = Now + length;
    auto nextSyn = Now + draw(syns);
    auto nextSynAck = Now + draw(synAcks);
    int probes = 0;
    while (std::min(nextSyn, nextSynAck) < end) {
      Now = std::min(nextSyn, nextSynAck);
      if (Now == nextSynAck) {
        Detector.onSynAck(Now, 0);
        nextSynAck = Now + draw(synAcks);
        continue;
      }
      probes += Detector.onSyn(Now, 0) ? 1 : 0;
      if (untilProbe && probes > 0)
        return probes;
      nextSyn = Now + draw(syns);
    }
    Now = end;
    return probes;
  }

  std::chrono::nanoseconds draw(double rate) {
    if (rate == 0)
      return 24h;
    return std::chrono::nanoseconds(static_cast<std::int64_t>(
        std::exponential_distribution<double>(rate)(Random) * 1e9));
  }

  OwnerFailureDetector Detector;
  common::TimePoint Now{1h};
  std::mt19937_64 Random;
};

} // namespace

BOOST_AUTO_TEST_SUITE(OwnerFailureDetectorTest)

// Guards against probes of working owners: none at rates where heartbeats
// detect a failure as fast, and none at high rates, where SYN-ACKs leave no
// long gaps.
BOOST_AUTO_TEST_CASE(WorkingOwnerIsNotProbed) {
  for (const auto seed : unittests::seeds({1, 2, 3})) {
    BOOST_TEST(SimulatedService(seed).run(1, 1, 1h) == 0);
    BOOST_TEST(SimulatedService(seed).run(5000, 5000, 30s) == 0);
  }
}

// Guards against frequent probes at medium rates, where several SYNs in a row
// without a SYN-ACK occur by chance.
BOOST_AUTO_TEST_CASE(FalseProbesAreRare) {
  for (const auto seed : unittests::seeds({1, 2, 3}))
    for (const auto rate : {10, 30, 100, 300})
      BOOST_TEST_CONTEXT("seed " << seed << ", " << rate << " SYNs a second") {
        BOOST_TEST(SimulatedService(seed).run(rate, rate, 1h) <= 60);
      }
}

// Guards against frequent probes while all slots are busy: SYNs are then
// queued, and SYN-ACKs arrive only as slots free up.
BOOST_AUTO_TEST_CASE(BusySlotsAreNotTakenForFailure) {
  for (const auto seed : unittests::seeds({1, 2, 3}))
    for (const auto synAcks : {2, 5, 10, 30, 100})
      BOOST_TEST_CONTEXT("seed " << seed << ", " << synAcks
                                 << " SYN-ACKs a second") {
        BOOST_TEST(SimulatedService(seed).run(500, synAcks, 10min) <= 40);
      }
}

// Guards against late detection of a lost owner.
BOOST_AUTO_TEST_CASE(LostOwnerIsProbed) {
  struct Case {
    double Rate;
    std::chrono::milliseconds Limit;
  };
  for (const auto seed : unittests::seeds({1, 2, 3}))
    for (const auto [rate, limit] :
         {Case{30, 800ms}, Case{100, 300ms}, Case{5000, 110ms}}) {
      SimulatedService service(seed);
      service.run(rate, rate, 20s);
      const auto lost = service.Now;
      BOOST_TEST(service.run(rate, 0, 5s, true) == 1);
      BOOST_TEST((service.Now - lost <= limit));
    }
}

// Guards against a probe per SYN while no owner can place flows, as when all
// backend servers of a service are down.
BOOST_AUTO_TEST_CASE(ProbesAreRateLimited) {
  SimulatedService service(1);
  service.run(1000, 1000, 10s);
  // 1 + 2 + 4 + 8 + 16 s apart, then 32 s.
  BOOST_TEST(service.run(1000, 0, 60s) <= 7);
  service.run(1000, 1000, 10s);
  BOOST_TEST(service.run(1000, 0, 1s) == 1);
  // A new owner may be lost as well.
  service.Detector.onNewOwner(0);
  BOOST_TEST(service.run(1000, 0, 500ms) == 1);
}

BOOST_AUTO_TEST_SUITE_END()
