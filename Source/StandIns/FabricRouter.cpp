#include "StandIns/FabricRouter.h"

#include "Protocol/PacketView.h"

namespace auburnroute::standins {

FabricRouter::FabricRouter(const HostPool &pool,
                           std::set<common::Endpoint> neighbours,
                           std::uint64_t seed)
    : Pool(pool), Neighbours(std::move(neighbours)), Random(seed) {}

std::vector<common::Endpoint>
FabricRouter::route(const common::Endpoint &sender,
                    std::span<std::byte> packet) {
  protocol::PacketView view;
  if (view.parse(packet) != state::Cause::None) {
    ++PacketCounts.Malformed;
    return {};
  }
  if (Neighbours.contains(sender))
    return routeToClient(view.destination().Address, false);
  if (Pool.isHost(sender))
    return routeToClient(view.destination().Address, true);
  ClientSockets[view.source().Address] = sender;
  const auto host = Pool.pickHost(Random());
  if (!host) {
    ++PacketCounts.NoReadyHost;
    return {};
  }
  ++PacketCounts.ToHosts[host->first];
  return {host->second};
}

std::vector<common::Endpoint>
FabricRouter::routeToClient(std::uint32_t address, bool canUseNeighbours) {
  if (const auto it = ClientSockets.find(address); it != ClientSockets.end()) {
    ++PacketCounts.ToClients;
    return {it->second};
  }
  if (canUseNeighbours && !Neighbours.empty()) {
    ++PacketCounts.ToNeighbours;
    return {Neighbours.begin(), Neighbours.end()};
  }
  ++PacketCounts.UnknownClient;
  return {};
}

} // namespace auburnroute::standins
