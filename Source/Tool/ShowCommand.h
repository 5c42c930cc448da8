#pragma once

#include "Tool/Command.h"

namespace auburnroute::tool {

/// Shows the effective settings of a service with the origin of each policy
/// value.
class ShowCommand final : public Command {
public:
  std::string_view name() const override { return "show"; }
  std::string_view usage() const override {
    return "SERVICE --settings FILE [--json]";
  }
  std::string_view summary() const override {
    return "shows the settings in force and the layer each value comes from";
  }
  bool accepts(const Arguments &arguments) const override;
  int run(const Arguments &arguments, Output &output) const override;
};

} // namespace auburnroute::tool
