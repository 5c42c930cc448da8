#pragma once

#include "Common/Clock.h"
#include "State/Cause.h"

#include <chrono>
#include <cstdint>

namespace auburnroute::distribution {

/// Decides which packets that the local settings do not cover are relayed to a
/// host that may have newer settings, so that flows of a backend server that
/// was just added do not stall until the revision is in force on all hosts.
///
/// Rate-limited, so that packets for addresses that no host knows cannot double
/// the traffic between hosts. One instance per traffic thread.
class RelayPolicy {
public:
  static constexpr std::chrono::milliseconds Interval{100};
  /// Packets per interval: enough for 3,000 new flows per second, of which one
  /// fifteenth go to the new server, with 10 packets each.
  static constexpr std::uint32_t PacketsPerInterval = 200;

  /// Whether to relay a packet that is dropped on this host because of \p why.
  bool shouldRelay(common::TimePoint now, state::Cause why);

private:
  common::TimePoint IntervalEnd;
  std::uint32_t RelayedInInterval = 0;
};

} // namespace auburnroute::distribution
