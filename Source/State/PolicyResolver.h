#pragma once

#include "State/ObjectReader.h"
#include "State/Settings.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace auburnroute::state {

/// Where a policy value comes from; a later layer overrides an earlier one.
enum class PolicyLayer { BuiltIn, Defaults, Zone, Owner, Service };

/// Name of a layer, as in reports.
std::string_view toString(PolicyLayer layer);

/// A policy value in force with its origin.
struct PolicyValue {
  SettingValue Value;
  PolicyLayer Layer = PolicyLayer::BuiltIn;
  std::uint32_t Line = 1; ///< Of the value; 1 for a built-in value.
};

/// Resolves policy values through the layers
/// defaults <- availability zone <- owner <- service.
class PolicyResolver {
public:
  /// Values of one layer entry, by index of policyDescriptors().
  using Overrides = ObjectReader::Values;

  void setDefaults(Overrides values) { Defaults = std::move(values); }
  void setZone(const std::string &zone, Overrides values) {
    Zones[zone] = std::move(values);
  }
  void setOwner(const std::string &owner, Overrides values) {
    Owners[owner] = std::move(values);
  }
  void setService(const std::string &service, Overrides values) {
    Services[service] = std::move(values);
  }

  /// The values in force for \p service in \p zone, by index of
  /// policyDescriptors().
  std::vector<PolicyValue> resolve(const Service &service,
                                   const std::string &zone) const;
  /// The same as a ServicePolicy.
  static ServicePolicy toPolicy(const std::vector<PolicyValue> &values);

private:
  using ByName = std::map<std::string, Overrides>;

  Overrides Defaults;
  ByName Zones;
  ByName Owners;
  ByName Services;
};

} // namespace auburnroute::state
