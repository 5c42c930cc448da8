#pragma once

#include "Coordination/AdmissionEvents.h"
#include "State/BurnLedger.h"
#include "State/WaitStatistics.h"

#include <map>
#include <string>
#include <vector>

namespace auburnroute::daemon {

/// What the admission thread tells the control thread from time to time.
struct AdmissionSummary {
  std::vector<coordination::AdmissionEvent> Events; ///< Since the last one.
  std::map<std::string, state::BurnCounts> Burn;    ///< Since the last one.
  state::WaitSummary Waits;                         ///< Since the start.
};

} // namespace auburnroute::daemon
