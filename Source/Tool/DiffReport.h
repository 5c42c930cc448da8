#pragma once

#include "State/SettingsDiff.h"

#include <nlohmann/json.hpp>

#include <string>

namespace auburnroute::tool {

/// Formats a settings difference as text and as JSON.
class DiffReport {
public:
  explicit DiffReport(state::SettingsDiff diff) : Diff(std::move(diff)) {}

  std::string text() const;
  nlohmann::ordered_json json() const;

private:
  state::SettingsDiff Diff;
};

} // namespace auburnroute::tool
