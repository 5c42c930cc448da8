#pragma once

#include "Coordination/Placement/AdmissionEvents.h"
#include "State/BurnLedger.h"
#include "State/WaitStatistics.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace auburnroute::daemon {

/// What the admission thread, or a traffic thread that refuses SYNs, tells the
/// control thread from time to time.
struct AdmissionSummary {
  std::vector<placement::AdmissionEvent> Events; ///< Since the last one.
  std::map<std::string, state::BurnCounts>
      FlowOutcomes; ///< Since the last one.
  /// Since the start; only the admission thread has them.
  std::optional<state::WaitSummary> Waits;
};

} // namespace auburnroute::daemon
