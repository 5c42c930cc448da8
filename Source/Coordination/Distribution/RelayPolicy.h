#pragma once

#include "Common/Clock.h"
#include "State/Cause.h"

#include <chrono>
#include <cstdint>

namespace auburnroute::distribution {

/// Decides which packets that the settings here do not know are given to a
/// host that may have newer settings, so that a flow on a backend server that
/// was just added does not stall until the revision is in force everywhere.
///
/// Bounded in rate, so that packets for addresses that nobody knows cannot
/// double the traffic between hosts. One per traffic thread.
class RelayPolicy {
public:
  static constexpr std::chrono::milliseconds Interval{100};
  /// Packets per interval: 3,000 new flows a second, a fifteenth of them on
  /// the new server, 10 packets each.
  static constexpr std::uint32_t PacketsPerInterval = 200;

  /// Whether to relay a packet that is dropped here for \p why.
  bool shouldRelay(common::TimePoint now, state::Cause why);

private:
  common::TimePoint IntervalEnd;
  std::uint32_t RelayedInInterval = 0;
};

} // namespace auburnroute::distribution
