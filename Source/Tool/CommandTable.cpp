#include "Tool/CommandTable.h"

#include "Tool/BurnCommand.h"
#include "Tool/CauseCommand.h"
#include "Tool/CheckCommand.h"
#include "Tool/DiffCommand.h"
#include "Tool/ExplainCommand.h"
#include "Tool/ShowCommand.h"
#include "Tool/StatusCommand.h"

#include "Common/Text.h"

#include "absl/strings/str_cat.h"

#include <algorithm>

namespace auburnroute::tool {

using common::toAbsl;

void CommandTable::add(std::unique_ptr<Command> command) {
  Commands.push_back(std::move(command));
}

std::string CommandTable::help() const {
  std::string text =
      "auburnctl: checks settings of auburnroute, queries hosts and reads "
      "their logs\n\n";
  for (const auto &it : Commands)
    absl::StrAppend(&text, "  auburnctl ", toAbsl(it->name()), " ",
                    toAbsl(it->usage()), "\n      ", toAbsl(it->summary()),
                    "\n");
  absl::StrAppend(&text,
                  "\n  --help, --version\n\nExit code: 0 success, 1 a file has "
                  "errors or no host responds, 2 wrong usage.\n");
  return text;
}

int CommandTable::run(const std::vector<std::string> &operands,
                      Arguments arguments, Output &output) const {
  if (operands.empty()) {
    output.Err << "auburnctl: a command is required, see --help\n";
    return ExitUsage;
  }
  const auto *command = find(operands.front());
  if (command == nullptr) {
    output.Err << "auburnctl: unknown command \"" << operands.front()
               << "\", see --help\n";
    return ExitUsage;
  }
  arguments.Operands.assign(operands.begin() + 1, operands.end());
  if (!command->accepts(arguments)) {
    output.Err << "usage: auburnctl " << command->name() << " "
               << command->usage() << "\n";
    return ExitUsage;
  }
  return command->run(arguments, output);
}

const Command *CommandTable::find(std::string_view name) const {
  const auto it =
      std::find_if(Commands.begin(), Commands.end(),
                   [&](const auto &c) { return c->name() == name; });
  return it == Commands.end() ? nullptr : it->get();
}

CommandTable allCommands() {
  CommandTable table;
  table.add(std::make_unique<CheckCommand>());
  table.add(std::make_unique<ShowCommand>());
  table.add(std::make_unique<DiffCommand>());
  table.add(std::make_unique<StatusCommand>());
  table.add(std::make_unique<CauseCommand>());
  table.add(std::make_unique<BurnCommand>());
  table.add(std::make_unique<ExplainCommand>());
  return table;
}

} // namespace auburnroute::tool
