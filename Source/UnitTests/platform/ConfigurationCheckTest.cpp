#include "platform/ConfigurationCheck.h"
#include "platform/ConfigurationDifference.h"
#include "platform/StoreCodec.h"

#include "absl/strings/escaping.h"

#include <boost/test/unit_test.hpp>

#include <nlohmann/json.hpp>

using namespace auburnroute;
using nlohmann::json;
using platform::ConfigurationCheck;
using platform::ConfigurationDifference;

namespace {

json good() {
  return json::parse(R"({
    "version": 7,
    "routes": [
      {"name": "plates", "host": "198.18.0.1", "prefix": "/8443/",
       "type": "safe", "timeout_ms": 2500, "aim_ms": 400, "priority": 2,
       "service": "plates"},
      {"name": "books", "host": "198.18.0.1", "prefix": "/8080/",
       "type": "download", "timeout_ms": 8000, "aim_ms": 1200,
       "backends": [{"service": "plates", "weight": 1},
                    {"service": "books", "weight": 9}]}],
    "services": [
      {"name": "plates", "cold_start_s": 10, "cold_per_s": 4.5},
      {"name": "books", "cold_start_s": 10, "cold_per_s": 0, "other": 1}],
    "limits": {"idle_timeout_ms": 15000}
  })");
}

/// Number of entries that a host does not use of \p document.
std::uint32_t unreadableFor(const json &document) {
  const json page{{"items",
                   {{{"key", "op/config"},
                     {"revision", 1},
                     {"value", absl::Base64Escape(document.dump())}}}},
                  {"at_rev", 1},
                  {"has_more", false}};
  const auto decoded =
      platform::StoreCodec::decode(fleet::RegistryCall(), page.dump());
  BOOST_REQUIRE(decoded.ok());
  return decoded->Unreadable;
}

struct Case {
  std::string Pointer;
  json Value; ///< null: the member is removed.
  std::string Path;
  bool IsError = true;
  bool IsSkipped = false; ///< Hosts do not use the route or the document.
};

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationCheckTest)

BOOST_AUTO_TEST_CASE(GoodConfigurationsHaveNoFindings) {
  BOOST_TEST(ConfigurationCheck::findings(good()).empty());
  BOOST_TEST(unreadableFor(good()) == 0U);
  BOOST_TEST(ConfigurationDifference::changes(good(), good()).empty());
}

// Guards against a fault that is not found or not at its place, and against a
// check that disagrees with what hosts do.
BOOST_AUTO_TEST_CASE(EachFaultIsFoundAtItsPlace) {
  const Case cases[] = {
      {"/version", 0, "version", true, true},
      {"/version", nullptr, "version", true, true},
      {"/routes", nullptr, "routes", true, true},
      {"/routes", json::array(), "routes", false},
      {"/routes/0", 1, "routes[0]", true, true},
      {"/routes/0/host", "plates", "routes[0].host", true, true},
      {"/routes/0/host", nullptr, "routes[0].host", true, true},
      {"/routes/0/prefix", "8443", "routes[0].prefix", true, true},
      {"/routes/0/prefix", "/0/", "routes[0].prefix", true, true},
      {"/routes/1/prefix", "/8443/", "routes[1]", false},
      {"/routes/0/type", "sure", "routes[0].type"},
      {"/routes/0/name", "books", "routes[1].name", false},
      {"/routes/0/timeout_ms", "2500", "routes[0].timeout_ms"},
      {"/routes/0/timeout_ms", 399, "routes[0].aim_ms", false},
      {"/routes/0/aim_ms", -1, "routes[0].aim_ms"},
      {"/routes/0/priority", 1.5, "routes[0].priority"},
      {"/routes/0/service", nullptr, "routes[0].backends", true, true},
      {"/routes/0/service", "a b", "routes[0].service"},
      {"/routes/0/backends", json::array(), "routes[0].backends", false},
      {"/routes/1/backends", json::array(), "routes[1].backends", true, true},
      {"/routes/1/backends/0", 1, "routes[1].backends[0]", true, true},
      {"/routes/1/backends/0/weight", nullptr, "routes[1].backends[0].weight",
       true, true},
      {"/routes/1/backends/0/weight", 0, "routes[1].backends[0].weight", false},
      {"/services", 1, "services"},
      {"/services/0/name", nullptr, "services[0].name"},
      {"/services/0/name", "books", "services[1]", false},
      {"/services/0/name", "volumes", "services[0]", false},
      {"/services/0/cold_start_s", "10", "services[0].cold_start_s"},
      {"/services/0/cold_start_s", 0, "services[0].cold_per_s", false},
      {"/services/0/cold_start_s", 4000, "services[0].cold_start_s", false},
      {"/services/0/cold_per_s", -1, "services[0].cold_per_s"},
      {"/services/0/cold_per_s", nullptr, "services[0].cold_start_s", false},
      {"/limits", 1, "limits"},
      {"/limits/idle_timeout_ms", 7999, "limits.idle_timeout_ms", false},
      {"/routes/1/timeout_ms", 15001, "limits.idle_timeout_ms", false},
  };
  for (const auto &it : cases) {
    auto document = good();
    const json::json_pointer pointer(it.Pointer);
    if (it.Value.is_null())
      document[pointer.parent_pointer()].erase(pointer.back());
    else
      document[pointer] = it.Value;
    // As read from a file: integers without a sign.
    document = json::parse(document.dump());
    const auto findings = ConfigurationCheck::findings(document);
    const auto found = std::ranges::find_if(findings, [&](const auto &f) {
      return f.Path == it.Path && f.IsError == it.IsError;
    });
    BOOST_TEST((found != findings.end()), it.Pointer << " " << it.Value);
    BOOST_TEST((unreadableFor(document) > 0) == it.IsSkipped,
               it.Pointer << " " << it.Value);
  }
  BOOST_TEST(ConfigurationCheck::findings(json::array()).size() == 1U);
}

// Guards against a change that is not shown, and one that is shown because the
// order changed.
BOOST_AUTO_TEST_CASE(ChangesAreShownAtTheirPlace) {
  auto after = good();
  after["version"] = 8U;
  std::swap(after["routes"][0], after["routes"][1]);
  after["routes"][1]["aim_ms"] = 500;
  after["routes"].push_back(after["routes"][0]);
  after["routes"][2]["prefix"] = "/8081/";
  after["services"].erase(0);
  after["limits"]["idle_timeout_ms"] = 16000;
  std::vector<std::string> lines;
  for (const auto &it : ConfigurationDifference::changes(good(), after))
    lines.push_back((it.IsRemoved ? "-" : "") + it.Path + ": " + it.What);
  const std::vector<std::string> expected{
      "version: was 7, is 8", "limits.idle_timeout_ms: was 15000, is 16000",
      "routes[2]: 198.18.0.1 /8081/ is added",
      "routes[1].aim_ms: was 400, is 500", "-services[0]: plates is removed"};
  BOOST_TEST(lines == expected, boost::test_tools::per_element());
  BOOST_TEST(ConfigurationDifference::findings(good(), after).empty());
  BOOST_TEST(ConfigurationDifference::findings(after, good()).size() == 1U);
  BOOST_TEST(ConfigurationDifference::findings(after, after).empty());
}

BOOST_AUTO_TEST_SUITE_END()
