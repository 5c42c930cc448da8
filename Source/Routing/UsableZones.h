#pragma once

#include "Common/Clock.h"
#include "Routing/ServerDirectory.h"
#include "Routing/ServerHealthTracker.h"
#include "Routing/ZoneEvacuations.h"

#include <vector>

namespace auburnroute::routing {

/// The capacity of a service for new flows, by zone: the slots of its ready
/// servers in zones that are neither evacuated nor unreachable.
class UsableZones {
public:
  /// References must outlive the object; \p evacuations may be null.
  UsableZones(const ServerDirectory &directory,
              const ServerHealthTracker &health,
              const ZoneEvacuations *evacuations, NameTable::Id ownZone)
      : Directory(directory), Health(health), Evacuations(evacuations),
        OwnZone(ownZone) {}

  /// Slots of \p service, indexed by zone id. Scans all servers.
  std::vector<double> slotsOf(NameTable::Id service,
                              common::TimePoint now) const;
  /// Changes with each evacuation; only compared for equality.
  std::uint64_t evacuationChanges() const {
    return Evacuations == nullptr ? 0 : Evacuations->changeCount();
  }
  NameTable::Id ownZone() const { return OwnZone; }

private:
  const ServerDirectory &Directory;
  const ServerHealthTracker &Health;
  const ZoneEvacuations *Evacuations;
  NameTable::Id OwnZone;
};

} // namespace auburnroute::routing
