#pragma once

#include "Common/Clock.h"
#include "Common/Endpoint.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace auburnroute::routing {

/// What the registry says of a backend server.
enum class ServerState : std::uint8_t {
  Ready,
  Draining, ///< Keeps its flows, gets no new ones.
  Lapsed,   ///< Its entry was removed; open flows are still forwarded to it.
};

std::string_view toString(ServerState state);

/// The registration of one start of a backend server, as it is published and
/// as hosts pass it on.
struct ServerRegistration {
  std::string Name; ///< Key of the entry; unique over all services.
  /// The number by which a datagram names its backend server. Derived from
  /// the name; 0 addresses any.
  std::uint64_t Identity = 0;
  std::string Service;
  common::Endpoint Address;
  std::string Zone;
  std::uint32_t Slots = 1; ///< Requests that it works on at once.
  ServerState State = ServerState::Ready;
  /// How much longer it is slow after its start, at the time of the entry.
  std::chrono::milliseconds ColdLeft{0};
  /// Start of this lifetime, ms since the epoch by its own clock. Compared for
  /// equality only.
  std::int64_t Lifetime = 0;
  /// Revision of the entry; a higher one replaces a lower one.
  std::uint64_t Revision = 0;
};

} // namespace auburnroute::routing
