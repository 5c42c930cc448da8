#include "Coordination/Placement/QuantileEstimate.h"

namespace auburnroute::placement {

namespace {

// A change of load shows within a hundred samples, a tenth of a second at the
// crest of the first users.
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
