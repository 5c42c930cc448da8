#pragma once

#include "Common/Clock.h"
#include "Common/Endpoint.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace auburnroute::routing {

/// State of a backend server according to the registry.
enum class ServerState : std::uint8_t {
  Ready,
  Draining, ///< Keeps its open flows but gets no new ones.
  Lapsed,   ///< Its entry was removed; open flows are still forwarded to it.
};

std::string_view toString(ServerState state);

/// Registration of one run of a backend server, as published in the registry
/// and relayed between hosts.
struct ServerRegistration {
  std::string Name; ///< Key of the entry; unique across all services.
  /// Identifies the backend server in the prefix of a forwarded packet and in
  /// gossip. Derived from the name. 0 would match any server in the prefix, so
  /// it is valid only in state Lapsed.
  std::uint64_t Identity = 0;
  std::string Service;
  common::Endpoint Address;
  std::string Zone;
  /// Maximum number of requests that it processes concurrently.
  std::uint32_t Slots = 1;
  ServerState State = ServerState::Ready;
  /// Remaining warm-up time after its start, as of when the entry was written.
  std::chrono::milliseconds WarmUpLeft{0};
  /// Start time of this run in ms since the epoch, by the server's own clock.
  /// Only compared for equality.
  std::int64_t StartTimeMs = 0;
  /// Revision of the entry; a higher one replaces a lower one.
  std::uint64_t Revision = 0;
};

} // namespace auburnroute::routing
