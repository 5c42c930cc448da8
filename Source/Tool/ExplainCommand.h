#pragma once

#include "Tool/Command.h"

namespace auburnroute::tool {

/// Tells what the logs of edge daemons show of one flow.
class ExplainCommand final : public Command {
public:
  std::string_view name() const override { return "explain"; }
  std::string_view usage() const override {
    return "--flow CALLER>SERVICE FILE... [--json]";
  }
  std::string_view summary() const override {
    return "what captured logs tell of a flow, from its id to its cause";
  }
  bool accepts(const Arguments &arguments) const override;
  int run(const Arguments &arguments, Output &output) const override;
};

} // namespace auburnroute::tool
