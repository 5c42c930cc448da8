#pragma once

#include "Common/Clock.h"
#include "Routing/NameTable.h"

#include <optional>

namespace auburnroute::routing {

/// Decides in which zone a new flow is to be served.
class ZoneSelector {
public:
  virtual ~ZoneSelector() = default;

  /// The zone for the next new flow of \p service; nullopt if the selector has
  /// no preference and the placement decides by its own weights.
  virtual std::optional<NameTable::Id> zoneFor(NameTable::Id service,
                                               common::TimePoint now) = 0;
};

} // namespace auburnroute::routing
