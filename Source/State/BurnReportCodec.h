#pragma once

#include "State/BurnRate.h"

#include "absl/status/statusor.h"

#include <chrono>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace auburnroute::state {

/// Counts of one service, of one host or summed over hosts.
struct ServiceBurnReport {
  ServicePolicy Policy; ///< Only the objectives are encoded.
  std::map<std::chrono::minutes, FlowOutcomeCounts> Windows;
  /// The last minutes, oldest first; for the plot.
  std::vector<FlowOutcomeCounts> Minutes;
};

/// The answer to GET /burn.
struct HostBurnReport {
  std::string Host;
  std::chrono::minutes Uptime{0}; ///< Windows reach back no further.
  std::map<std::string, ServiceBurnReport> Services;
};

/// Length of the plot in minutes.
inline constexpr std::size_t PlottedMinutes = 60;

/// Report on \p service from \p history, with the default policy.
ServiceBurnReport makeBurnReport(const FlowOutcomeHistory &history,
                                 common::WallTime now,
                                 const std::string &service);

std::string encodeBurnReport(const HostBurnReport &burn);

/// Errors: InvalidArgument.
absl::StatusOr<HostBurnReport> decodeBurnReport(std::string_view text);

/// Adds the counts of one host to \p sum; the policy of the last one is kept.
void addBurnReport(std::map<std::string, ServiceBurnReport> &sum,
                   const HostBurnReport &burn);

} // namespace auburnroute::state
