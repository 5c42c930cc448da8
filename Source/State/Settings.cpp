#include "State/Settings.h"

#include <algorithm>

namespace auburnroute::state {

std::optional<std::size_t> Settings::zoneIndex(std::string_view zone) const {
  const auto it = std::find(Zones.begin(), Zones.end(), zone);
  if (it == Zones.end())
    return std::nullopt;
  return static_cast<std::size_t>(it - Zones.begin());
}

const Service *Settings::findService(std::string_view name) const {
  const auto it = std::find_if(Services.begin(), Services.end(),
                               [&](const auto &s) { return s.Name == name; });
  return it == Services.end() ? nullptr : &*it;
}

} // namespace auburnroute::state
