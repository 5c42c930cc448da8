#pragma once

#include "State/Settings.h"

#include <cstdint>
#include <string>

namespace auburnroute::health {

/// The answer of a backend server to GET /load.
struct LoadReport {
  std::string Service; ///< Name of the service that it serves.
  state::BackendServerMode Mode = state::BackendServerMode::Active;
  std::uint32_t Slots = 0;  ///< 0 if not reported.
  std::uint32_t Busy = 0;   ///< Slots in use.
  std::uint32_t Queued = 0; ///< Requests that wait for a slot.
  std::uint32_t Connections = 0;
  bool IsShedding = false; ///< State "shedding": refuses new work for now.
};

} // namespace auburnroute::health
