#include "Routing/ZoneEvacuations.h"

#include "Common/Text.h"

#include <algorithm>
#include <tuple>

namespace auburnroute::routing {

bool ZoneEvacuations::apply(const ZoneEvacuation &evacuation) {
  const auto [it, added] = ByZone.try_emplace(evacuation.Zone, evacuation);
  auto &known = it->second;
  if (!added && std::tie(known.Era, known.Revision) >=
                    std::tie(evacuation.Era, evacuation.Revision))
    return false;
  const bool changed =
      added ? evacuation.IsActive : known.IsActive != evacuation.IsActive;
  known = evacuation;
  ChangeCount += changed;
  return changed;
}

bool ZoneEvacuations::isEvacuated(std::string_view zone) const {
  const auto it = ByZone.find(common::toAbsl(zone));
  return it != ByZone.end() && it->second.IsActive;
}

std::vector<std::string> ZoneEvacuations::evacuatedZones() const {
  std::vector<std::string> zones;
  for (const auto &[name, it] : ByZone)
    if (it.IsActive)
      zones.push_back(name);
  std::ranges::sort(zones);
  return zones;
}

} // namespace auburnroute::routing
