#pragma once

#include "Tool/Command.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace auburnroute::tool {

/// The commands of the tool by name.
class CommandTable {
public:
  void add(std::unique_ptr<Command> command);

  /// Help that fits a screen of 24 lines of 80 characters.
  std::string help() const;
  /// Runs the command named first in \p words, which are the operands of the
  /// command line; \p arguments hold the flags. Returns the exit code.
  int run(const std::vector<std::string> &words, Arguments arguments,
          Output &output) const;

private:
  const Command *find(std::string_view name) const;

  std::vector<std::unique_ptr<Command>> Commands;
};

/// The commands for files (check, show, diff) and those that ask live daemons
/// (status, cause, burn).
CommandTable allCommands();

} // namespace auburnroute::tool
