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

/// Decides where a fabric sends each packet.
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

  /// \p neighbours are the fabrics of other zones: a packet for a client that
  /// this fabric has not heard of goes to all of them.
  FabricRouter(const HostPool &pool, std::set<common::Endpoint> neighbours,
               std::uint64_t seed);

  /// Where to send \p packet, which arrived from \p sender.
  std::vector<common::Endpoint> route(const common::Endpoint &sender,
                                      std::span<std::byte> packet);
  const Counts &counts() const { return PacketCounts; }

private:
  std::vector<common::Endpoint> routeToClient(std::uint32_t address,
                                              bool canUseNeighbours);

  const HostPool &Pool;
  std::set<common::Endpoint> Neighbours;
  std::mt19937_64 Random;
  std::map<std::uint32_t, common::Endpoint> ClientSockets;
  Counts PacketCounts;
};

} // namespace auburnroute::standins
