#pragma once

#include "Common/Clock.h"

namespace auburnroute::common {

/// Clock whose monotonic time also advances while the machine is suspended
/// (CLOCK_BOOTTIME), so that ages stay correct after a resume.
class BootClock final : public Clock {
public:
  TimePoint now() const override;
  WallTime wallTime() const override;
};

} // namespace auburnroute::common
