#pragma once

#include <chrono>

namespace auburnroute::placement {

/// Estimates a quantile of a stream of durations in constant memory. A sample
/// above the estimate raises it, one below lowers it, by steps proportional to
/// the estimate and weighted so that they cancel out at the quantile.
class QuantileEstimate {
public:
  /// \p quantile is between 0 and 1.
  explicit QuantileEstimate(double quantile) : Quantile(quantile) {}

  void add(std::chrono::nanoseconds sample);
  /// The estimate; 0 before the first sample.
  std::chrono::nanoseconds value() const {
    return std::chrono::nanoseconds(static_cast<std::int64_t>(Value));
  }

private:
  double Quantile;
  double Value = 0; ///< In nanoseconds.
};

} // namespace auburnroute::placement
