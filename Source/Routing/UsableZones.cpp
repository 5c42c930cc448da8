#include "Routing/UsableZones.h"

namespace auburnroute::routing {

std::vector<double> UsableZones::slotsOf(NameTable::Id service,
                                         common::TimePoint now) const {
  const auto unreachable = Health.unreachableZones(Directory, OwnZone, now);
  std::vector<double> slots(Directory.zoneNames().size());
  for (const auto id : Directory.serversOf(service)) {
    const auto &server = Directory.at(id);
    if (server.Registration.State != ServerState::Ready ||
        unreachable[server.Zone])
      continue;
    if (Evacuations != nullptr &&
        Evacuations->isEvacuated(server.Registration.Zone))
      continue;
    slots[server.Zone] += server.Registration.Slots;
  }
  return slots;
}

} // namespace auburnroute::routing
