#include "State/BurnRate.h"
#include "Common/ManualClock.h"

#include <boost/test/unit_test.hpp>

using namespace auburnroute;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(BurnRateTest)

// Guards against windows that count too much or too little time.
BOOST_AUTO_TEST_CASE(WindowsSumTheirMinutes) {
  common::ManualClock clock;
  state::FlowOutcomeHistory history;
  for (int i = 0; i < 120; ++i) {
    history.add(clock.wallTime(), "counter", {9, 1, 0, 0, 9});
    clock.advance(1min);
  }
  clock.advance(-1min);
  BOOST_TEST(history.sum(clock.wallTime(), "counter", 5min).total() == 50);
  BOOST_TEST(history.sum(clock.wallTime(), "counter", 60min).total() == 600);
  BOOST_TEST(history.sum(clock.wallTime(), "other", 60min).total() == 0);
}

// Guards against a wrong rate: 1% bad flows spend a 0.1% budget 10 times too
// fast, and an alert needs both windows.
BOOST_AUTO_TEST_CASE(RatesAndAlerts) {
  state::ServicePolicy policy;
  policy.AvailabilityObjective = 0.999;
  policy.WaitObjectiveShare = 0.99;
  const state::FlowOutcomeCounts counts{990, 4, 6, 30, 1000};
  using state::Objective;
  BOOST_TEST(state::burnRate(counts, Objective::Availability, policy) == 10.0,
             boost::test_tools::tolerance(1e-9));
  BOOST_TEST(state::burnRate(counts, Objective::Wait, policy) == 3.0,
             boost::test_tools::tolerance(1e-9));
  BOOST_TEST(state::burnRate({}, Objective::Availability, policy) == 0);
  const auto &pair = state::BurnWindowPairs[0];
  BOOST_TEST(state::isAlerting(15, 15, pair));
  BOOST_TEST(!state::isAlerting(15, 1, pair));
  BOOST_TEST(!state::isAlerting(1, 15, pair));
}

BOOST_AUTO_TEST_SUITE_END()
