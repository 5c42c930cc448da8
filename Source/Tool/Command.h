#pragma once

#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace auburnroute::tool {

/// Exit codes of auburnctl.
constexpr int ExitSuccess = 0;
constexpr int ExitFailure = 1; ///< Invalid or unreadable file, or no host
                               ///< responds.
constexpr int ExitUsage = 2;   ///< Invalid command line.

/// Operands and flags of the command line.
struct Arguments {
  std::vector<std::string> Operands; ///< Without the command name.
  std::string SettingsFile;          ///< --settings; empty if absent.
  bool IsDaemonFile = false;         ///< --daemon
  bool IsEdgeFile = false;           ///< --edge
  bool IsConfiguration = false;      ///< --configuration
  std::string AgainstFile;           ///< --against; empty if absent.
  bool WritesJson = false;           ///< --json
  std::string Flow;                  ///< --flow, as CALLER>SERVICE.
  std::vector<std::string> Hosts;    ///< --hosts: operator endpoints.
  std::string Service;               ///< --service; empty for all.
  std::string Since;                 ///< --since, such as "60m"; may be empty.
  std::string HtmlFile;              ///< --html; empty if absent.

  /// Whether a flag is set that only "check" accepts.
  bool hasCheckFlags() const {
    return IsDaemonFile || IsEdgeFile || IsConfiguration ||
           !AgainstFile.empty();
  }
  /// Whether a flag is set that only commands for running daemons accept.
  bool hasLiveDaemonFlags() const {
    return !Hosts.empty() || !Service.empty() || !Since.empty() ||
           !HtmlFile.empty();
  }
};

/// Output streams of a command.
struct Output {
  std::ostream &Out; ///< Results.
  std::ostream &Err; ///< Errors.
};

/// One command of auburnctl.
class Command {
public:
  virtual ~Command() = default;

  virtual std::string_view name() const = 0;
  /// Operands and flags for the usage line, as in "SERVICE --settings FILE
  /// [--json]".
  virtual std::string_view usage() const = 0;
  /// One-line description for the help text.
  virtual std::string_view summary() const = 0;
  /// Whether the operands and flags match usage(). A flag that the command does
  /// not use is rejected rather than ignored.
  virtual bool accepts(const Arguments &arguments) const = 0;
  /// Runs with arguments that accepts() allows; returns the exit code.
  virtual int run(const Arguments &arguments, Output &output) const = 0;
};

} // namespace auburnroute::tool
