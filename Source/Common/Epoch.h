#pragma once

#include "Common/Clock.h"

#include <chrono>
#include <cstdint>

namespace auburnroute::common {

/// Milliseconds since the epoch, as messages and reports carry wall times.
inline std::int64_t millisecondsOf(WallTime time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             time.time_since_epoch())
      .count();
}

/// The wall time that \p milliseconds since the epoch stand for.
inline WallTime wallTimeOf(std::int64_t milliseconds) {
  return WallTime(std::chrono::milliseconds(milliseconds));
}

} // namespace auburnroute::common
