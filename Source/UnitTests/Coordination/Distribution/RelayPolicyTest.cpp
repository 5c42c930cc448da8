#include "Coordination/Distribution/RelayPolicy.h"
#include "Common/ManualClock.h"

#include <boost/test/unit_test.hpp>

using namespace auburnroute;
using distribution::RelayPolicy;
using state::Cause;

BOOST_AUTO_TEST_SUITE(RelayPolicyTest)

// Guards against a flood for unknown addresses that doubles the traffic between
// hosts, and against a limit that does not reset.
BOOST_AUTO_TEST_CASE(RateIsBoundedAndRecovers) {
  common::ManualClock clock;
  RelayPolicy policy;
  std::uint32_t relayed = 0;
  for (int i = 0; i < 10000; ++i)
    relayed += policy.shouldRelay(clock.now(), Cause::UnknownTag) ? 1 : 0;
  BOOST_TEST(relayed == RelayPolicy::PacketsPerInterval);
  clock.advance(RelayPolicy::Interval);
  BOOST_TEST(policy.shouldRelay(clock.now(), Cause::UnknownSource));
}

// Guards against relaying packets that no host can use.
BOOST_AUTO_TEST_CASE(OnlyUnknownPacketsAreRelayed) {
  common::ManualClock clock;
  RelayPolicy policy;
  for (const auto why : {Cause::Truncated, Cause::MissingTag, Cause::BadHeader,
                         Cause::NoSettings, Cause::BadHandOver})
    BOOST_TEST(!policy.shouldRelay(clock.now(), why));
  BOOST_TEST(policy.shouldRelay(clock.now(), Cause::UnknownAddress));
}

BOOST_AUTO_TEST_SUITE_END()
