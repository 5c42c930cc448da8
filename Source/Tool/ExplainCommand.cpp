#include "Tool/ExplainCommand.h"

#include "Tool/FlowExplanation.h"

namespace auburnroute::tool {

bool ExplainCommand::accepts(const Arguments &arguments) const {
  return !arguments.Operands.empty() && !arguments.Flow.empty() &&
         arguments.SettingsFile.empty() && !arguments.hasCheckFlags() &&
         !arguments.hasLiveDaemonFlags();
}

int ExplainCommand::run(const Arguments &arguments, Output &output) const {
  LogArchive archive;
  for (const auto &it : arguments.Operands)
    if (const auto status = archive.addFile(it); !status.ok()) {
      output.Err << "auburnctl: " << status.message() << "\n";
      return ExitFailure;
    }
  const auto explanation = FlowExplanation::of(arguments.Flow, archive);
  if (arguments.WritesJson)
    output.Out << explanation.json().dump(
                      -1, ' ', false, nlohmann::json::error_handler_t::replace)
               << "\n";
  else
    output.Out << explanation.text();
  return explanation.isFound() ? ExitSuccess : ExitFailure;
}

} // namespace auburnroute::tool
