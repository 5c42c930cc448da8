#include "State/PolicyResolver.h"

#include "State/PolicyDescriptors.h"

namespace auburnroute::state {

namespace {

void applyOverrides(std::vector<PolicyValue> &values,
                    const PolicyResolver::Overrides &overrides,
                    PolicyLayer layer) {
  for (std::size_t i = 0; i < overrides.size(); ++i)
    if (overrides[i])
      values[i] = {overrides[i]->Value, layer, overrides[i]->Line};
}

} // namespace

std::string_view toString(PolicyLayer layer) {
  switch (layer) {
  case PolicyLayer::BuiltIn:
    return "built-in";
  case PolicyLayer::Defaults:
    return "defaults";
  case PolicyLayer::Zone:
    return "zone";
  case PolicyLayer::Owner:
    return "owner";
  case PolicyLayer::Service:
    return "service";
  }
  return "";
}

std::vector<PolicyValue>
PolicyResolver::resolve(const Service &service, const std::string &zone) const {
  std::vector<PolicyValue> values;
  for (const auto &it : policyDescriptors())
    values.push_back({it.defaultValue(), PolicyLayer::BuiltIn, 1});
  applyOverrides(values, Defaults, PolicyLayer::Defaults);
  if (const auto it = Zones.find(zone); it != Zones.end())
    applyOverrides(values, it->second, PolicyLayer::Zone);
  if (const auto it = Owners.find(service.Owner); it != Owners.end())
    applyOverrides(values, it->second, PolicyLayer::Owner);
  if (const auto it = Services.find(service.Name); it != Services.end())
    applyOverrides(values, it->second, PolicyLayer::Service);
  return values;
}

ServicePolicy PolicyResolver::toPolicy(const std::vector<PolicyValue> &values) {
  ServicePolicy policy;
  const auto &table = policyDescriptors();
  for (std::size_t i = 0; i < table.size(); ++i)
    table[i].Set(policy, values[i].Value);
  return policy;
}

} // namespace auburnroute::state
