#pragma once

#include "Coordination/Health/BackendServerHealth.h"
#include "Coordination/Health/BackendServerLoad.h"
#include "Coordination/Placement/HeldQueue.h"
#include "Coordination/Placement/QuantileEstimate.h"
#include "State/Settings.h"

#include <cstdint>
#include <string>

namespace auburnroute::placement {

/// A backend server as the admission owner sees it.
struct AdmittedServer {
  const state::BackendServer *Settings = nullptr;
  std::string ServiceName; ///< Identifies it across revisions, with the
                           ///< address.
  std::uint32_t Service = 0;
  health::BackendServerHealth Health;
  health::BackendServerLoad Load;
  double VirtualStart = 0; ///< Virtual time at which it is due again.
};

/// A service as the admission owner sees it.
struct AdmittedService {
  const state::Service *Settings = nullptr;
  state::ServicePolicy Policy;
  std::uint32_t FirstServer = 0; ///< Id.
  std::uint32_t ServerCount = 0;
  HeldQueue Queue;
  double VirtualTime = 0;
  std::uint32_t MedianOtherRequests = 0; ///< Median of the reports.
  double MedianInTransitShare = 0;       ///< Median of the reports.
  /// Median. A request that is younger is likely to end soon.
  QuantileEstimate MedianDuration{0.5};
};

/// Slots of \p server, by its reports as long as they are fresh.
inline std::uint32_t slotsOf(const AdmittedServer &server,
                             const state::ServicePolicy &policy,
                             common::TimePoint now) {
  return server.Load.slots(now, server.Settings->Slots, policy.ReportTtl);
}

} // namespace auburnroute::placement
