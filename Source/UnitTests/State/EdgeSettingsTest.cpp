#include "State/EdgeSettings.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace auburnroute;
using namespace std::chrono_literals;

namespace {

const std::string Good = R"(// An edge host.
{
  "host": "front-a-1",
  "zone": "a",
  "packets": "10.1.0.10:8172",
  "ready": "10.1.0.10:8167",
  "control": "10.1.0.10:8166",
  "peers": "10.1.0.10:7720",
  "registry": "10.200.1.7:8169",
  "seeds": ["10.2.0.40:8166", "10.3.0.7:8166"],
  "stopTimeout": "2.5s"
}
)";

std::string with(const std::string &from, const std::string &to) {
  auto text = Good;
  const auto at = text.find(from);
  BOOST_REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

std::string errorsOf(const std::string &text) {
  const auto settings = state::loadEdgeSettings(text, "f");
  BOOST_REQUIRE(!settings.ok());
  return std::string(settings.status().message());
}

} // namespace

BOOST_AUTO_TEST_SUITE(EdgeSettingsTest)

BOOST_AUTO_TEST_CASE(GoodSettingsAreRead) {
  const auto settings = state::loadEdgeSettings(Good, "f");
  BOOST_REQUIRE(settings.ok());
  BOOST_TEST(settings->Host == "front-a-1");
  BOOST_TEST(settings->Packets.Port == 8172);
  BOOST_TEST(settings->Seeds.size() == 2U);
  BOOST_TEST((settings->StopTimeout == 2500ms));
  BOOST_TEST((settings->ChangeBound == 3000ms));
  BOOST_TEST((settings->registryBound() == 3000ms));
  // Either bound may be the smaller one.
  const auto bounds = [](const std::string &text) {
    const auto read = state::loadEdgeSettings(
        with(R"("stopTimeout")", text + R"(, "stopTimeout")"), "f");
    BOOST_REQUIRE(read.ok());
    return read->registryBound();
  };
  BOOST_TEST((bounds(R"("evacuationBound": "2s")") == 2000ms));
  BOOST_TEST((bounds(R"("evacuationBound": "5s")") == 3000ms));
  BOOST_TEST(settings->ColdStartOverage == 1);
  BOOST_TEST(settings->ColdStartSlack == 0);
  const auto limited = state::loadEdgeSettings(
      with(R"("stopTimeout")",
           R"("coldStartOverage": 1.5, "coldStartSlack": 5, "stopTimeout")"),
      "f");
  BOOST_REQUIRE(limited.ok());
  BOOST_TEST(limited->ColdStartOverage == 1.5);
  BOOST_TEST(limited->ColdStartSlack == 5);
  BOOST_TEST(state::loadEdgeSettings(
                 with(R"("10.2.0.40:8166", "10.3.0.7:8166")", ""), "f")
                 .ok());
}

// Guards against errors that do not say where and what.
BOOST_AUTO_TEST_CASE(ErrorsNameLinePathAndAcceptedValues) {
  const std::pair<std::string, std::string> cases[] = {
      {with(R"("zone": "a",)", ""), "f:2: zone"},
      {with(R"("10.1.0.10:8172")", R"("10.1.0.10")"), "f:5: packets"},
      {with(R"("2.5s")", R"("2.5")"), "f:11: stopTimeout"},
      {with(R"("2.5s")", R"(".s")"), "f:11: stopTimeout"},
      {with(R"("host")", R"("hots")"), "hots"},
      {with(R"("10.3.0.7:8166")", "7"), "seeds"},
  };
  for (const auto &[text, expected] : cases)
    BOOST_TEST(errorsOf(text).find(expected) != std::string::npos,
               errorsOf(text));
  BOOST_TEST(!state::loadEdgeSettings("", "f").ok());
  BOOST_TEST(!state::loadEdgeSettings("[1]", "f").ok());
}

BOOST_AUTO_TEST_SUITE_END()
