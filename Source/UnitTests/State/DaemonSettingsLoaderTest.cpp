#include "State/DaemonSettingsLoader.h"

#include "SettingsSamples.h"

#include <boost/test/unit_test.hpp>

using namespace auburnroute::state;
using namespace std::chrono_literals;

namespace {

const std::string Sample = R"({ // Comment.
  "host": "h1", "zone": "z1",
  "packets": "0.0.0.0:1", "admission": "127.0.0.1:2",
  "peer": "127.0.0.1:3", "operator": "127.0.0.1:4",
  "gateway": "127.0.0.1:5",
  "sharedKey": "0123456789abcdef",
  "seeds": ["127.0.0.1:6",
            "127.0.0.1:7"],
  "deadAfter": "4s"
})";

std::string errorsWithReplacement(std::string_view from, std::string_view to) {
  const auto settings = loadDaemonSettings(replaceOnce(Sample, from, to), "f");
  return std::string(settings.status().message());
}

} // namespace

BOOST_AUTO_TEST_SUITE(DaemonSettingsLoaderTest)

// Guards against values that are lost, and against wrong defaults.
BOOST_AUTO_TEST_CASE(ReadsValuesAndDefaults) {
  const auto settings = loadDaemonSettings(Sample, "f");
  BOOST_REQUIRE_MESSAGE(settings.ok(), settings.status().message());
  BOOST_TEST(settings->Host == "h1");
  BOOST_TEST(settings->Gateway.Port == 5);
  BOOST_TEST(settings->Seeds.size() == 2);
  BOOST_TEST(settings->SharedKey == "0123456789abcdef");
  BOOST_CHECK(!settings->Platform);
  BOOST_TEST(settings->TrafficThreads == 1);
  BOOST_CHECK(settings->SuspectAfter == 1s);
  BOOST_CHECK(settings->DeadAfter == 4s);
  BOOST_CHECK(settings->StopQuiet == 500ms);
}

// Guards against an example that is not accepted, and against a platform
// endpoint that is parsed but not stored.
BOOST_AUTO_TEST_CASE(ReadsTheExample) {
  const auto settings =
      loadDaemonSettings(readSource("examples/daemon.json"), "f");
  BOOST_REQUIRE_MESSAGE(settings.ok(), settings.status().message());
  BOOST_REQUIRE(settings->Platform.has_value());
  BOOST_TEST(settings->Platform->Port == 19000);
}

// Guards against a wrong line or reason, and against messages that disclose
// the shared key.
BOOST_AUTO_TEST_CASE(EachErrorHasItsLine) {
  BOOST_TEST(errorsWithReplacement("0123456789abcdef", "secret") ==
             "f:6: sharedKey: has 6 characters, expected a text of 16 to 1024 "
             "characters");
  BOOST_TEST(errorsWithReplacement("0123456789abcdef\"", "secret\n") ==
             "f:6: document: not valid JSON (syntax error while parsing value "
             "- invalid string: control character U+000A (LF) must be escaped "
             "to \\u000A or \\n), expected a JSON document, comments allowed");
  BOOST_TEST(errorsWithReplacement(R"("gateway": "127.0.0.1:5",)", "") ==
             "f:1: gateway: is missing, expected an address and port such as "
             "192.0.2.1:8001");
  BOOST_TEST(errorsWithReplacement("127.0.0.1:7", "127.0.0.1") ==
             "f:8: seeds[1]: \"127.0.0.1\" is not an address and port, "
             "expected an address and port such as 192.0.2.1:8001");
  BOOST_TEST(
      errorsWithReplacement("127.0.0.1:2", "0.0.0.0:1") ==
      "f:3: admission: 0.0.0.0:1 is also used by \"packets\", expected a "
      "different endpoint");
  BOOST_TEST(errorsWithReplacement("4s", "1s") ==
             "f:9: deadAfter: 1s is not above \"suspectAfter\", expected more "
             "than 1s");
  // Without deadAfter, its default of 3s applies.
  BOOST_TEST(errorsWithReplacement(R"("deadAfter": "4s")",
                                   R"("suspectAfter": "5s")") ==
             "f:9: deadAfter: 3s is not above \"suspectAfter\", expected more "
             "than 5s");
  BOOST_TEST(errorsWithReplacement("seeds", "sedes") ==
             "f:7: sedes: is an unknown key, expected a known key, the nearest "
             "is \"seeds\"");
  BOOST_TEST(loadDaemonSettings("[]", "f").status().message() ==
             "f:1: document: is an array, expected an object");
}

BOOST_AUTO_TEST_SUITE_END()
