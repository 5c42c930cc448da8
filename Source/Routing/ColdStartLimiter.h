#pragma once

#include "Common/Clock.h"
#include "Routing/ServerDirectory.h"

namespace auburnroute::routing {

/// Limits the rate of new flows to servers that have just started, over all
/// hosts of the fleet together.
class ColdStartLimiter {
public:
  virtual ~ColdStartLimiter() = default;

  /// Whether this host may send a new flow to \p server at \p now.
  virtual bool admits(const KnownServer &server,
                      common::TimePoint now) const = 0;
  /// A SYN is forwarded to \p server.
  virtual void onPlaced(const KnownServer &server, common::TimePoint now) = 0;
  /// A SYN is refused, as no server was left for it.
  virtual void onRefused(common::TimePoint now) = 0;
};

} // namespace auburnroute::routing
