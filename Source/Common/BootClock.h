#pragma once

#include "Common/Clock.h"

namespace auburnroute::common {

/// The clock of the operating system, whose monotonic time goes on while the
/// machine is suspended (CLOCK_BOOTTIME), so that ages are true afterwards.
class BootClock final : public Clock {
public:
  TimePoint now() const override;
  WallTime wallTime() const override;
};

} // namespace auburnroute::common
