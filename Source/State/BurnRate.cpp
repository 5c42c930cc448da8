#include "State/BurnRate.h"

#include <algorithm>

namespace auburnroute::state {

namespace {

// Avoids a division by zero for an objective of 100%.
constexpr double MinErrorBudget = 1e-6;

double rate(std::uint64_t bad, std::uint64_t total, double objective) {
  if (total == 0)
    return 0;
  const double share = static_cast<double>(bad) / static_cast<double>(total);
  return share / std::max(1.0 - objective, MinErrorBudget);
}

} // namespace

std::string_view toString(Objective objective) {
  switch (objective) {
  case Objective::Availability:
    return "availability";
  case Objective::Wait:
    return "wait";
  }
  return "invalid";
}

double burnRate(const FlowOutcomeCounts &counts, Objective objective,
                const ServicePolicy &policy) {
  switch (objective) {
  case Objective::Availability:
    return rate(counts.bad(), counts.total(), policy.AvailabilityObjective);
  case Objective::Wait:
    return rate(counts.Slow, counts.Placed, policy.WaitObjectiveShare);
  }
  return 0;
}

bool isAlerting(double longRate, double shortRate, const BurnWindows &windows) {
  return longRate > windows.AlertRate && shortRate > windows.AlertRate;
}

} // namespace auburnroute::state
