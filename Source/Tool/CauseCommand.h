#pragma once

#include "Tool/Command.h"

namespace auburnroute::tool {

/// Queries running daemons and reports what went wrong and which change or
/// failure led to it.
class CauseCommand final : public Command {
public:
  std::string_view name() const override { return "cause"; }
  std::string_view usage() const override {
    return "--hosts ENDPOINT,... [--service S] [--since 60m] [--json]";
  }
  std::string_view summary() const override {
    return "says what went wrong and which change or failure led to it";
  }
  bool accepts(const Arguments &arguments) const override;
  int run(const Arguments &arguments, Output &output) const override;
};

} // namespace auburnroute::tool
