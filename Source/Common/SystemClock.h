#pragma once

#include "Common/Clock.h"

namespace auburnroute::common {

/// Clock on std::chrono::steady_clock and std::chrono::system_clock.
class SystemClock final : public Clock {
public:
  TimePoint now() const override;
  WallTime wallTime() const override;
};

} // namespace auburnroute::common
