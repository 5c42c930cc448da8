#pragma once

#include "Common/Clock.h"

namespace auburnroute::common {

/// Clock that only moves when it is advanced; for tests and simulations.
class ManualClock final : public Clock {
public:
  TimePoint now() const override { return Monotonic; }
  WallTime wallTime() const override { return Wall; }

  /// Moves both clocks forward by \p step.
  void advance(std::chrono::nanoseconds step) {
    Monotonic += std::chrono::duration_cast<TimePoint::duration>(step);
    Wall += std::chrono::duration_cast<WallTime::duration>(step);
  }

  /// Moves only the wall clock, as when an operator sets it.
  void stepWallClock(std::chrono::nanoseconds step) {
    Wall += std::chrono::duration_cast<WallTime::duration>(step);
  }

private:
  // Above zero, so that a default-constructed time point is in the past.
  TimePoint Monotonic{std::chrono::hours(1)};
  WallTime Wall{std::chrono::hours(24 * 365 * 50)};
};

} // namespace auburnroute::common
