#pragma once

#include "State/Settings.h"

#include <cstddef>
#include <optional>

namespace auburnroute::state {

/// Shares (0 to 1) of a service's flows that a change of settings affects.
struct AffectedFlowShares {
  /// Tagged flows that no longer reach their backend server, by weight. 0 for
  /// every planned change: only a changed flow seed and backend servers that
  /// leave, or change number or address, without draining break such flows.
  double Established = 0;
  /// New flows whose expected placement changes, by weight. Zones and load
  /// are not considered.
  double New = 0;
  /// Flows without timestamps that are hashed to another backend server;
  /// nothing if the service does not use the mode `hash`. Estimated over
  /// sampled flow keys.
  std::optional<double> Untagged;
  /// Number of flow keys behind Untagged.
  std::size_t Samples = 0;

  /// The shares for a service that is in both settings.
  static AffectedFlowShares between(const Settings &oldSettings,
                                    const Service &oldService,
                                    const Settings &newSettings,
                                    const Service &newService);
};

} // namespace auburnroute::state
