#pragma once

#include "Common/Clock.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace auburnroute::emulator {

/// A virtual clock that runs scheduled events in the order of their times.
/// Events of equal times run in the order in which they were scheduled.
class EventQueue final : public common::Clock {
public:
  using Handler = std::function<void()>;

  common::TimePoint now() const override { return Now; }
  common::WallTime wallTime() const override {
    return common::WallTime(
        std::chrono::duration_cast<common::WallTime::duration>(
            Now.time_since_epoch()));
  }

  /// Runs \p handler after \p delay; a negative delay counts as 0.
  void scheduleAfter(std::chrono::nanoseconds delay, Handler handler);
  /// Runs all events up to and including \p end and sets the clock to \p end.
  void runUntil(common::TimePoint end);
  /// Number of events scheduled so far.
  std::uint64_t scheduledCount() const { return Sequence; }

private:
  struct Event {
    common::TimePoint Time;
    std::uint64_t Sequence = 0;
    Handler Run;
    bool operator<(const Event &it) const {
      return Time != it.Time ? Time > it.Time : Sequence > it.Sequence;
    }
  };

  // Above zero, so that a default-constructed time point is in the past.
  common::TimePoint Now{std::chrono::hours(1)};
  std::uint64_t Sequence = 0;
  std::priority_queue<Event> Events;
};

} // namespace auburnroute::emulator
