#include "UnitTests/Routing/RoutingFixture.h"

#include "Routing/DegradedServers.h"

#include <boost/test/unit_test.hpp>

using namespace auburnroute;
using namespace std::chrono_literals;
using routing::DegradedServers;
using unittests::RoutingFixture;

BOOST_AUTO_TEST_SUITE(DegradedServersTest)

// A zone whose servers are a part of the service must keep four fifths of them,
// since most new flows stay within the zone.
BOOST_AUTO_TEST_CASE(AtMostAFifthOfAZoneIsDegraded) {
  RoutingFixture it;
  for (std::uint64_t n = 1; n <= 40; ++n)
    it.add(n, "orders", n <= 10 ? "a" : "b");
  DegradedServers degraded(it.Directory, 1);
  std::size_t count = 0;
  for (std::uint64_t n = 1; n <= 10; ++n)
    count += degraded.apply(it.Directory.idOf(*it.Directory.findByIdentity(n)),
                            1, DegradedServers::MaxLevel, 4s,
                            it.Clock.now()) == DegradedServers::Outcome::New;
  BOOST_TEST(count == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
