#pragma once

#include "Routing/Placement.h"
#include "Routing/ServerHealthTracker.h"

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <vector>

namespace auburnroute::routing {

/// Weights of the placement, in units of a server's full load: all slots busy.
struct PlacementWeights {
  /// A server of another availability zone is taken only if those of the own
  /// zone are this much more loaded: an idle one beats one whose slots are
  /// all taken.
  double OtherZone = 0.75;
  /// A server that is slow after its start counts as this much more loaded.
  double Cold = 0.6;
  /// An idle open flow counts as this part of a request: a feed sends one
  /// request a second, which takes some 20 ms.
  double OpenFlow = 0.02;
};

/// Chooses the backend server of a new flow from what this host has seen.
class ServerPlacement final : public Placement {
public:
  /// References must outlive the object. \p seed: of the choice among equals.
  ServerPlacement(const ServerDirectory &directory,
                  const ServerHealthTracker &health, NameTable::Id ownZone,
                  std::uint64_t seed, PlacementWeights weights = {})
      : Directory(directory), Health(health), OwnZone(ownZone), Random(seed),
        Weights(weights) {}

  /// The least loaded server of \p service that is not in \p tried. Suspected
  /// servers and those of silent zones are used only if there are no others,
  /// and servers whose entry lapsed unannounced only if \p useLapsed is set and
  /// none is registered. Draining servers are never used.
  std::optional<ServerId> choose(NameTable::Id service,
                                 std::span<const ServerId> tried,
                                 bool useLapsed,
                                 common::TimePoint now) override;

private:
  /// Order of use; lower comes first.
  enum class Rank : std::uint8_t {
    Preferred,
    Tried,
    Suspected,
    Lapsed,
    Unusable
  };
  Rank rankOf(ServerId id, std::span<const ServerId> tried, bool useLapsed,
              common::TimePoint now) const;
  double loadOf(ServerId id, common::TimePoint now) const;
  void updateUnreachableZones(common::TimePoint now);

  const ServerDirectory &Directory;
  const ServerHealthTracker &Health;
  NameTable::Id OwnZone;
  std::mt19937_64 Random;
  PlacementWeights Weights;
  std::vector<bool> UnreachableZones;
  common::TimePoint ZonesCheckedAt;
};

} // namespace auburnroute::routing
