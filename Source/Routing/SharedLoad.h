#pragma once

#include "Common/Clock.h"
#include "Routing/ServerDirectory.h"

#include <optional>

namespace auburnroute::routing {

/// Load of one server as caused by other hosts.
struct RemoteLoad {
  double Outstanding = 0; ///< Mean number of requests sent and not answered.
  double OpenFlows = 0;
};

/// Load of the servers of one service in one zone, caused by all hosts.
struct ZoneLoad {
  /// Mean number of requests sent and not answered, waiting or running.
  double Outstanding = 0;
  /// Requests that the zone's usable servers process concurrently.
  double Slots = 0;
  /// Requests a second.
  double Rate = 0;

  /// 1 if all slots are busy and nothing waits; 0 without a slot.
  double utilization() const { return Slots > 0 ? Outstanding / Slots : 0; }
};

/// The load that this host cannot see in its own packets.
class SharedLoad {
public:
  virtual ~SharedLoad() = default;

  /// Zero if nothing recent is known.
  virtual RemoteLoad elsewhere(ServerId server,
                               common::TimePoint now) const = 0;
  /// nullopt if nothing recent is known.
  virtual std::optional<ZoneLoad> zoneLoad(NameTable::Id service,
                                           NameTable::Id zone,
                                           common::TimePoint now) const = 0;
};

} // namespace auburnroute::routing
