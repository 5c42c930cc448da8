#pragma once

#include "Common/Clock.h"
#include "Common/Text.h"

#include "absl/container/flat_hash_set.h"

#include <chrono>
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
///
/// For each zone, one entry of each era is kept, the one with the highest
/// revision. A zone is evacuated if the entry of any era says so.
class ZoneEvacuations {
public:
  /// Limit of the evacuated zones, and of the ended evacuations that are kept
  /// for other hosts. Deployments have at most ten zones.
  static constexpr std::size_t MaxZones = 64;

  /// Limit of all entries of zones without servers.
  static constexpr std::size_t MaxEntries = 4 * MaxZones;
  /// Entries of one zone that are kept, of the latest eras. Peers state eras,
  /// so their number is limited.
  static constexpr std::size_t MaxErasPerZone = 8;

  /// Stores \p evacuation, which became known at \p now. Zones that have
  /// servers, by \p hasServers, are not limited: entries of another writer must
  /// not displace them. Returns whether the state of the zone changed; not if
  /// there is no room for it.
  bool apply(const ZoneEvacuation &evacuation, common::TimePoint now = {},
             bool hasServers = false);
  /// Whether the zone of \p evacuation is evacuated already or can be.
  bool hasRoomFor(const ZoneEvacuation &evacuation, bool hasServers) const;
  /// The entry of \p zone in \p era, or nullptr.
  const ZoneEvacuation *find(std::string_view zone, std::uint64_t era) const;
  /// All entries, ended ones included.
  std::vector<ZoneEvacuation> entries() const;

  /// Discards the entries of eras before \p era. Returns the zones that are no
  /// longer evacuated, sorted.
  std::vector<std::string> discardErasBefore(std::uint64_t era);
  /// Discards evacuations that ended more than \p retention before \p now, and
  /// the oldest ended ones above MaxZones. Returns the highest revision of \p
  /// era among those discarded, 0 if there are none.
  std::uint64_t discardEnded(std::chrono::seconds retention,
                             common::TimePoint now, std::uint64_t era);

  bool isEvacuated(std::string_view zone) const {
    return !Active.empty() && Active.contains(common::toAbsl(zone));
  }
  /// Changes with each change of a zone's state; only compared for equality.
  std::uint64_t changeCount() const { return ChangeCount; }
  /// Names of the zones that are evacuated, sorted.
  std::vector<std::string> evacuatedZones() const;

private:
  struct Entry {
    ZoneEvacuation Evacuation;
    common::TimePoint AppliedAt;
  };
  void discardOldestEra(const std::string &zone);
  /// Updates Active. Returns whether the state of \p zone changed.
  bool updateState(const std::string &zone);

  std::vector<Entry> Entries; ///< In the order in which they were applied.
  absl::flat_hash_set<std::string> Active;
  std::uint64_t ChangeCount = 0;
};

} // namespace auburnroute::routing
