#pragma once

#include "Tool/Command.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace auburnroute::tool {

/// Commands of auburnctl by name.
class CommandTable {
public:
  void add(std::unique_ptr<Command> command);

  /// Help text; fits a terminal of 24 lines of 80 characters.
  std::string help() const;
  /// Runs the command that the first of \p operands names with the others as
  /// its operands; \p arguments holds the flags. Returns the exit code.
  int run(const std::vector<std::string> &operands, Arguments arguments,
          Output &output) const;

private:
  const Command *find(std::string_view name) const;

  std::vector<std::unique_ptr<Command>> Commands;
};

/// All commands: for settings files (check, show, diff), for running daemons
/// (status, cause, burn) and for captured logs (explain).
CommandTable allCommands();

} // namespace auburnroute::tool
