#include "Tool/CommandTable.h"

#include <boost/test/unit_test.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <sstream>

using namespace auburnroute::tool;

namespace {

const std::string Examples = AUBURN_SOURCE_DIR "/examples/";

struct Result {
  int Code = 0;
  std::string Out;
  std::string Err;
};

Result run(const std::vector<std::string> &words, Arguments arguments = {}) {
  std::ostringstream out;
  std::ostringstream err;
  Output output{out, err};
  const auto code = allCommands().run(words, std::move(arguments), output);
  return {code, out.str(), err.str()};
}

Arguments withSettings(bool json) {
  Arguments arguments;
  arguments.SettingsFile = Examples + "carenage.json";
  arguments.WritesJson = json;
  return arguments;
}

bool contains(const std::string &text, std::string_view part) {
  return text.find(part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(CommandTableTest)

// Guards against help that is larger than a terminal of 80 by 24 characters.
BOOST_AUTO_TEST_CASE(HelpFitsATerminal) {
  std::istringstream in(allCommands().help());
  std::string line;
  int n = 0;
  for (; std::getline(in, line); ++n)
    BOOST_TEST(line.size() <= 80);
  BOOST_TEST(n <= 24);
}

// Guards against one exit code for invalid files and invalid command lines,
// which scripts must tell apart.
BOOST_AUTO_TEST_CASE(InvalidFilesAndInvalidUsageHaveDifferentExitCodes) {
  Arguments daemon;
  daemon.IsDaemonFile = true;
  BOOST_TEST(run({"check", Examples + "lomo-claro.json"}).Code == ExitSuccess);
  BOOST_TEST(run({"check", Examples + "daemon.json"}, daemon).Code ==
             ExitSuccess);
  const auto fault = run({"check", Examples + "daemon.json"});
  BOOST_TEST(fault.Code == ExitFailure);
  BOOST_TEST(fault.Out.empty());
  BOOST_TEST(contains(fault.Err, "daemon.json:3: host: is an unknown key"));
  BOOST_TEST(run({"check", Examples + "lomo-claro.json"}, daemon).Code ==
             ExitFailure);
  for (const auto &words :
       std::vector<std::vector<std::string>>{{},
                                             {"nonesuch"},
                                             {"check"},
                                             {"check", "a", "b"},
                                             {"show", "a"},
                                             {"diff", "a"}}) {
    const auto wrong = run(words);
    BOOST_TEST(wrong.Code == ExitUsage);
    BOOST_TEST(std::count(wrong.Err.begin(), wrong.Err.end(), '\n') == 1);
  }
  // --settings, which check does not accept.
  BOOST_TEST(run({"check", "a"}, withSettings(false)).Code == ExitUsage);
}

// Guards against an unreadable file that is reported with several lines,
// without its name or without the reason.
BOOST_AUTO_TEST_CASE(UnreadableFilesAreReportedInOneLine) {
  for (const auto &name : {Examples + "none.json", Examples}) {
    const auto result = run({"diff", name, Examples + "carenage.json"});
    BOOST_TEST(result.Code == ExitFailure);
    BOOST_TEST(contains(result.Err, name + ": cannot be read: "));
    BOOST_TEST(std::count(result.Err.begin(), result.Err.end(), '\n') == 1);
  }
  const auto missing = run({"show", "nonesuch"}, withSettings(false));
  BOOST_TEST(missing.Code == ExitFailure);
  BOOST_TEST(contains(missing.Err, "has no service \"nonesuch\""));
}

// Guards against a report that shows the wrong layer as the origin of a value.
BOOST_AUTO_TEST_CASE(ShowReportsTheLayerOfEachValue) {
  const auto text = run({"show", "catalogue"}, withSettings(false));
  BOOST_TEST(text.Code == ExitSuccess);
  BOOST_TEST(contains(text.Out, "2s        service catalogue\n"));
  const auto json =
      nlohmann::json::parse(run({"show", "counter"}, withSettings(true)).Out);
  BOOST_TEST(json["backendServers"].size() == 15);
  for (const auto &it : json["policy"])
    if (it["key"] == "queueTimeout") {
      BOOST_TEST(it["value"] == "600ms");
      BOOST_TEST(it["layer"] == "owner");
      BOOST_TEST(it["name"] == "carenage");
    }
}

// Guards against a JSON report that lacks changes or warnings.
BOOST_AUTO_TEST_CASE(DiffReportsChangesAndWarningsAsJson) {
  Arguments arguments;
  arguments.WritesJson = true;
  const auto result =
      run({"diff", Examples + "carenage.json", Examples + "lomo-claro.json"},
          arguments);
  BOOST_TEST(result.Code == ExitSuccess);
  const auto json = nlohmann::json::parse(result.Out);
  BOOST_TEST(json["services"].size() == 4);
  BOOST_TEST(json["services"][0]["name"] == "catalogo");
  BOOST_TEST(json["services"][0]["changes"][0]["kind"] == "ServiceAdded");
  BOOST_TEST(json["warnings"][0]["kind"] == "RevisionNotHigher");
}

BOOST_AUTO_TEST_SUITE_END()
