#pragma once

#include "Edge/EdgeMetrics.h"
#include "Edge/EventLog.h"
#include "Routing/OverloadControl.h"
#include "Routing/ZoneBalancer.h"

#include "absl/container/flat_hash_map.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace auburnroute::edge {

/// Zone balancing and admission control of a host that knows the load of
/// others, with their log lines and metrics.
class LoadControl {
public:
  /// References must outlive the object; \p evacuations may be null.
  LoadControl(const routing::ServerDirectory &directory,
              const routing::ServerHealthTracker &health,
              const routing::ZoneEvacuations *evacuations,
              routing::NameTable::Id ownZone, const routing::SharedLoad &load,
              std::chrono::milliseconds crossZoneCost, std::uint64_t seed,
              EventLog &log, EdgeMetrics &metrics);

  routing::ZoneSelector &zones() { return Balancer; }
  routing::FlowAdmission &admission() { return Admission; }
  routing::ZoneDelays &delays() { return Delays; }
  /// Logs where leaving the zone or refusing has begun or ended, and updates
  /// the counters. Call every 250 ms.
  void poll(common::TimePoint now);
  /// Fills in the gauges as of the last poll().
  void sample(EdgeGauges &gauges) const;

private:
  /// Whether a share is logged as above 0.
  struct Episode {
    bool IsActive = false;
    common::TimePoint LastAbove; ///< When it was last above the end threshold.
  };

  /// Whether \p episode began or ended with \p share.
  static bool changes(Episode &episode, double share, common::TimePoint now);
  void reportLeaving(const routing::ZoneBalancer::State &state,
                     common::TimePoint now);
  void reportRefusing(const routing::OverloadControl::State &state,
                      common::TimePoint now);

  const routing::ServerDirectory &Directory;
  EventLog &Log;
  EdgeMetrics &Metrics;
  routing::UsableZones Usable;
  routing::ZoneDelays Delays;
  routing::ZoneBalancer Balancer;
  routing::OverloadControl Admission;
  absl::flat_hash_map<routing::NameTable::Id, Episode> Leaving; ///< By service.
  absl::flat_hash_map<routing::NameTable::Id, Episode>
      Refusing; ///< By service.
  double LargestLeavingShare = 0;
  double LargestRefusedShare = 0;
};

} // namespace auburnroute::edge
