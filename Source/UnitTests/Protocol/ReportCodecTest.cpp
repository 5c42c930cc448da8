#include "Common/ManualClock.h"
#include "Protocol/BurnCodec.h"
#include "Protocol/CauseCodec.h"

#include <boost/test/unit_test.hpp>

using namespace auburnroute;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(ReportCodecTest)

// Guards against a field that is lost between a daemon and the tool.
BOOST_AUTO_TEST_CASE(CausesSurviveTheRoundTrip) {
  common::ManualClock clock;
  state::CauseLedger ledger("sando-1", 42);
  ledger.record(clock.wallTime(), state::Cause::BackendServerReset, "counter",
                7, "counter-3", 4);
  const auto entries = ledger.since(clock.wallTime() - 1min);
  const auto decoded =
      protocol::decodeCauses(protocol::encodeCauses("sando-1", entries));
  BOOST_REQUIRE(decoded.ok());
  BOOST_TEST((*decoded == entries));
  BOOST_TEST(!protocol::decodeCauses("{").ok());
  BOOST_TEST(!protocol::decodeCauses("{\"entries\": [{}]}").ok());
}

// Guards against sums that drop or shift a host's minutes.
BOOST_AUTO_TEST_CASE(BurnOfHostsIsSummed) {
  protocol::HostBurn burn{"sando-1", 3min, {}};
  burn.Services["counter"] = {
      {}, {{5min, {9, 1, 0, 2, 9}}}, {{1, 0, 0, 0, 1}, {2, 0, 0, 0, 2}}};
  const auto decoded = protocol::decodeBurn(protocol::encodeBurn(burn));
  BOOST_REQUIRE(decoded.ok());
  std::map<std::string, protocol::ServiceBurn> sum;
  protocol::addBurn(sum, *decoded);
  burn.Services["counter"].Minutes = {{5, 0, 0, 0, 5}};
  protocol::addBurn(sum, burn);
  BOOST_TEST(sum["counter"].Windows[5min].Good == 18);
  BOOST_TEST(sum["counter"].Minutes[0].Good == 1);
  BOOST_TEST(sum["counter"].Minutes[1].Good == 7);
  BOOST_TEST(!protocol::decodeBurn("[]").ok());
}

BOOST_AUTO_TEST_SUITE_END()
