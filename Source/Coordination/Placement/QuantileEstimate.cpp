#include "Coordination/Placement/QuantileEstimate.h"

namespace auburnroute::placement {

namespace {

// Relative step per sample. The estimate follows a change of load within a
// hundred samples, which is a tenth of a second at the first users' peak load.
constexpr double Step = 0.05;

} // namespace

void QuantileEstimate::add(std::chrono::nanoseconds sample) {
  const auto value = static_cast<double>(sample.count());
  if (Value <= 0)
    Value = value;
  else
    Value += Step * Value * (value > Value ? Quantile : Quantile - 1);
}

} // namespace auburnroute::placement
