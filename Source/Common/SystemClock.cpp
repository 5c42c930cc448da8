#include "Common/SystemClock.h"

namespace auburnroute::common {

TimePoint SystemClock::now() const { return std::chrono::steady_clock::now(); }

WallTime SystemClock::wallTime() const {
  return std::chrono::system_clock::now();
}

} // namespace auburnroute::common
