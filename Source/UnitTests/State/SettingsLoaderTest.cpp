#include "State/SettingsLoader.h"
#include "State/JsonReader.h"
#include "State/SettingsReader.h"

#include "SettingsSamples.h"

#include <boost/test/unit_test.hpp>

#include <nlohmann/json.hpp>
#include <xxhash.h>

using namespace auburnroute::state;
using namespace std::chrono_literals;

namespace {

const std::string Sample(SampleSettings);

std::string errorsOf(std::string_view text) {
  const auto settings = loadSettings(text, "f");
  return std::string(settings.status().message());
}

/// Errors of the sample with one edit.
std::string errorsWithReplacement(std::string_view from, std::string_view to) {
  return errorsOf(replaceOnce(Sample, from, to));
}

} // namespace

BOOST_AUTO_TEST_SUITE(SettingsLoaderTest)

// Guards against values that are read into the wrong field or lost.
BOOST_AUTO_TEST_CASE(ReadsEveryField) {
  const auto settings = loadSettings(Sample, "f");
  BOOST_REQUIRE_MESSAGE(settings.ok(), settings.status().message());
  BOOST_TEST(settings->Revision == 7);
  BOOST_TEST(settings->FlowSeed == 11);
  BOOST_TEST(settings->Region == "r");
  BOOST_REQUIRE(settings->Services.size() == 2);
  const auto &a = settings->Services[0];
  const BackendServer expected{"a1",
                               1,
                               "z1",
                               0xC0000201,
                               {0x7F000001, 1001},
                               {0x7F000001, 2001},
                               BackendServerMode::Active,
                               3,
                               2,
                               20};
  BOOST_CHECK(a.BackendServers[0] == expected);
  BOOST_CHECK(a.Listeners[0] ==
              (Listener{{0xC6336401, 80}, ListenerKind::Feed, 91}));
  const auto &b = settings->Services[1];
  BOOST_CHECK(b.Listeners[0].Kind == ListenerKind::Request);
  BOOST_CHECK(b.BackendServers[0].Mode == BackendServerMode::Draining);
  BOOST_TEST(b.BackendServers[0].Connections == 2000);
}

// Guards against a layer that overrides a later one.
BOOST_AUTO_TEST_CASE(LaterLayersOverrideEarlierOnes) {
  const auto settings = loadSettings(Sample, "f");
  BOOST_REQUIRE(settings.ok());
  const auto &a = settings->Services[0].PolicyByZone;
  const auto &b = settings->Services[1].PolicyByZone;
  BOOST_REQUIRE(a.size() == 2);
  BOOST_TEST(a[0].QueueLimit == 40);
  BOOST_CHECK(a[0].QueueTimeout == 600ms);
  BOOST_CHECK(a[0].SlowStart == 5s);
  BOOST_CHECK(a[1].SlowStart == 10s);
  BOOST_TEST(b[0].QueueLimit == 20);
  BOOST_TEST(b[1].QueueLimit == 10);
  BOOST_CHECK(b[1].QueueTimeout == 700ms);
}

// Guards against hosts that compute different digests for the same content.
BOOST_AUTO_TEST_CASE(DigestIgnoresLayoutAndOrder) {
  const auto json = nlohmann::json::parse(Sample, nullptr, true, true);
  const auto canonical = json.dump();
  const auto first = loadSettings(Sample, "f");
  const auto second = loadSettings(json.dump(4), "g");
  BOOST_REQUIRE(first.ok() && second.ok());
  BOOST_TEST(first->Digest == XXH3_64bits(canonical.data(), canonical.size()));
  BOOST_TEST(first->Digest == second->Digest);
  BOOST_CHECK(first->Services == second->Services);
}

struct ErrorCase {
  std::string_view From;
  std::string_view To;
  std::string_view Errors;
};

std::ostream &operator<<(std::ostream &out, const ErrorCase &it) {
  return out << it.To;
}

const ErrorCase Errors[] = {
    // Type, range, unit.
    {R"("revision": 7)", R"("revision": "7")",
     "f:2: revision: is a string, expected an integer from 1 to "
     "9223372036854775807"},
    {R"("revision": 7)", R"("revision": 18446744073709551615)",
     "f:2: revision: 18446744073709551615 is out of range, expected an integer "
     "from 1 to 9223372036854775807"},
    {R"("queueLimit": 10)", R"("queueLimit": 1.5)",
     "f:4: defaults.queueLimit: 1.5 is not an integer, expected an integer "
     "from 0 to 65536"},
    {R"("queueLimit": 20)", R"("queueLimit": -1)",
     "f:6: zones.z1.queueLimit: -1 is out of range, expected an integer from 0 "
     "to 65536"},
    {R"("700ms")", R"("700")",
     "f:5: defaults.queueTimeout: \"700\" has no unit, expected a duration "
     "from 1ms to 1m such as \"800ms\", \"10s\" or \"5m\""},
    {R"("700ms")", "700",
     "f:5: defaults.queueTimeout: is a number, expected a duration from 1ms to "
     "1m such as \"800ms\", \"10s\" or \"5m\""},
    {R"("700ms")", R"("7h")",
     "f:5: defaults.queueTimeout: \"7h\" has an unknown unit, expected a "
     "duration from 1ms to 1m such as \"800ms\", \"10s\" or \"5m\""},
    {R"("700ms")", R"("2m")",
     "f:5: defaults.queueTimeout: \"2m\" is out of range, expected a duration "
     "from 1ms to 1m such as \"800ms\", \"10s\" or \"5m\""},
    {R"("queueLimit": 40)", R"("maxEjectedShare": 1.5)",
     "f:12: services.a.maxEjectedShare: 1.5 is out of range, expected a number "
     "from 0 to 1"},
    {R"("kind": "feed")", R"("kind": "stream")",
     "f:14: services.a.listeners[0].kind: \"stream\" is unknown, expected one "
     "of request, feed"},
    {R"("queueLimit": 40)", R"("reportTtl": "500ms")",
     "f:12: services.a: reportTtl 500ms is shorter than reportInterval 1s in "
     "zone z1, expected reportTtl of at least reportInterval\n"
     "f:12: services.a: reportTtl 500ms is shorter than reportInterval 1s in "
     "zone z2, expected reportTtl of at least reportInterval"},
    // Keys and names.
    {R"("queueLimit": 10)", R"("queueLimits": 10)",
     "f:4: defaults.queueLimits: is an unknown key, expected a known key, the "
     "nearest is \"queueLimit\""},
    {R"("slots": 2)", R"("slot": 2)",
     "f:22: services.a.backendServers[0].slot: is an unknown key, expected a "
     "known key, the nearest is \"slots\""},
    {R"("queueLimit": 40)", R"("owner": "o2")",
     "f:12: services.a.owner: is a duplicate key, expected each key once"},
    {R"("z2": {})", R"("z1": {})",
     "f:6: zones.z1: is a duplicate name, expected each name once\n"
     "f:23: services.a.backendServers[1].zone: \"z2\" is missing from zones, "
     "expected the name of a zone"},
    {R"("b": {)", R"("a": {)",
     "f:27: services.a: is a duplicate name, expected each name once"},
    {R"("region": "r")", R"("region": "r 1")",
     "f:2: region: \"r 1\" is not a name, expected a name of 1 to 63 "
     "characters (letters, digits, '.', '_', '-')"},
    {R"("name": "a2")", R"("name": "a1")",
     "f:23: services.a.backendServers[1].name: a1 is already used on line 19, "
     "expected a unique value"},
    // References.
    {R"("owner": "o1")", R"("owner": "o3")",
     "f:11: services.a.owner: \"o3\" is missing from owners, expected the name "
     "of an owner"},
    {R"("zone": "z2")", R"("zone": "z3")",
     "f:23: services.a.backendServers[1].zone: \"z3\" is missing from zones, "
     "expected the name of a zone"},
    // Numbers and addresses.
    {R"("number": 2)", R"("number": 4096)",
     "f:23: services.a.backendServers[1].number: 4096 is out of range, "
     "expected an integer from 1 to 4095"},
    {R"("number": 2)", R"("number": 1)",
     "f:23: services.a.backendServers[1].number: #1 is already used on line "
     "19, expected a unique value"},
    {R"("192.0.2.2")", R"("192.0.2.256")",
     "f:23: services.a.backendServers[1].address: \"192.0.2.256\" is not an "
     "address, expected an IPv4 address such as 192.0.2.11"},
    {R"("127.0.0.1:1002")", R"("0.0.0.0:1002")",
     "f:24: services.a.backendServers[1].tunnel: 0.0.0.0 is not the address of "
     "a host, expected an address and port such as 192.0.2.1:8001"},
    {R"("127.0.0.1:1001")", R"("127.0.0.1")",
     "f:20: services.a.backendServers[0].tunnel: \"127.0.0.1\" is not an "
     "address and port, expected an address and port such as 192.0.2.1:8001"},
    {R"("198.51.100.2:80")", R"("198.51.100.1:81")",
     "f:29: services.b.listeners[0].address: 198.51.100.1:81 is already used "
     "on line 15, expected a unique value"},
    {R"("backendPort": 92)", R"("backendPort": 91)",
     "f:16: services.a.listeners[1].backendPort: 91 is already used on line "
     "14, expected a unique value\n"
     "f:19: services.a.backendServers[0].address: 192.0.2.1:91 is already used "
     "on line 19, expected a unique value\n"
     "f:23: services.a.backendServers[1].address: 192.0.2.2:91 is already used "
     "on line 23, expected a unique value"},
    {R"("192.0.2.3")", R"("192.0.2.1")", ""}, // Another port: no conflict.
    {R"("127.0.0.1:2003")", R"("127.0.0.1:2001")",
     "f:32: services.b.backendServers[0].loadReport: 127.0.0.1:2001 is already "
     "used on line 21, expected a unique value"},
    // Presence.
    {R"("tunnel": "127.0.0.1:1001",)", "",
     "f:19: services.a.backendServers[0].tunnel: is missing, expected an "
     "address and port such as 192.0.2.1:8001"},
    {R"([ { "address": "198.51.100.2:80", "backendPort": 93 } ])", "[]",
     "f:29: services.b.listeners: has 0 items, expected an array of 1 to 64 "
     "items"},
    {R"("zones": { "z1": { "slowStart": "5s", "queueLimit": 20 }, "z2": {} },)",
     "", "f:1: zones: is missing, expected an object with names"},
    {R"("o2": {})", R"("o2": 3)",
     "f:8: owners.o2: is a number, expected an "
     "object"},
    // Syntax.
    {R"("700ms" },)", R"("700ms" )",
     "f:6: document: not valid JSON (syntax error while parsing object - "
     "unexpected string literal; expected '}'), expected a JSON document, "
     "comments allowed"},
    {R"("queueLimit": 10,)",
     R"("queueLimit": [[[[[[[[[[[[[[[1]]]]]]]]]]]]]]],)",
     "f:4: document: nested too deeply, expected at most 16 levels"},
};

// Guards, for each class of error, against a document that is accepted, and
// against a wrong line, path or reason.
BOOST_AUTO_TEST_CASE(EachErrorHasItsLine) {
  for (const auto &it : Errors) {
    BOOST_TEST_CONTEXT(it)
    BOOST_TEST(errorsWithReplacement(it.From, it.To) == it.Errors);
  }
}

// Guards against a backend server whose replies could belong to two services.
BOOST_AUTO_TEST_CASE(BackendServerInTwoServicesIsRefused) {
  const auto text = replaceOnce(Sample, R"("192.0.2.3")", R"("192.0.2.1")");
  BOOST_TEST(errorsOf(replaceOnce(text, R"("backendPort": 93)",
                                  R"("backendPort": 91)")) ==
             "f:31: services.b.backendServers[0].address: 192.0.2.1:91 is "
             "already used on line 19, expected a unique value");
}

// Guards against a check that stops at the first error.
BOOST_AUTO_TEST_CASE(AllErrorsAreReportedInLineOrder) {
  auto text = replaceOnce(Sample, R"("number": 2)", R"("number": 0)");
  text = replaceOnce(text, R"("700ms")", R"("x")");
  text = replaceOnce(text, R"("owner": "o2")", R"("owner": "o9")");
  const auto errors = errorsOf(text);
  BOOST_CHECK(hasErrorFormat(errors));
  const auto first = errors.find("f:5: ");
  const auto second = errors.find("\nf:23: ");
  const auto third = errors.find("\nf:28: ");
  BOOST_TEST(first == 0);
  BOOST_TEST(second < third);
  BOOST_TEST(third != std::string::npos);
}

// Guards against a document that costs a host too much memory to check.
BOOST_AUTO_TEST_CASE(SizesAreBounded) {
  const std::string large(JsonReader::MaxSize + 1, ' ');
  BOOST_TEST(errorsOf(large) == "f:1: document: 1000001 bytes are too many, "
                                "expected at most 1000000 bytes");
  std::string zones = R"("zones": {)";
  for (int i = 0; i < 65; ++i)
    zones += (i == 0 ? "\"y" : ", \"y") + std::to_string(i) + "\": {}";
  BOOST_TEST(errorsWithReplacement(R"("zones": { "z1": { "slowStart": "5s", )"
                                   R"("queueLimit": 20 }, "z2": {} })",
                                   zones + "}") ==
             "f:6: zones: has 65 names, expected 1 to 64");
  std::string unknown = "{";
  for (int i = 0; i < 60000; ++i)
    unknown += "\"k" + std::to_string(i) + "\": 1,\n";
  const auto errors = errorsOf(unknown + R"("revision": 1})");
  BOOST_CHECK(hasErrorFormat(errors));
  BOOST_TEST(std::count(errors.begin(), errors.end(), '\n') ==
             ErrorList::MaxListed);
}

// Guards against wrong line numbers after block comments, CRLF and blank lines.
BOOST_AUTO_TEST_CASE(LinesAreCountedInEveryLayout) {
  const auto text = "/* a\n b */\r\n" + Sample;
  BOOST_TEST(errorsOf(replaceOnce(text, R"("number": 2)", "\"number\":\n\n0"))
                 .substr(0, 5) == "f:27:");
  // The value ends at a line feed that the parser reads ahead.
  BOOST_TEST(
      errorsWithReplacement("\"queueLimit\": 10,", "\"queueLimit\": -1\n,")
          .substr(0, 4) == "f:4:");
  BOOST_TEST(errorsOf("{\n\"revision\": 1,\n\n").substr(0, 2) == "f:");
}

BOOST_AUTO_TEST_SUITE_END()
