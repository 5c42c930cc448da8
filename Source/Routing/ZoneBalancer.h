#pragma once

#include "Common/Clock.h"
#include "Routing/SharedLoad.h"
#include "Routing/UsableZones.h"
#include "Routing/ZoneDelays.h"
#include "Routing/ZoneSelector.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace auburnroute::routing {

/// Speeds and thresholds of the ZoneBalancer. The defaults are those of the
/// daemon.
struct ZoneBalancerLimits {
  /// How often shares change.
  std::chrono::milliseconds Interval{250};
  /// A share rises or falls by at most these a second, reached at a gain of 1.
  double MaxRise = 0.2;
  double MaxFall = 0.2;
  /// A share starts to rise from 0 above this gain, and moves at a gain beyond
  /// the other one. Between them it stays.
  double StartGain = 0.15;
  double HoldGain = 0.03;
  /// The gain is extrapolated over this time, since shares act on later
  /// requests of flows, and since loads are 1 to 2 s old.
  std::chrono::milliseconds Lookahead{3000};
  /// Time over which the trend of the gain is taken.
  std::chrono::milliseconds TrendWindow{2000};
  /// Part of a zone's slots that counts as free even if all are busy, so that
  /// zones without a free slot get flows by slots.
  double MinFreeShare = 0.1;
  /// Part of the difference to the current free slots that the split of an
  /// evacuated zone's flows moves with each interval. Its hosts all see the
  /// same old loads and would else send to one zone after the other.
  double SplitStep = 0.1;
};

/// Decides which share of a service's new flows leaves the own zone.
///
/// For each other zone that is usable, the gain of leaving is the expected wait
/// in the own zone (QueueEstimate, Little's law) less that in the other zone,
/// the network delay and what the operator sets as the cost of crossing, as a
/// part of the sum of both response times (-1 to 1). While it is positive, the
/// share that goes there rises in small steps, and it falls while it is
/// negative. Each host moves its own share, which is a part
/// of the zone's flows, so the result does not depend on the number of hosts.
class ZoneBalancer final : public ZoneSelector {
public:
  using Duration = ZoneDelays::Duration;

  /// What a decision rests on, for logs and metrics.
  struct Inputs {
    /// Outstanding requests for each slot of the own zone; 0 if unknown.
    double OwnUtilization = 0;
    /// Those of the zone that gets most of what leaves; 0 without one.
    double OtherUtilization = 0;
    Duration OwnTime{0};   ///< Expected response time in the own zone.
    Duration OtherTime{0}; ///< Including delay and cost of crossing.
    /// Time since the load of the own zone last changed.
    std::chrono::milliseconds Age{0};
  };
  struct State {
    NameTable::Id Service = 0;
    /// Share of new flows that leaves the own zone, 0 to 1.
    double LeavingShare = 0;
    /// The own zone has no usable server.
    bool IsOwnZoneUnusable = false;
    Inputs Basis;
  };

  /// References must outlive the object. \p seed spreads the hosts' choices.
  ZoneBalancer(const UsableZones &zones, const SharedLoad &load,
               const ZoneDelays &delays, Duration crossZoneCost,
               std::uint64_t seed, ZoneBalancerLimits limits = {})
      : Zones(zones), Load(load), Delays(delays), CrossZoneCost(crossZoneCost),
        Random(seed), Limits(limits) {}

  std::optional<NameTable::Id> zoneFor(NameTable::Id service,
                                       common::TimePoint now) override;
  /// Services for which zones were chosen, as of \p now.
  std::vector<State> states(common::TimePoint now);
  /// Number of flows of the own zone that were sent to others.
  std::uint64_t flowsSentAway() const { return SentAway; }

private:
  /// What is known of a zone, and the share of the own flows that it gets.
  struct Zone {
    double Slots = 0;
    std::optional<ZoneLoad> Load;
    double Share = 0;
    double SmoothedGain = 0;
    bool HasGain = false; ///< SmoothedGain is from recent loads.
  };
  struct Service {
    bool IsUsed = false;
    bool HasPreference = false;
    common::TimePoint UpdatedAt;
    common::TimePoint LoadChangedAt;
    std::optional<ZoneLoad> LastOwnLoad;
    std::uint64_t EvacuationChanges = 0;
    std::vector<Zone> ByZone; ///< By zone id; the own zone's share is unused.
    Duration ServiceTime{0};  ///< Mean over all zones.

    double leavingShare() const;
  };

  Service &update(NameTable::Id id, common::TimePoint now);
  /// Moves the shares by the gains of leaving.
  void adjust(Service &service, std::chrono::duration<double> elapsed) const;
  void adjust(Service &service, NameTable::Id id, double stepWeight,
              std::chrono::duration<double> elapsed) const;
  /// Splits all flows over the other zones by their free slots.
  void splitAll(Service &service, bool isFirst) const;
  void updateLoads(Service &service, NameTable::Id id,
                   common::TimePoint now) const;
  Inputs inputsOf(const Service &service, common::TimePoint now) const;
  bool isOwnZoneUsable(const Service &service) const;

  const UsableZones &Zones;
  const SharedLoad &Load;
  const ZoneDelays &Delays;
  Duration CrossZoneCost;
  std::mt19937_64 Random;
  ZoneBalancerLimits Limits;
  std::vector<Service> Services; ///< By service id.
  std::uint64_t SentAway = 0;
};

} // namespace auburnroute::routing
