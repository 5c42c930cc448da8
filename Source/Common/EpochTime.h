#pragma once

#include "Common/Clock.h"

#include <chrono>
#include <cstdint>

namespace auburnroute::common {

/// 2200-01-01 in milliseconds. Times far beyond it would overflow the 64-bit
/// nanosecond count of WallTime.
inline constexpr std::int64_t MaxEpochMilliseconds = 7'258'118'400'000;

/// Converts to milliseconds since the Unix epoch, the unit of wall times in
/// messages and reports.
inline std::int64_t toEpochMilliseconds(WallTime time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             time.time_since_epoch())
      .count();
}

/// Whether a received wall time is within 1970 to 2200.
inline bool isValidEpochTime(std::int64_t milliseconds) {
  return milliseconds >= 0 && milliseconds <= MaxEpochMilliseconds;
}

/// Converts milliseconds since the Unix epoch; check received values with
/// isValidEpochTime first.
inline WallTime fromEpochMilliseconds(std::int64_t milliseconds) {
  return WallTime(std::chrono::milliseconds(milliseconds));
}

} // namespace auburnroute::common
