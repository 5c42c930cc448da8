#pragma once

#include "Common/Clock.h"
#include "Common/Endpoint.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <tuple>
#include <utility>

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
  std::int64_t StartTimeMs = 0;
  /// Rises with each entry that this run of the server writes; 0 if unknown.
  std::uint64_t Sequence = 0;
  /// Era of the registry that Revision belongs to. A restored registry begins a
  /// new era, in which revisions of the one before are given out again.
  std::uint64_t Era = 0;
  /// Revision of the entry; a higher one replaces a lower one of the same era.
  std::uint64_t Revision = 0;
  /// Valid in state Lapsed: its entry was removed while it was ready, as after
  /// a crash or a registry fault.
  bool HasLapsedUnannounced = false;
  /// Valid in state Lapsed, as of when the registration was sent to a peer:
  /// time since its entry was removed.
  std::chrono::milliseconds LapsedFor{0};

  /// Whether the address is known; not so in the removal of an unknown server.
  bool hasAddress() const { return Identity != 0; }
};

/// Sum of the lengths of the names in \p server.
inline std::size_t nameBytes(const ServerRegistration &server) {
  return server.Name.size() + server.Service.size() + server.Zone.size();
}

/// The removal of the entry \p name, as a registration.
inline ServerRegistration removalOf(std::string name, std::uint64_t era,
                                    std::uint64_t revision) {
  ServerRegistration removal;
  removal.Name = std::move(name);
  removal.State = ServerState::Lapsed;
  removal.Era = era;
  removal.Revision = revision;
  return removal;
}

/// Whether the server wrote \p a before \p b. Unlike revisions, start times and
/// sequence numbers are the server's own and go on when the registry is
/// restored.
inline bool isWrittenBefore(const ServerRegistration &a,
                            const ServerRegistration &b) {
  return std::tie(a.StartTimeMs, a.Sequence) <
         std::tie(b.StartTimeMs, b.Sequence);
}

} // namespace auburnroute::routing
