#include "Routing/QueueEstimate.h"

#include <algorithm>

namespace auburnroute::routing {

namespace {

/// Bounds the estimate where reports are absurd, and the division by 1 - r^2.
constexpr double MaxOutstanding = 1000;
/// Halves the error of the busy share each time.
constexpr int Steps = 24;

} // namespace

QueueEstimate::QueueEstimate(double outstanding) {
  const double target = std::clamp(outstanding, 0.0, MaxOutstanding);
  double high = 1;
  for (int i = 0; i < Steps; ++i) {
    const double middle = (Busy + high) / 2;
    // Little's law: outstanding = busy share x (wait + service time).
    const double wait = middle * middle / (2 * (1 - middle * middle));
    (middle * (1 + wait) <= target ? Busy : high) = middle;
  }
}

} // namespace auburnroute::routing
