#pragma once

#include "Common/Clock.h"

namespace auburnroute::common {

/// The clock of the operating system.
class SystemClock final : public Clock {
public:
  TimePoint now() const override;
  WallTime wallTime() const override;
};

} // namespace auburnroute::common
