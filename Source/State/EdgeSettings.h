#pragma once

#include "Common/Endpoint.h"

#include "absl/status/statusor.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace auburnroute::state {

/// How a host starts.
enum class StartMode : std::uint8_t {
  Restart, ///< Other hosts may run already, and callers may wait.
  First,   ///< The whole fleet starts for the first time.
};

/// Whether servers that fail more often than the others of their service get
/// fewer new flows.
enum class OutlierDetection : std::uint8_t { On, Off };

/// Settings of one edge daemon, from a local file.
struct EdgeSettings {
  std::string Host;
  std::string Zone;
  common::Endpoint Packets;  ///< UDP, packets from the routers.
  common::Endpoint Ready;    ///< TCP, HTTP for the routers.
  common::Endpoint Control;  ///< TCP, HTTP for operators.
  common::Endpoint Metrics;  ///< TCP, HTTP for monitoring; optional.
  common::Endpoint Peers;    ///< UDP and TCP, other hosts.
  common::Endpoint Registry; ///< TCP, HTTP; configuration and servers.
  std::vector<common::Endpoint> Seeds; ///< Control endpoints of other hosts.
  StartMode Start = StartMode::Restart;
  std::chrono::milliseconds ServerHeartbeat{1000};
  /// The shortest bound on the time until a change is in force.
  std::chrono::milliseconds ChangeBound{3000};
  /// The time until an evacuation is in force; 0: ChangeBound.
  std::chrono::milliseconds EvacuationBound{0};
  std::chrono::milliseconds FlowLifetime{60000};
  std::chrono::milliseconds StopTimeout{6000};
  OutlierDetection Outliers = OutlierDetection::Off;
  /// Waiting time that callers should accept before their flows are sent to
  /// another zone.
  std::chrono::milliseconds CrossZoneCost{5};
  /// Hosts tell each other the load of busy services.
  bool LoadSharing = false;
  /// With LoadSharing: flows that cannot be served in time are refused.
  bool AdmissionControl = false;
  /// A cold server gets at most rate x ColdStartOverage + ColdStartSlack new
  /// flows in any second, with the rate that its service states.
  double ColdStartOverage = 1;
  double ColdStartSlack = 0;

  /// The bound that the reads of the registry have to meet.
  std::chrono::milliseconds registryBound() const {
    return EvacuationBound.count() == 0
               ? ChangeBound
               : std::min(ChangeBound, EvacuationBound);
  }
};

/// Reads and checks the settings of an edge daemon. Errors: InvalidArgument,
/// with file, line, path and what is accepted for each error.
absl::StatusOr<EdgeSettings> loadEdgeSettings(std::string_view text,
                                              std::string_view fileName);

/// The keys of all settings, in the order of the reference page.
std::vector<std::string_view> edgeSettingKeys();

} // namespace auburnroute::state
