#include "Routing/ZoneEvacuations.h"

#include <algorithm>

namespace auburnroute::routing {

using common::TimePoint;

bool ZoneEvacuations::updateState(const std::string &zone) {
  const bool isActive = std::ranges::any_of(Entries, [&](const Entry &it) {
    return it.Evacuation.IsActive && it.Evacuation.Zone == zone;
  });
  const bool changed = isActive != Active.contains(zone);
  if (changed && isActive)
    Active.insert(zone);
  else if (changed)
    Active.erase(zone);
  ChangeCount += changed;
  return changed;
}

bool ZoneEvacuations::hasRoomFor(const ZoneEvacuation &evacuation,
                                 bool hasServers) const {
  return !evacuation.IsActive || hasServers ||
         ((Active.size() < MaxZones || Active.contains(evacuation.Zone)) &&
          Entries.size() < MaxEntries);
}

void ZoneEvacuations::discardOldestEra(const std::string &zone) {
  auto oldest = Entries.end();
  std::size_t count = 0;
  for (auto it = Entries.begin(); it != Entries.end(); ++it) {
    if (it->Evacuation.Zone != zone)
      continue;
    ++count;
    if (oldest == Entries.end() || it->Evacuation.Era < oldest->Evacuation.Era)
      oldest = it;
  }
  if (count > MaxErasPerZone)
    Entries.erase(oldest);
}

bool ZoneEvacuations::apply(const ZoneEvacuation &evacuation, TimePoint now,
                            bool hasServers) {
  if (!hasRoomFor(evacuation, hasServers))
    return false;
  const auto known = std::ranges::find_if(Entries, [&](const Entry &it) {
    return it.Evacuation.Zone == evacuation.Zone &&
           it.Evacuation.Era == evacuation.Era;
  });
  if (known != Entries.end()) {
    if (known->Evacuation.Revision >= evacuation.Revision)
      return false;
    Entries.erase(known);
  }
  Entries.push_back({evacuation, now});
  discardOldestEra(evacuation.Zone);
  return updateState(evacuation.Zone);
}

const ZoneEvacuation *ZoneEvacuations::find(std::string_view zone,
                                            std::uint64_t era) const {
  for (const auto &it : Entries)
    if (it.Evacuation.Zone == zone && it.Evacuation.Era == era)
      return &it.Evacuation;
  return nullptr;
}

std::vector<ZoneEvacuation> ZoneEvacuations::entries() const {
  std::vector<ZoneEvacuation> all;
  all.reserve(Entries.size());
  for (const auto &it : Entries)
    all.push_back(it.Evacuation);
  return all;
}

std::vector<std::string> ZoneEvacuations::discardErasBefore(std::uint64_t era) {
  std::erase_if(Entries,
                [&](const Entry &it) { return it.Evacuation.Era < era; });
  auto ended = evacuatedZones();
  std::erase_if(ended,
                [&](const std::string &zone) { return !updateState(zone); });
  return ended;
}

std::uint64_t ZoneEvacuations::discardEnded(std::chrono::seconds retention,
                                            TimePoint now, std::uint64_t era) {
  std::uint64_t highest = 0;
  auto surplus = std::ranges::count_if(
      Entries, [](const Entry &it) { return !it.Evacuation.IsActive; });
  surplus -= static_cast<std::ptrdiff_t>(MaxZones);
  std::erase_if(Entries, [&](const Entry &it) {
    if (it.Evacuation.IsActive ||
        (surplus <= 0 && now - it.AppliedAt < retention))
      return false;
    --surplus;
    if (it.Evacuation.Era == era)
      highest = std::max(highest, it.Evacuation.Revision);
    return true;
  });
  return highest;
}

std::vector<std::string> ZoneEvacuations::evacuatedZones() const {
  std::vector<std::string> zones(Active.begin(), Active.end());
  std::ranges::sort(zones);
  return zones;
}

} // namespace auburnroute::routing
