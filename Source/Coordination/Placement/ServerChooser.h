#pragma once

#include "State/Cause.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace auburnroute::placement {

/// What a choice looks at in one backend server.
struct ServerCandidate {
  std::uint32_t Id = 0;
  bool Local = true;       ///< In the zone of this host.
  bool Excluded = false;   ///< Draining or moved: never used.
  bool Ejected = false;    ///< Used only if too many are.
  bool BackingOff = false; ///< A SYN has just failed.
  std::uint32_t Load = 0;  ///< Requests it works on.
  std::uint32_t Slots = 0; ///< Requests it may work on now.
  /// Requests beyond Slots that it may get while others are in transit.
  std::uint32_t OvercommitSlots = 0;
  std::uint32_t Feeds = 0;       ///< Open feeds and connections of others.
  std::uint32_t Connections = 0; ///< All open flows.
  std::uint32_t ConnectionLimit = 0;
  std::uint32_t Weight = 1;
  double VirtualStart = 0; ///< Virtual time of its next turn; lowest first.
};

/// Outcome of a choice: a server, or why there is none.
struct ServerChoice {
  std::optional<std::uint32_t> Server; ///< Id.
  /// NoBackendServer, ConnectionLimit, or None: all slots are taken.
  state::Cause Why = state::Cause::None;
};

/// Chooses a backend server among those of one service.
///
/// Servers are used in ranks: own zone, other zones if no server of the own
/// zone is healthy and the mode allows it, and ejected servers if more than
/// the permitted share is ejected. The last are asked only when the others have
/// no room, so that wrong health costs no capacity and right health little.
class ServerChooser {
public:
  /// \p otherZones: whether servers of other zones may be used at all;
  /// \p maxEjectedShare: 0 to 1, of the servers that are not barred.
  ServerChooser(bool otherZones, double maxEjectedShare)
      : OtherZones(otherZones), MaxEjectedShare(maxEjectedShare) {}

  /// The least loaded server with a free slot, in order of turns among equals.
  /// If there is none, one that may get a request ahead.
  ServerChoice
  chooseForRequest(const std::vector<ServerCandidate> &servers) const;
  /// The server with the fewest open feeds relative to its weight.
  ServerChoice chooseForFeed(const std::vector<ServerCandidate> &servers) const;
  /// Whether too many of \p servers are ejected for health to be followed.
  bool isInPanicMode(const std::vector<ServerCandidate> &servers) const;

private:
  struct PoolSummary {
    std::uint32_t LocalHealthy = 0;
    std::uint32_t Usable = 0; ///< Not barred, in a zone that may be used.
    std::uint32_t Ejected = 0;
    bool PanicMode = false;
  };
  /// Order of use, low first; nothing if the server must not be used.
  std::optional<unsigned> rankOf(const ServerCandidate &server,
                                 const PoolSummary &pool) const;
  PoolSummary summarize(const std::vector<ServerCandidate> &servers) const;
  template <typename IsFree, typename IsBetter>
  ServerChoice choose(const std::vector<ServerCandidate> &servers,
                      IsFree isFree, IsBetter isBetter) const;

  bool OtherZones;
  double MaxEjectedShare;
};

} // namespace auburnroute::placement
