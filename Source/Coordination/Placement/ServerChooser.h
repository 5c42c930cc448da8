#pragma once

#include "State/Cause.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace auburnroute::placement {

/// The properties of a backend server that a choice depends on.
struct ServerCandidate {
  std::uint32_t Id = 0;
  bool IsLocal = true;       ///< In the zone of this host.
  bool IsExcluded = false;   ///< Draining or moved: never used.
  bool IsEjected = false;    ///< Used only if too many servers are.
  bool IsBackingOff = false; ///< Has just refused a SYN.
  std::uint32_t Load = 0;    ///< Requests placed on it, by any host.
  std::uint32_t Slots = 0;   ///< Requests it may process at once now.
  /// Requests that may exceed Slots, as others are in transit.
  std::uint32_t OvercommitSlots = 0;
  /// Open feeds, plus all connections placed by other hosts.
  std::uint32_t Feeds = 0;
  std::uint32_t Connections = 0; ///< All open flows.
  std::uint32_t ConnectionLimit = 0;
  std::uint32_t Weight = 1;
  double VirtualStart = 0; ///< Virtual start time; breaks ties, lowest first.
};

/// The chosen server, or the cause if there is none.
struct ServerChoice {
  std::optional<std::uint32_t> Server; ///< Id.
  /// NoBackendServer, ConnectionLimit, or None if all slots are in use.
  state::Cause Why = state::Cause::None;
};

/// Chooses a backend server among those of one service.
///
/// Servers are ranked: first the own zone; then other zones, if no server of
/// the own zone is healthy and the mode allows it; then ejected servers, if
/// more than the permitted share is ejected (panic mode). The last are chosen
/// only if no other server has a free slot. So no capacity is lost if their
/// health is wrong, and few flows get to them if it is right.
class ServerChooser {
public:
  /// \p allowsOtherZones: whether servers of other zones may be used at all;
  /// \p maxEjectedShare: 0 to 1, of the servers that are not excluded.
  ServerChooser(bool allowsOtherZones, double maxEjectedShare)
      : AllowsOtherZones(allowsOtherZones), MaxEjectedShare(maxEjectedShare) {}

  /// The least loaded server with a free slot; among equals the one with the
  /// lowest virtual start time. If no slot is free, a server that may be
  /// overcommitted.
  ServerChoice
  chooseForRequest(const std::vector<ServerCandidate> &servers) const;
  /// The server with the fewest open feeds relative to its weight.
  ServerChoice chooseForFeed(const std::vector<ServerCandidate> &servers) const;
  /// Whether so many of \p servers are ejected that ejected ones are used, too.
  bool isInPanicMode(const std::vector<ServerCandidate> &servers) const;

private:
  /// Numbers of servers, and whether ejected ones are used.
  struct PoolSummary {
    std::uint32_t LocalHealthy = 0;
    std::uint32_t Usable = 0; ///< Not excluded, in a zone that may be used.
    std::uint32_t Ejected = 0;
    bool IsInPanicMode = false;
  };
  /// Rank of a server, lowest first; nullopt if it must not be used.
  std::optional<unsigned> rankOf(const ServerCandidate &server,
                                 const PoolSummary &pool) const;
  PoolSummary summarize(const std::vector<ServerCandidate> &servers) const;
  template <typename IsFree, typename IsBetter>
  ServerChoice choose(const std::vector<ServerCandidate> &servers,
                      IsFree isFree, IsBetter isBetter) const;

  bool AllowsOtherZones;
  double MaxEjectedShare;
};

} // namespace auburnroute::placement
