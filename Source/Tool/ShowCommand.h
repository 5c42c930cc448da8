#pragma once

#include "Tool/Command.h"

namespace auburnroute::tool {

/// Shows the effective settings of a service and the layer that each policy
/// value comes from.
class ShowCommand final : public Command {
public:
  std::string_view name() const override { return "show"; }
  std::string_view usage() const override {
    return "SERVICE --settings FILE [--json]";
  }
  std::string_view summary() const override {
    return "shows the effective settings and the layer of each value";
  }
  bool accepts(const Arguments &arguments) const override;
  int run(const Arguments &arguments, Output &output) const override;
};

} // namespace auburnroute::tool
