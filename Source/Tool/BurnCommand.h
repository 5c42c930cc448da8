#pragma once

#include "Tool/Command.h"

namespace auburnroute::tool {

/// Queries running daemons and shows how fast services use up their error
/// budgets (burn rate).
class BurnCommand final : public Command {
public:
  std::string_view name() const override { return "burn"; }
  std::string_view usage() const override {
    return "--hosts ENDPOINT,... [--json] [--html FILE]";
  }
  std::string_view summary() const override {
    return "shows how fast services use up their error budgets";
  }
  bool accepts(const Arguments &arguments) const override;
  int run(const Arguments &arguments, Output &output) const override;
};

} // namespace auburnroute::tool
