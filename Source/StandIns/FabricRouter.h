#pragma once

#include "StandIns/HostPool.h"

#include <cstddef>
#include <map>
#include <random>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace auburnroute::standins {

/// Chooses the destinations of each packet that a fabric receives.
///
/// A packet from a host goes to its client; a packet from anyone else goes to a
/// ready host drawn at random, one draw per packet.
class FabricRouter {
public:
  struct Counts {
    std::map<std::string, std::uint64_t> ToHosts; ///< Packets, by host.
    std::uint64_t ToClients = 0;
    std::uint64_t ToNeighbours = 0;
    std::uint64_t NoReadyHost = 0;   ///< Dropped.
    std::uint64_t UnknownClient = 0; ///< Dropped.
    std::uint64_t Malformed = 0;     ///< Dropped.
  };

  /// \p neighbours are the fabrics of other zones. A packet for a client that
  /// has sent nothing through this fabric goes to all of them.
  FabricRouter(const HostPool &pool, std::set<common::Endpoint> neighbours,
               std::uint64_t seed);

  /// Destinations of \p packet, which arrived from \p sender; empty to drop it.
  std::vector<common::Endpoint> route(const common::Endpoint &sender,
                                      std::span<std::byte> packet);
  const Counts &counts() const { return PacketCounts; }

private:
  std::vector<common::Endpoint> routeToClient(std::uint32_t address,
                                              bool canUseNeighbours);

  const HostPool &Pool;
  std::set<common::Endpoint> Neighbours;
  std::mt19937_64 Random;
  /// UDP endpoint that each source address last sent from.
  std::map<std::uint32_t, common::Endpoint> ClientSockets;
  Counts PacketCounts;
};

} // namespace auburnroute::standins
