#pragma once

#include <chrono>

namespace auburnroute::common {

/// Monotonic time; all timeouts and decisions are based on it.
using TimePoint = std::chrono::steady_clock::time_point;
/// Wall-clock time; only for reports to operators.
using WallTime = std::chrono::system_clock::time_point;

/// Source of time, injected wherever time is read so that tests control it.
class Clock {
public:
  virtual ~Clock() = default;

  /// Monotonic time; unaffected by adjustments of the wall clock.
  virtual TimePoint now() const = 0;
  /// Wall-clock time (UTC).
  virtual WallTime wallTime() const = 0;
};

} // namespace auburnroute::common
