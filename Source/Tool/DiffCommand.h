#pragma once

#include "Tool/Command.h"

namespace auburnroute::tool {

/// Shows the effects of replacing one settings file by another.
class DiffCommand final : public Command {
public:
  std::string_view name() const override { return "diff"; }
  std::string_view usage() const override { return "OLD NEW [--json]"; }
  std::string_view summary() const override {
    return "shows the changes, the risks and the flows that would move";
  }
  bool accepts(const Arguments &arguments) const override;
  int run(const Arguments &arguments, Output &output) const override;
};

} // namespace auburnroute::tool
