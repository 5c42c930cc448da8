#pragma once

#include <chrono>
#include <cstdint>
#include <memory>

namespace auburnroute::state {

/// Distribution of waits at one moment.
struct WaitSummary {
  std::uint64_t Count = 0;
  std::chrono::microseconds Mean{0};
  std::chrono::microseconds Median{0};
  std::chrono::microseconds Percentile99{0};
  std::chrono::microseconds Longest{0};
};

/// Distribution of waits since the start, in constant memory: quantiles are
/// estimated by the P-square algorithm (Boost.Accumulators).
class WaitStatistics {
public:
  WaitStatistics();
  ~WaitStatistics();

  void add(std::chrono::nanoseconds wait);
  WaitSummary summary() const;

private:
  struct Accumulators;
  std::unique_ptr<Accumulators> Waits;
};

} // namespace auburnroute::state
