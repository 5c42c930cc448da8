#include "Emulator/Deployment.h"
#include "Common/Files.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace auburnroute;
using emulator::loadDeployment;

BOOST_AUTO_TEST_SUITE(DeploymentTest)

// Guards against shipped examples that the loader rejects.
BOOST_AUTO_TEST_CASE(LoadsAllExamples) {
  for (const auto *name : {"carenage", "lomo-claro", "thousand-hosts"}) {
    const auto file =
        std::string(AUBURN_SOURCE_DIR "/examples/emulator/") + name + ".json";
    const auto text = common::readFile(file);
    BOOST_REQUIRE(text.ok());
    const auto deployment = loadDeployment(*text, file);
    BOOST_TEST(deployment.ok(), deployment.status().ToString());
  }
}

// Guards against errors without file, line and path, and against a loader that
// stops at the first error.
BOOST_AUTO_TEST_CASE(ReportsAllErrorsWithTheirLocation) {
  const auto status = loadDeployment(R"({
    "zones": [{"name": "a", "hosts": 0}],
    "services": [{"name": "orders", "slot": 2}],
    "requests": [{"name": "order", "service": "sheets"}],
    "candidates": [{"name": "x", "rule": "best"}]
  })",
                                     "d.json")
                          .status();
  const std::string message(status.message());
  for (const auto *part :
       {"d.json:2: zones[0].hosts", "d.json:3: services[0].slot",
        "\"sheets\" is not defined", "d.json:5: candidates[0].rule"})
    BOOST_TEST(message.find(part) != std::string::npos, message << part);
}

// Guards against keys of deployment files that the manual does not mention.
BOOST_AUTO_TEST_CASE(EachKeyIsDocumented) {
  const auto page = common::readFile(AUBURN_SOURCE_DIR "/docs/emulator.md");
  BOOST_REQUIRE(page.ok());
  for (const auto key : emulator::deploymentKeys())
    BOOST_TEST(page->find("`" + std::string(key) + "`") != std::string::npos,
               key);
}

BOOST_AUTO_TEST_SUITE_END()
