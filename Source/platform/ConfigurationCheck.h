#pragma once

#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace auburnroute::platform {

/// Something about a configuration that an operator should know before sending
/// it.
struct ConfigurationFinding {
  /// Whether hosts do not use the value, or all of the document. Otherwise
  /// they do, but hardly as intended.
  bool IsError = true;
  std::string Path; ///< Such as "routes[2].aim_ms"; empty for the document.
  std::string What;
  std::string Expected;
};

/// Checks the routing configuration that operators write to the registry, in
/// the form that StoreCodec reads.
class ConfigurationCheck {
public:
  /// The findings on \p document. Members that hosts do not read are not
  /// checked.
  static std::vector<ConfigurationFinding>
  findings(const nlohmann::json &document);
};

} // namespace auburnroute::platform
