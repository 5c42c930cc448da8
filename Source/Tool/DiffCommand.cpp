#include "Tool/DiffCommand.h"

#include "Tool/DiffReport.h"
#include "Tool/SettingsFile.h"

namespace auburnroute::tool {

bool DiffCommand::accepts(const Arguments &arguments) const {
  return arguments.Flow.empty() && !arguments.hasCheckFlags() &&
         !arguments.hasLiveDaemonFlags() && arguments.Operands.size() == 2 &&
         arguments.SettingsFile.empty();
}

int DiffCommand::run(const Arguments &arguments, Output &output) const {
  const auto before = SettingsFile::read(arguments.Operands[0], output);
  const auto after = SettingsFile::read(arguments.Operands[1], output);
  if (!before || !after)
    return ExitFailure;
  const DiffReport report(
      state::SettingsDiff::between(before->Content, after->Content));
  if (arguments.WritesJson)
    output.Out << report.json().dump(2) << "\n";
  else
    output.Out << report.text();
  return ExitSuccess;
}

} // namespace auburnroute::tool
