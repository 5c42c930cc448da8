#pragma once

#include "Common/Clock.h"
#include "Routing/FlowId.h"
#include "Routing/NameTable.h"
#include "Routing/RouteTable.h"

namespace auburnroute::routing {

/// Decides whether a new flow can be served in time.
class FlowAdmission {
public:
  virtual ~FlowAdmission() = default;

  /// Whether to place the first SYN of \p flow, which belongs to \p route and
  /// goes to \p service. If not, it is reset, which tells the caller that
  /// nothing was run.
  virtual bool admits(const FlowId &flow, const Route &route,
                      NameTable::Id service, common::TimePoint now) = 0;
};

} // namespace auburnroute::routing
