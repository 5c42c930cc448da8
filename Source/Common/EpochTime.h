#pragma once

#include "Common/Clock.h"

#include <chrono>
#include <cstdint>

namespace auburnroute::common {

/// Year 2200; later times could overflow the nanoseconds of the clock.
inline constexpr std::int64_t MaxEpochMilliseconds = 7'258'118'400'000;

/// Milliseconds since the epoch, as messages and reports carry wall times.
inline std::int64_t toEpochMilliseconds(WallTime time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             time.time_since_epoch())
      .count();
}

/// Whether a wall time that came from outside can be used.
inline bool isValidEpochTime(std::int64_t milliseconds) {
  return milliseconds >= 0 && milliseconds <= MaxEpochMilliseconds;
}

/// The wall time that \p milliseconds since the epoch stand for; see
/// isValidEpochTime.
inline WallTime fromEpochMilliseconds(std::int64_t milliseconds) {
  return WallTime(std::chrono::milliseconds(milliseconds));
}

} // namespace auburnroute::common
