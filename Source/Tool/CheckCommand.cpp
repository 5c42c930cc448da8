#include "Tool/CheckCommand.h"

#include "State/DaemonSettingsLoader.h"
#include "State/EdgeSettings.h"
#include "Tool/ConfigurationFile.h"
#include "Tool/SettingsFile.h"
#include "platform/ConfigurationCheck.h"
#include "platform/ConfigurationDifference.h"
#include "platform/SettingsTemplate.h"

#include "absl/strings/str_format.h"

namespace auburnroute::tool {

bool CheckCommand::accepts(const Arguments &arguments) const {
  return arguments.Flow.empty() && !arguments.hasLiveDaemonFlags() &&
         arguments.Operands.size() == 1 && arguments.SettingsFile.empty() &&
         !arguments.WritesJson &&
         arguments.IsDaemonFile + arguments.IsEdgeFile +
                 arguments.IsConfiguration <=
             1 &&
         (arguments.IsConfiguration || arguments.AgainstFile.empty());
}

int CheckCommand::run(const Arguments &arguments, Output &output) const {
  const auto &fileName = arguments.Operands.front();
  if (arguments.IsConfiguration)
    return checkConfiguration(fileName, arguments.AgainstFile, output);
  if (arguments.IsEdgeFile)
    return checkEdge(fileName, output);
  return arguments.IsDaemonFile ? checkDaemon(fileName, output)
                                : checkSettings(fileName, output);
}

int CheckCommand::checkSettings(const std::string &fileName, Output &output) {
  const auto document = SettingsFile::read(fileName, output);
  if (!document)
    return ExitFailure;
  const auto &settings = document->Content;
  std::size_t servers = 0;
  for (const auto &it : settings.Services)
    servers += it.BackendServers.size();
  output.Out << fileName << ": no errors, revision " << settings.Revision
             << ", digest " << absl::StrFormat("%016x", settings.Digest) << ", "
             << settings.Services.size() << " services, " << servers
             << " backend servers\n";
  return ExitSuccess;
}

int CheckCommand::checkDaemon(const std::string &fileName, Output &output) {
  const auto text = SettingsFile::readText(fileName);
  if (!text.ok()) {
    output.Err << text.status().message() << "\n";
    return ExitFailure;
  }
  const auto settings = state::loadDaemonSettings(*text, fileName);
  if (!settings.ok()) {
    output.Err << settings.status().message() << "\n";
    return ExitFailure;
  }
  output.Out << fileName << ": no errors, host " << settings->Host << ", zone "
             << settings->Zone << "\n";
  return ExitSuccess;
}

int CheckCommand::checkEdge(const std::string &fileName, Output &output) {
  const auto text = SettingsFile::readText(fileName);
  if (!text.ok()) {
    output.Err << text.status().message() << "\n";
    return ExitFailure;
  }
  const bool isTemplate = platform::SettingsTemplate::isTemplate(*text);
  const auto filled =
      isTemplate ? platform::SettingsTemplate::fillWithSamples(*text, fileName)
                 : text;
  const auto settings =
      filled.ok() ? state::loadEdgeSettings(*filled, fileName)
                  : absl::StatusOr<state::EdgeSettings>(filled.status());
  if (!settings.ok()) {
    output.Err << settings.status().message() << "\n";
    return ExitFailure;
  }
  output.Out << fileName << ": no errors"
             << (isTemplate ? ", filled with sample values" : "") << ", host "
             << settings->Host << ", zone " << settings->Zone << "\n";
  return ExitSuccess;
}

int CheckCommand::checkConfiguration(const std::string &fileName,
                                     const std::string &against,
                                     Output &output) {
  state::ErrorList findings(fileName);
  const auto file = ConfigurationFile::read(fileName, findings, output);
  std::optional<ConfigurationFile> former;
  if (!against.empty()) {
    state::ErrorList ignored(against);
    former = ConfigurationFile::read(against, ignored, output);
  }
  if (!file || (!against.empty() && !former))
    return ExitFailure;
  auto found = platform::ConfigurationCheck::findings(file->document());
  if (former)
    for (auto &it : platform::ConfigurationDifference::findings(
             former->document(), file->document()))
      found.push_back(std::move(it));
  for (const auto &it : found)
    findings.add(file->lineOf(it.Path), it.Path,
                 (it.IsError ? "" : "warning: ") + it.What, it.Expected);
  if (former)
    for (const auto &it : platform::ConfigurationDifference::changes(
             former->document(), file->document()))
      output.Out << (it.IsRemoved ? against : fileName) << ":"
                 << (it.IsRemoved ? *former : *file).lineOf(it.Path) << ": "
                 << it.Path << ": " << it.What << "\n";
  if (!findings.empty()) {
    output.Err << findings.status().message() << "\n";
    return ExitFailure;
  }
  output.Out << fileName << ": no errors, version "
             << file->document()["version"] << ", "
             << file->document()["routes"].size() << " routes\n";
  return ExitSuccess;
}

} // namespace auburnroute::tool
