#include "Common/ManualClock.h"
#include "State/BurnReportCodec.h"
#include "State/CauseCodec.h"

#include <boost/test/unit_test.hpp>

using namespace auburnroute;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(ReportCodecTest)

// Guards against a field that is lost between a daemon and the tool.
BOOST_AUTO_TEST_CASE(DecodedCausesEqualEncodedOnes) {
  common::ManualClock clock;
  state::CauseStore store("sando-1", 42);
  store.record(clock.wallTime(), state::Cause::BackendServerReset, "counter", 7,
               "counter-3", 4);
  const auto entries = store.since(clock.wallTime() - 1min);
  const auto decoded =
      state::decodeCauses(state::encodeCauses("sando-1", entries));
  BOOST_REQUIRE(decoded.ok());
  BOOST_TEST((*decoded == entries));
  BOOST_TEST(!state::decodeCauses("{").ok());
  BOOST_TEST(!state::decodeCauses("{\"entries\": [{}]}").ok());
}

// Guards against sums that drop the minutes of a host or align them wrongly.
BOOST_AUTO_TEST_CASE(BurnReportsOfHostsAreSummed) {
  state::HostBurnReport burn{"sando-1", 3min, {}};
  burn.Services["counter"] = {
      {}, {{5min, {9, 1, 0, 2, 9}}}, {{1, 0, 0, 0, 1}, {2, 0, 0, 0, 2}}};
  const auto decoded = state::decodeBurnReport(state::encodeBurnReport(burn));
  BOOST_REQUIRE(decoded.ok());
  std::map<std::string, state::ServiceBurnReport> sum;
  state::addBurnReport(sum, *decoded);
  burn.Services["counter"].Minutes = {{5, 0, 0, 0, 5}};
  state::addBurnReport(sum, burn);
  BOOST_TEST(sum["counter"].Windows[5min].Good == 18);
  BOOST_TEST(sum["counter"].Minutes[0].Good == 1);
  BOOST_TEST(sum["counter"].Minutes[1].Good == 7);
  BOOST_TEST(!state::decodeBurnReport("[]").ok());
}

// Guards against a name with invalid UTF-8, as the configuration of a peer may
// have it, that ends the process when a report is written.
BOOST_AUTO_TEST_CASE(ReportsCanBeWrittenForAnyName) {
  const std::string name = "orders\xff\xfe";
  common::ManualClock clock;
  state::CauseStore store(name, 42);
  store.record(clock.wallTime(), state::Cause::NoRoute, name, 7, name);
  const auto causes = state::decodeCauses(
      state::encodeCauses(name, store.since(clock.wallTime() - 1min)));
  BOOST_REQUIRE(causes.ok());
  BOOST_TEST(causes->size() == 1U);
  state::HostBurnReport burn{name, 3min, {}};
  burn.Services[name] = {};
  BOOST_TEST(state::decodeBurnReport(state::encodeBurnReport(burn)).ok());
}

BOOST_AUTO_TEST_SUITE_END()
