#include "Coordination/Membership/ByteBudget.h"
#include "Common/ManualClock.h"

#include <boost/test/unit_test.hpp>

using namespace auburnroute;
using namespace membership;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(ByteBudgetTest)

// Guards against cause batches on top of a used-up budget: bytes that
// heartbeats spend must not be available to cause batches, even later.
BOOST_AUTO_TEST_CASE(MandatoryBytesComeFirst) {
  common::ManualClock clock;
  ByteBudget budget(clock.now(), 1000, 10s);
  BOOST_TEST(budget.available(clock.now()) == 10000U);
  for (int i = 0; i < 100; ++i) {
    budget.spend(clock.now(), 1200);
    clock.advance(1s);
  }
  BOOST_TEST(budget.available(clock.now()) == 0U);
  for (int i = 0; i < 100; ++i) {
    budget.spend(clock.now(), 400);
    clock.advance(1s);
  }
  BOOST_TEST(budget.available(clock.now()) > 0U);
}

// Guards against a large settings document, sent once, that blocks cause
// batches for minutes.
BOOST_AUTO_TEST_CASE(DebtIsBounded) {
  common::ManualClock clock;
  ByteBudget budget(clock.now(), 1000, 10s);
  budget.spend(clock.now(), 1'000'000);
  clock.advance(11s);
  BOOST_TEST(budget.available(clock.now()) == 1000U);
}

BOOST_AUTO_TEST_SUITE_END()
