#pragma once

#include "Common/Clock.h"
#include "State/DaemonSettings.h"

#include "absl/status/status.h"

namespace auburnroute::daemon {

/// Runs a daemon until SIGTERM or SIGINT, then stops it gracefully. Errors:
/// Unavailable if an address cannot be bound.
absl::Status runDaemon(const state::DaemonSettings &settings,
                       const common::Clock &clock);

} // namespace auburnroute::daemon
