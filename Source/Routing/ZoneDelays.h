#pragma once

#include "Common/Clock.h"
#include "Routing/NameTable.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace auburnroute::routing {

/// Network delay that callers bear when a server of another zone serves them,
/// from the time between a SYN that this host forwarded and the caller's next
/// packet. Servers answer callers directly, so a handshake crosses from this
/// host's zone to the server's as often as a request does.
class ZoneDelays {
public:
  using Duration = std::chrono::duration<double, std::milli>;

  /// Taken as the delay of a zone without enough handshakes: above the one-way
  /// delays between zones of today's deployments (0.9 to 3.5 ms).
  static constexpr Duration DefaultDelay{4};
  static constexpr std::uint32_t MinSamples = 8;

  /// A server of \p zone and its caller completed a handshake without
  /// retransmission in \p time.
  void onHandshake(NameTable::Id zone, common::TimePoint::duration time);
  /// How much longer a request takes in \p zone than in \p ownZone; at least 0.
  Duration extraDelay(NameTable::Id zone, NameTable::Id ownZone) const;

private:
  struct Mean {
    Duration Value{0};
    std::uint32_t Samples = 0;
  };
  const Mean *find(NameTable::Id zone) const;

  std::vector<Mean> ByZone;
};

} // namespace auburnroute::routing
