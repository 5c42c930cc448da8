#pragma once

#include "Common/Clock.h"
#include "Routing/ServerDirectory.h"

#include <optional>
#include <span>

namespace auburnroute::routing {

/// Chooses the backend server of a new flow.
class Placement {
public:
  virtual ~Placement() = default;

  /// A server of \p service, preferably one that is not in \p tried, or nullopt
  /// if none is available. Servers whose entry lapsed without draining are used
  /// only if \p useLapsed is set.
  virtual std::optional<ServerId> choose(NameTable::Id service,
                                         std::span<const ServerId> tried,
                                         bool useLapsed,
                                         common::TimePoint now) = 0;
};

} // namespace auburnroute::routing
