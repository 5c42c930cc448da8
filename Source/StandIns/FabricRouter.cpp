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
    ++Counted.Malformed;
    return {};
  }
  if (Neighbours.contains(sender))
    return toClient(view.destination().Address, false);
  if (Pool.isHost(sender))
    return toClient(view.destination().Address, true);
  SenderOfAddress[view.source().Address] = sender;
  const auto host = Pool.pick(Random());
  if (!host) {
    ++Counted.NoReadyHost;
    return {};
  }
  ++Counted.ToHosts[host->first];
  return {host->second};
}

std::vector<common::Endpoint> FabricRouter::toClient(std::uint32_t address,
                                                     bool askNeighbours) {
  if (const auto it = SenderOfAddress.find(address);
      it != SenderOfAddress.end()) {
    ++Counted.ToClients;
    return {it->second};
  }
  if (askNeighbours && !Neighbours.empty()) {
    ++Counted.ToNeighbours;
    return {Neighbours.begin(), Neighbours.end()};
  }
  ++Counted.UnknownClient;
  return {};
}

} // namespace auburnroute::standins
