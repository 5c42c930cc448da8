#pragma once

#include "Tool/Command.h"

namespace auburnroute::tool {

/// Checks a settings document, the local settings file of a daemon, the
/// settings file of an edge daemon or its template, or the routing
/// configuration of the registry.
class CheckCommand final : public Command {
public:
  std::string_view name() const override { return "check"; }
  std::string_view usage() const override {
    return "[--daemon | --edge | --configuration [--against FILE]] FILE";
  }
  std::string_view summary() const override {
    return "lists the errors of a settings, daemon, edge or configuration file";
  }
  bool accepts(const Arguments &arguments) const override;
  int run(const Arguments &arguments, Output &output) const override;

private:
  static int checkSettings(const std::string &fileName, Output &output);
  static int checkEdge(const std::string &fileName, Output &output);
  static int checkDaemon(const std::string &fileName, Output &output);
  /// \p against: the configuration in force; empty if it is not given.
  static int checkConfiguration(const std::string &fileName,
                                const std::string &against, Output &output);
};

} // namespace auburnroute::tool
