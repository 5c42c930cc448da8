#pragma once

#include "State/FlowOutcomeHistory.h"
#include "State/Settings.h"

#include <array>
#include <chrono>
#include <string>
#include <string_view>

namespace auburnroute::state {

/// What an objective counts.
enum class Objective {
  Availability, ///< Flows neither refused nor broken.
  Wait,         ///< Flows placed within the wait objective.
};

/// Name of an objective, as in reports.
std::string_view toString(Objective objective);

/// A pair of windows for multi-window burn rate alerts. An alert needs both
/// rates above AlertRate: the short window ends it soon after the burn stops.
/// The pairs are those of the Google SRE workbook, chapter 5.
struct BurnWindows {
  std::chrono::minutes Long;
  std::chrono::minutes Short;
  double AlertRate; ///< Multiple of the rate that spends the budget in 30 d.
};

inline constexpr std::array<BurnWindows, 3> BurnWindowPairs{{
    {std::chrono::hours(1), std::chrono::minutes(5), 14.4},
    {std::chrono::hours(6), std::chrono::minutes(30), 6.0},
    {std::chrono::hours(72), std::chrono::hours(6), 1.0},
}};

/// How fast a service spends its error budget: share of bad flows over the
/// share that the objective allows. 0 if there were no flows.
double burnRate(const FlowOutcomeCounts &counts, Objective objective,
                const ServicePolicy &policy);

/// Whether both windows burn faster than the alert rate.
bool isAlerting(double longRate, double shortRate, const BurnWindows &windows);

} // namespace auburnroute::state
