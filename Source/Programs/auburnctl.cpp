#include "Common/Text.h"
#include "Tool/CommandTable.h"

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/reflection.h"

#include <algorithm>
#include <array>
#include <exception>
#include <iostream>
#include <optional>

ABSL_FLAG(std::string, settings, "", "settings file to read");
ABSL_FLAG(bool, daemon, false, "check a daemon's local settings file");
ABSL_FLAG(bool, edge, false,
          "check an edge daemon's settings file or its template");
ABSL_FLAG(bool, configuration, false,
          "check the routing configuration of the registry");
ABSL_FLAG(std::string, against, "", "configuration in force, to compare with");
ABSL_FLAG(std::string, flow, "", "flow to explain, as CALLER>SERVICE");
ABSL_FLAG(bool, json, false, "write the report as JSON");
ABSL_FLAG(std::vector<std::string>, hosts, {},
          "operator endpoints of hosts to query, one per zone is enough");
ABSL_FLAG(std::string, service, "", "report only this service");
ABSL_FLAG(std::string, since, "", "time span to report, such as 60m");
ABSL_FLAG(std::string, html, "", "HTML file to write, with plots");

namespace {

using namespace auburnroute;

/// Accepted flags. Abseil's own, such as --flagfile, which reads files, are
/// rejected.
constexpr std::array<std::string_view, 11> Flags{
    "configuration", "against", "settings", "daemon", "edge", "flow",
    "json",          "hosts",   "service",  "since",  "html"};

/// Checks the flag at \p index and advances \p index over its value. Returns an
/// error message, or nothing if the flag is valid. Flags are checked before
/// Abseil parses them because it exits with code 1 and several lines of help on
/// an invalid flag; auburnctl promises code 2 and one line.
std::optional<std::string> findFlagError(const std::vector<std::string> &args,
                                         std::size_t &index) {
  const auto &arg = args[index];
  const auto prefix = arg.starts_with("--") ? std::size_t{2} : std::size_t{1};
  const auto name = arg.substr(prefix, arg.find('=') - prefix);
  if (std::find(Flags.begin(), Flags.end(), name) == Flags.end())
    return "unknown flag \"" + arg + "\"";
  auto *flag = absl::FindCommandLineFlag(name);
  std::string value;
  if (const auto equals = arg.find('='); equals != std::string::npos)
    value = arg.substr(equals + 1);
  else if (flag->IsOfType<bool>())
    return std::nullopt;
  else if (++index == args.size())
    return "flag \"" + arg + "\" needs a value";
  else
    value = args[index];
  std::string parseError;
  if (value.empty() || !flag->ParseFrom(value, &parseError))
    return "flag \"" + arg + "\" has an invalid value";
  return std::nullopt;
}

int run(int argc, char **argv) {
  const auto commands = tool::allCommands();
  const std::vector<std::string> args(argv + 1, argv + argc);
  for (std::size_t i = 0; i < args.size() && args[i] != "--"; ++i) {
    if (args[i] == "--help" || args[i] == "-h") {
      std::cout << commands.help();
      return tool::ExitSuccess;
    }
    if (args[i] == "--version") {
      std::cout << "auburnctl " AUBURN_VERSION "\n";
      return tool::ExitSuccess;
    }
    if (args[i].size() < 2 || args[i][0] != '-')
      continue;
    if (const auto error = findFlagError(args, i)) {
      std::cerr << "auburnctl: " << *error << ", see --help\n";
      return tool::ExitUsage;
    }
  }
  const auto operands = absl::ParseCommandLine(argc, argv);
  tool::Arguments arguments;
  arguments.SettingsFile = absl::GetFlag(FLAGS_settings);
  arguments.IsDaemonFile = absl::GetFlag(FLAGS_daemon);
  arguments.IsEdgeFile = absl::GetFlag(FLAGS_edge);
  arguments.IsConfiguration = absl::GetFlag(FLAGS_configuration);
  arguments.AgainstFile = absl::GetFlag(FLAGS_against);
  arguments.Flow = absl::GetFlag(FLAGS_flow);
  arguments.WritesJson = absl::GetFlag(FLAGS_json);
  arguments.Hosts = absl::GetFlag(FLAGS_hosts);
  arguments.Service = absl::GetFlag(FLAGS_service);
  arguments.Since = absl::GetFlag(FLAGS_since);
  arguments.HtmlFile = absl::GetFlag(FLAGS_html);
  tool::Output output{std::cout, std::cerr};
  return commands.run({operands.begin() + 1, operands.end()}, arguments,
                      output);
}

} // namespace

int main(int argc, char **argv) {
  try {
    const auto code = run(argc, argv);
    std::cout.flush();
    if (!std::cout) {
      std::cerr << "auburnctl: cannot write to standard output\n";
      return tool::ExitFailure;
    }
    return code;
  } catch (const std::exception &ex) {
    std::cerr << "auburnctl: " << ex.what() << "\n";
    return tool::ExitFailure;
  }
}
