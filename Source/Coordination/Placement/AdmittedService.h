#pragma once

#include "Coordination/Health/BackendServerHealth.h"
#include "Coordination/Health/BackendServerLoad.h"
#include "Coordination/Placement/HeldQueue.h"
#include "Coordination/Placement/QuantileEstimate.h"
#include "State/Settings.h"

#include <cstdint>
#include <string>

namespace auburnroute::placement {

/// State that the admission owner keeps for a backend server.
struct AdmittedServer {
  const state::BackendServer *Settings = nullptr;
  /// With the address, identifies the server across revisions.
  std::string ServiceName;
  std::uint32_t Service = 0;
  health::BackendServerHealth Health;
  health::BackendServerLoad Load;
  double VirtualStart = 0; ///< Virtual start time of its next flow.
};

/// State that the admission owner keeps for a service.
struct AdmittedService {
  const state::Service *Settings = nullptr;
  state::ServicePolicy Policy;
  std::uint32_t FirstServer = 0; ///< Id.
  std::uint32_t ServerCount = 0;
  HeldQueue Queue;
  double VirtualTime = 0;
  // Medians over the backend servers.
  std::uint32_t MedianOtherRequests = 0;
  double MedianInTransitShare = 0; ///< 0 to 1.
  /// Median duration of requests. A younger request is likely to end soon.
  QuantileEstimate MedianDuration{0.5};
};

/// Slots of \p server: the configured ones, or fewer if a fresh report says so.
inline std::uint32_t slotsOf(const AdmittedServer &server,
                             const state::ServicePolicy &policy,
                             common::TimePoint now) {
  return server.Load.slots(now, server.Settings->Slots, policy.ReportTtl);
}

} // namespace auburnroute::placement
