#pragma once

#include "Tool/Command.h"

namespace auburnroute::tool {

/// Explains from the logs of edge daemons what happened to one flow.
class ExplainCommand final : public Command {
public:
  std::string_view name() const override { return "explain"; }
  std::string_view usage() const override {
    return "--flow CALLER>SERVICE FILE... [--json]";
  }
  std::string_view summary() const override {
    return "explains from captured logs what happened to a flow, and why";
  }
  bool accepts(const Arguments &arguments) const override;
  int run(const Arguments &arguments, Output &output) const override;
};

} // namespace auburnroute::tool
