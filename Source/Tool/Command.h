#pragma once

#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace auburnroute::tool {

/// Exit codes of the tool.
constexpr int ExitSuccess = 0;
constexpr int ExitFailure = 1; ///< A file with faults or one not readable.
constexpr int ExitUsage = 2;   ///< Wrong use of the command.

/// What follows the name of a command on the command line.
struct Arguments {
  std::vector<std::string> Operands; ///< Without the name of the command.
  std::string SettingsFile;          ///< --settings; empty if absent.
  bool Daemon = false;               ///< --daemon
  bool Edge = false;                 ///< --edge
  bool Json = false;                 ///< --json
  std::string Flow;                  ///< --flow, as CALLER>SERVICE.
  std::vector<std::string> Hosts;    ///< --hosts: operator endpoints.
  std::string Service;               ///< --service; empty for all.
  std::string Since;                 ///< --since, such as "60m"; may be empty.
  std::string HtmlFile;              ///< --html; empty if absent.

  /// Whether a flag is set that only the commands for live daemons take.
  bool hasLiveFlags() const {
    return !Hosts.empty() || !Service.empty() || !Since.empty() ||
           !HtmlFile.empty();
  }
};

/// Where a command writes.
struct Output {
  std::ostream &Out; ///< Results.
  std::ostream &Err; ///< Faults.
};

/// One command of the tool.
class Command {
public:
  virtual ~Command() = default;

  virtual std::string_view name() const = 0;
  /// Operands and flags, as in "SERVICE --settings FILE [--json]".
  virtual std::string_view usage() const = 0;
  /// One line of help.
  virtual std::string_view summary() const = 0;
  /// Whether the operands and flags are those of usage(). A command that does
  /// not take a flag refuses it, so that no flag is silently without effect.
  virtual bool accepts(const Arguments &arguments) const = 0;
  /// Runs with accepted arguments and returns the exit code.
  virtual int run(const Arguments &arguments, Output &output) const = 0;
};

} // namespace auburnroute::tool
