#pragma once

#include "platform/ConfigurationCheck.h"

#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace auburnroute::platform {

/// One difference between two configurations.
struct ConfigurationChange {
  /// Place in the newer configuration, or in the older one if it is removed.
  std::string Path;
  bool IsRemoved = false;
  std::string What; ///< Such as "was 400, is 500".
};

/// What changes when a configuration takes the place of another one.
class ConfigurationDifference {
public:
  /// Routes are compared by address and services by name, so that their order
  /// does not count. Members that hosts do not read are compared, too. Both
  /// must be objects.
  static std::vector<ConfigurationChange> changes(const nlohmann::json &before,
                                                  const nlohmann::json &after);
  /// Why hosts that have \p before would not use \p after.
  static std::vector<ConfigurationFinding>
  findings(const nlohmann::json &before, const nlohmann::json &after);
};

} // namespace auburnroute::platform
