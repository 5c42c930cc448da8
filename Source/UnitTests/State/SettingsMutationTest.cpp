#include "State/DaemonSettingsLoader.h"
#include "State/SettingsLoader.h"

#include "SettingsSamples.h"

#include <boost/test/unit_test.hpp>

#include <nlohmann/json.hpp>

#include <random>

using namespace auburnroute::state;
using Json = nlohmann::json;

namespace {

constexpr int MutationsPerSeed = 500; // Per seed, file and kind of mutation.

std::size_t randomIndex(std::mt19937_64 &random, std::size_t n) {
  return static_cast<std::size_t>(random() % n);
}

/// \p text with one byte replaced, inserted or removed.
std::string mutateByte(std::string text, std::mt19937_64 &random) {
  static const std::string common = "\"{}[],:/*\\\n0159-.eE \xC3\xFF";
  const auto at = randomIndex(random, text.size());
  const auto byte = randomIndex(random, 2) == 0
                        ? common[randomIndex(random, common.size())]
                        : static_cast<char>(randomIndex(random, 256));
  switch (randomIndex(random, 3)) {
  case 0:
    text[at] = byte;
    break;
  case 1:
    text.insert(at, 1, byte);
    break;
  default:
    text.erase(at, 1);
  }
  return text;
}

/// \p json with one value replaced, its key removed or its key renamed.
std::string mutateValue(Json json, std::mt19937_64 &random) {
  static const std::vector<Json> values{nullptr,
                                        true,
                                        0,
                                        -1,
                                        4096,
                                        1e300,
                                        0.5,
                                        18446744073709551615U,
                                        "",
                                        "5s",
                                        "x\ny",
                                        "127.0.0.1:1",
                                        "192.0.2.11",
                                        "counter-1",
                                        "sando",
                                        "\xC3\xA9",
                                        std::string(500, 'a'),
                                        Json::array(),
                                        Json::object(),
                                        Json::array({1, "a"}),
                                        Json{{"owner", 1}}};
  const auto flat = json.flatten();
  auto it = flat.begin();
  std::advance(it,
               static_cast<std::ptrdiff_t>(randomIndex(random, flat.size())));
  Json::json_pointer at(it.key());
  // One time in four, goes up to the parent value, as far as a whole service.
  while (at.parent_pointer() != Json::json_pointer() &&
         randomIndex(random, 4) == 0)
    at = at.parent_pointer();
  auto &parent = json[at.parent_pointer()];
  if (const auto kind = randomIndex(random, 4);
      kind < 2 && parent.is_object()) {
    const auto old = parent[at.back()];
    parent.erase(at.back());
    if (kind == 1)
      parent[at.back() + "x"] = old;
  } else {
    json[at] = values[randomIndex(random, values.size())];
  }
  return json.dump(1);
}

/// Results of loading the mutated texts; a loader that accepts or refuses all
/// of them is broken.
struct LoadCounts {
  int Accepted = 0;
  int Refused = 0;
};

template <class Load, class Check>
void loadAndCheck(const std::string &text, Load load, Check check,
                  LoadCounts &counts) {
  const auto result = load(text, "f");
  BOOST_TEST_CONTEXT(text) {
    if (result.ok()) {
      ++counts.Accepted;
      BOOST_CHECK(check(*result));
    } else {
      ++counts.Refused;
      const std::string message(result.status().message());
      BOOST_CHECK_MESSAGE(hasErrorFormat(message), message);
      BOOST_CHECK(load(text, "f").status() == result.status());
    }
  }
}

template <class Load, class Check>
void checkMutations(const std::string &file, Load load, Check check) {
  const auto text = readSource(file);
  const auto json = Json::parse(text, nullptr, true, true);
  LoadCounts counts;
  for (const auto seed : testSeeds())
    BOOST_TEST_CONTEXT("seed " << seed) {
      std::mt19937_64 random(seed);
      for (int i = 0; i < MutationsPerSeed; ++i) {
        loadAndCheck(mutateByte(text, random), load, check, counts);
        loadAndCheck(mutateValue(json, random), load, check, counts);
      }
    }
  BOOST_TEST(counts.Accepted > 0);
  BOOST_TEST(counts.Refused > counts.Accepted / 4);
}

bool isComplete(const Settings &settings) {
  bool complete = settings.Revision > 0 && !settings.Zones.empty() &&
                  !settings.Services.empty();
  for (const auto &it : settings.Services) {
    complete &= !it.Listeners.empty() && !it.BackendServers.empty() &&
                it.PolicyByZone.size() == settings.Zones.size();
    for (const auto &server : it.BackendServers)
      complete &= server.Number > 0 && server.Address != 0 &&
                  server.Tunnel.Port != 0 && server.LoadReport.Port != 0 &&
                  settings.zoneIndex(server.Zone).has_value();
  }
  return complete;
}

} // namespace

BOOST_AUTO_TEST_SUITE(SettingsMutationTest)

// Guards against damaged documents that crash a host or are accepted with
// values missing.
BOOST_AUTO_TEST_CASE(DamagedSettingsAreReadOrRefused) {
  for (const auto *file :
       {"examples/carenage.json", "examples/lomo-claro.json"})
    checkMutations(file, loadSettings, isComplete);
}

// Guards against damaged local files that crash a daemon.
BOOST_AUTO_TEST_CASE(DamagedDaemonSettingsAreReadOrRefused) {
  checkMutations(
      "examples/daemon.json", loadDaemonSettings, [](const DaemonSettings &it) {
        return !it.Host.empty() && it.SharedKey.size() >= 16 &&
               it.Packets.Port != 0 && it.DeadAfter > it.SuspectAfter;
      });
}

// Guards against examples that differ from the deployments they stand for.
BOOST_AUTO_TEST_CASE(ExamplesHaveTheSizesOfTheDeployments) {
  struct Expected {
    const char *File;
    const char *Services[2];
    std::uint32_t Slots;
    std::uint16_t Tunnel;
  };
  for (const auto &it :
       {Expected{"examples/carenage.json", {"counter", "catalogue"}, 2, 31001},
        Expected{
            "examples/lomo-claro.json", {"catalogo", "pliegos"}, 3, 33001}}) {
    const auto settings = loadSettings(readSource(it.File), it.File);
    BOOST_REQUIRE_MESSAGE(settings.ok(), settings.status().message());
    BOOST_TEST(settings->Zones.size() == 3);
    std::uint16_t port = it.Tunnel;
    for (std::size_t n = 0; n < 2; ++n) {
      const auto *service = settings->findService(it.Services[n]);
      BOOST_REQUIRE(service != nullptr);
      BOOST_TEST(service->BackendServers.size() == (n == 0 ? 15 : 4));
      BOOST_TEST(service->Listeners.size() == (n == 0 ? 2 : 1));
      for (const auto &server : service->BackendServers) {
        BOOST_TEST(server.Slots == it.Slots);
        BOOST_TEST(server.Tunnel.Port == port);
        BOOST_TEST(server.LoadReport.Port == port + 1000);
        ++port;
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
