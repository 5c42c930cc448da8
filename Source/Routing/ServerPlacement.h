#pragma once

#include "Routing/ColdStartLimiter.h"
#include "Routing/DegradedServers.h"
#include "Routing/Placement.h"
#include "Routing/ServerHealthTracker.h"
#include "Routing/SharedLoad.h"
#include "Routing/ZoneEvacuations.h"
#include "Routing/ZoneSelector.h"

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <vector>

namespace auburnroute::routing {

/// Weights of the placement, in units of a fully loaded server (all slots
/// busy).
struct PlacementWeights {
  /// Penalty for a server of another availability zone. Below 1, so that an
  /// idle remote server is preferred to a local one without free slots.
  double OtherZone = 0.75;
  /// Penalty for a server that is still warming up.
  double Cold = 0.6;
  /// Load of an idle open flow relative to a request: a feed sends one request
  /// a second, which takes about 20 ms.
  double OpenFlow = 0.02;
  // With shared loads, which are up to some seconds old, all hosts would choose
  // the same least loaded server until the next update.
  /// Servers whose load exceeds the least one by up to this are equal.
  double Margin = 0;
  /// If not 0, only this number of random servers is compared in the wanted
  /// zone, and outside it.
  std::uint32_t Choices = 0;
  // Factors on the load by other hosts. At totals 2 to 4 s old, full factors
  // make hosts choose the same servers: see docs/design/load-sharing.md.
  double RemoteRequests = 0;
  double RemoteFlows = 0;
};

/// Optional parts of the placement; each may be null. They must outlive the
/// placement.
struct PlacementParts {
  const ZoneEvacuations *Evacuations = nullptr;
  ColdStartLimiter *ColdStarts = nullptr;
  const SharedLoad *Load = nullptr;
  ZoneSelector *Zones = nullptr;
  DegradedServers *Degraded = nullptr;
};

/// Chooses the least loaded backend server from this host's own view of load
/// and health.
class ServerPlacement final : public Placement {
public:
  /// References must outlive the object. \p seed seeds the random choice among
  /// equally loaded servers.
  ServerPlacement(const ServerDirectory &directory,
                  const ServerHealthTracker &health, NameTable::Id ownZone,
                  std::uint64_t seed, PlacementWeights weights = {})
      : Directory(directory), Health(health), OwnZone(ownZone), Random(seed),
        Weights(weights) {}

  void setParts(const PlacementParts &parts) { Parts = parts; }
  const PlacementParts &parts() const { return Parts; }

  /// The least loaded server of \p service that is not in \p tried. Suspected
  /// servers and those of unreachable zones are used only if there are no
  /// others; servers whose entry lapsed without draining are used only if \p
  /// useLapsed is set and none is registered. Draining servers, those of
  /// evacuated zones and those that the cold start limit excludes are never
  /// used. If the zone selector has chosen a zone, servers of other zones are
  /// used only if it has none of the same rank, whatever their load.
  std::optional<ServerId> choose(NameTable::Id service,
                                 std::span<const ServerId> tried,
                                 bool useLapsed,
                                 common::TimePoint now) override;

private:
  /// Order of preference; lower comes first.
  enum class Rank : std::uint8_t {
    Preferred,
    Tried,
    Degraded,
    Suspected,
    Lapsed,
    Unusable
  };
  Rank rankOf(ServerId id, std::span<const ServerId> tried, bool useLapsed,
              common::TimePoint now) const;
  /// \p otherZonePenalty: added for servers of other zones than the own one.
  double loadOf(ServerId id, double otherZonePenalty,
                common::TimePoint now) const;
  struct RatedServer {
    ServerId Id = 0;
    double Load = 0;
    bool IsInZone = false; ///< In the zone where the flow is to be served.
  };
  /// Chooses among Rated, of which there is at least one, by shared loads.
  ServerId chooseShared();
  void updateUnreachableZones(common::TimePoint now);

  const ServerDirectory &Directory;
  const ServerHealthTracker &Health;
  NameTable::Id OwnZone;
  std::mt19937_64 Random;
  PlacementWeights Weights;
  PlacementParts Parts;
  std::vector<RatedServer> Rated; ///< Of the best rank; valid in choose().
  std::vector<bool> UnreachableZones;
  common::TimePoint ZonesCheckedAt;
};

} // namespace auburnroute::routing
