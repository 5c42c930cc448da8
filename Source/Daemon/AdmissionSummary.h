#pragma once

#include "Coordination/Placement/AdmissionEvents.h"
#include "State/FlowOutcomeHistory.h"
#include "State/WaitStatistics.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace auburnroute::daemon {

/// Periodic report to the control thread, from the admission thread or from a
/// traffic thread that refused SYNs.
struct AdmissionSummary {
  std::vector<placement::AdmissionEvent> Events; ///< Since the last summary.
  /// By service name, since the last summary.
  std::map<std::string, state::FlowOutcomeCounts> FlowOutcomes;
  /// Since the start of the process; set by the admission thread only.
  std::optional<state::WaitSummary> Waits;
};

} // namespace auburnroute::daemon
