#pragma once

#include <chrono>

namespace auburnroute::placement {

/// Follows a quantile of a stream of durations in constant memory: each sample
/// moves the estimate by a fixed share of itself, up or down in the proportion
/// that balances at the quantile.
class QuantileEstimate {
public:
  /// \p quantile is between 0 and 1.
  explicit QuantileEstimate(double quantile) : Quantile(quantile) {}

  void add(std::chrono::nanoseconds sample);
  /// 0 before the first sample.
  std::chrono::nanoseconds value() const {
    return std::chrono::nanoseconds(static_cast<std::int64_t>(Value));
  }

private:
  double Quantile;
  double Value = 0; ///< ns
};

} // namespace auburnroute::placement
