#include "Tool/CommandTable.h"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>

#include <unistd.h>

using namespace auburnroute::tool;

namespace {

const std::string Good = R"({
  "version": 7,
  "routes": [
    {
      "host": "198.18.0.1", "prefix": "/8443/",
      "timeout_ms": 2500,
      "aim_ms": 400,
      "service": "plates"
    }
  ]
}
)";

/// Files in a folder of their own that is removed at the end.
struct FilesFixture {
  FilesFixture()
      : Folder(std::filesystem::temp_directory_path() /
               ("check-configuration-" + std::to_string(getpid()))) {
    std::filesystem::create_directories(Folder);
  }
  ~FilesFixture() { std::filesystem::remove_all(Folder); }
  FilesFixture(const FilesFixture &) = delete;
  FilesFixture &operator=(const FilesFixture &) = delete;

  std::string write(const std::string &name, const std::string &from = "",
                    const std::string &to = "") const {
    auto text = Good;
    const auto at = text.find(from);
    BOOST_REQUIRE(at != std::string::npos);
    text.replace(at, from.size(), to);
    auto path = (Folder / name).string();
    std::ofstream(path) << text;
    return path;
  }
  int check(const std::string &file, const std::string &against = "") {
    Arguments arguments;
    arguments.IsConfiguration = true;
    arguments.AgainstFile = against;
    std::ostringstream out;
    std::ostringstream err;
    Output output{out, err};
    const auto code = allCommands().run({"check", file}, arguments, output);
    Out = out.str();
    Err = err.str();
    return code;
  }

  std::filesystem::path Folder;
  std::string Out;
  std::string Err;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CheckConfigurationTest, FilesFixture)

BOOST_AUTO_TEST_CASE(GoodFilesAreAccepted) {
  const auto file = write("good");
  BOOST_TEST(check(file) == ExitSuccess);
  BOOST_TEST(Out == file + ": no errors, version 7, 1 routes\n");
  BOOST_TEST(Err.empty());
}

// Guards against findings without the line of the value that is wrong.
BOOST_AUTO_TEST_CASE(FindingsHaveFileLineAndPath) {
  const std::tuple<std::string, std::string, std::string> cases[] = {
      {"7,", "0,", ":2: version: 0 is not accepted, expected an integer of 1"},
      {"400", "\"a\"", ":7: routes[0].aim_ms: \"a\" is not accepted"},
      {"400", "2501", ":7: routes[0].aim_ms: warning: the objective of 2501"},
      {"\"plates\"", "[1]", ":8: routes[0].service: [1] is not accepted"},
      {"\"aim_ms\"", "\"timeout_ms\"",
       ":7: routes[0].timeout_ms: is given twice"},
      {"\"host\"", "\"hots\"", ":4: routes[0].host: is missing"},
      {"7,", "7, // x", ":2: document: contains a comment"},
      {"7,", "7", "not valid JSON"},
  };
  for (const auto &[from, to, expected] : cases) {
    const auto file = write("bad", from, to);
    BOOST_TEST(check(file) == ExitFailure);
    BOOST_TEST(Err.find(expected) != std::string::npos, Err);
    BOOST_TEST(Err.starts_with(file + ":"));
    BOOST_TEST(Out.empty());
  }
  BOOST_TEST(check((Folder / "none").string()) == ExitFailure);
}

// Guards against changes that are not shown, and a version that hosts ignore.
BOOST_AUTO_TEST_CASE(FilesAreComparedWithTheOneInForce) {
  const auto now = write("now");
  const auto next = write("next", "7", "8");
  BOOST_TEST(check(next, now) == ExitSuccess);
  BOOST_TEST(Out.starts_with(next + ":2: version: was 7, is 8\n"));
  BOOST_TEST(check(now, next) == ExitFailure);
  BOOST_TEST(Err == now + ":2: version: 7 is not above 8, the version in "
                          "force, so that hosts ignore it, expected at least "
                          "9\n");
  BOOST_TEST(check(next, (Folder / "none").string()) == ExitFailure);
}

// Guards against flags that a command does not use and silently accepts.
BOOST_AUTO_TEST_CASE(WrongUseHasAnExitCodeOfItsOwn) {
  const auto file = write("good");
  const auto run = [](const std::vector<std::string> &words,
                      const Arguments &arguments) {
    std::ostringstream out;
    Output output{out, out};
    return allCommands().run(words, arguments, output);
  };
  Arguments both;
  both.IsConfiguration = both.IsEdgeFile = true;
  BOOST_TEST(run({"check", file}, both) == ExitUsage);
  Arguments against;
  against.AgainstFile = file;
  BOOST_TEST(run({"check", file}, against) == ExitUsage);
  BOOST_TEST(run({"diff", file, file}, against) == ExitUsage);
  Arguments configuration;
  configuration.IsConfiguration = true;
  BOOST_TEST(run({"check"}, configuration) == ExitUsage);
  BOOST_TEST(run({"diff", file, file}, configuration) == ExitUsage);
}

BOOST_AUTO_TEST_SUITE_END()
