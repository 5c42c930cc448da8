#include "Tool/ShowCommand.h"

#include "Tool/ServiceReport.h"
#include "Tool/SettingsFile.h"

namespace auburnroute::tool {

bool ShowCommand::accepts(const Arguments &arguments) const {
  return arguments.Flow.empty() && !arguments.hasCheckFlags() &&
         !arguments.hasLiveDaemonFlags() && arguments.Operands.size() == 1 &&
         !arguments.SettingsFile.empty();
}

int ShowCommand::run(const Arguments &arguments, Output &output) const {
  const auto document = SettingsFile::read(arguments.SettingsFile, output);
  if (!document)
    return ExitFailure;
  const auto &name = arguments.Operands.front();
  const auto *service = document->Content.findService(name);
  if (service == nullptr) {
    output.Err << arguments.SettingsFile << ": has no service \"" << name
               << "\"\n";
    return ExitFailure;
  }
  const ServiceReport report(*document, *service);
  if (arguments.WritesJson)
    output.Out << report.json().dump(2) << "\n";
  else
    output.Out << report.text();
  return ExitSuccess;
}

} // namespace auburnroute::tool
