#include "Common/BootClock.h"

#include <ctime>

namespace auburnroute::common {

TimePoint BootClock::now() const {
  timespec time{};
  ::clock_gettime(CLOCK_BOOTTIME, &time);
  return TimePoint(std::chrono::seconds(time.tv_sec) +
                   std::chrono::nanoseconds(time.tv_nsec));
}

WallTime BootClock::wallTime() const {
  return std::chrono::system_clock::now();
}

} // namespace auburnroute::common
