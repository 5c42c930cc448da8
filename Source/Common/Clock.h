#pragma once

#include <chrono>

namespace auburnroute::common {

/// Monotonic time; the only time that decisions use.
using TimePoint = std::chrono::steady_clock::time_point;
/// Wall time; for reports to operators only.
using WallTime = std::chrono::system_clock::time_point;

/// Source of time. Passed in wherever time is read, so that tests control it.
class Clock {
public:
  virtual ~Clock() = default;

  /// Monotonic time; does not jump when the wall clock is set.
  virtual TimePoint now() const = 0;
  /// Wall time (UTC).
  virtual WallTime wallTime() const = 0;
};

} // namespace auburnroute::common
