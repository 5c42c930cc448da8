#pragma once

#include "Tool/Command.h"

namespace auburnroute::tool {

/// Queries running daemons and shows settings, peers and admission of each
/// host.
class StatusCommand final : public Command {
public:
  std::string_view name() const override { return "status"; }
  std::string_view usage() const override {
    return "--hosts ENDPOINT,... [--json]";
  }
  std::string_view summary() const override {
    return "shows settings, peers and admission of each host";
  }
  bool accepts(const Arguments &arguments) const override;
  int run(const Arguments &arguments, Output &output) const override;
};

} // namespace auburnroute::tool
