#pragma once

#include "absl/container/flat_hash_map.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace auburnroute::routing {

/// An operator's request that a zone's servers get no new flows, or the end of
/// that request.
struct ZoneEvacuation {
  std::string Zone;
  bool IsActive = true;
  /// Era and revision of the registry entry, see ServerRegistration.
  std::uint64_t Era = 0;
  std::uint64_t Revision = 0;
};

/// The zones whose servers must get no new flows. Open flows are not affected.
class ZoneEvacuations {
public:
  /// Stores \p evacuation. Returns whether the state of the zone changed.
  bool apply(const ZoneEvacuation &evacuation);

  bool isEvacuated(std::string_view zone) const;
  /// Changes with each change of a zone's state; only compared for equality.
  std::uint64_t changeCount() const { return ChangeCount; }
  /// Names of the zones that are evacuated, sorted.
  std::vector<std::string> evacuatedZones() const;

private:
  absl::flat_hash_map<std::string, ZoneEvacuation> ByZone;
  std::uint64_t ChangeCount = 0;
};

} // namespace auburnroute::routing
