#pragma once

#include "Emulator/EmulatedCallers.h"
#include "Emulator/EmulatedFleet.h"
#include "Emulator/EmulatedServer.h"
#include "Emulator/EmulationResult.h"

#include "absl/container/flat_hash_map.h"

#include <memory>
#include <optional>
#include <random>

namespace auburnroute::emulator {

/// One run of a deployment with one candidate on a virtual clock. Hosts run the
/// routing code of the daemon. Callers, backend servers, network, routers and
/// the propagation of registry changes are modelled.
class Emulation {
public:
  /// References must outlive the object. Equal arguments give equal results.
  Emulation(const Deployment &deployment, const Candidate &candidate,
            std::uint64_t seed);

  EmulationResult run();

private:
  struct Server {
    routing::ServerRegistration Registration;
    std::size_t Service = 0;
    std::size_t Zone = 0;
    std::unique_ptr<EmulatedServer> Model;
    bool IsDraining = false;
  };

  void addServer(std::size_t service, std::size_t zone, bool cold);
  void applyDisruption(const Disruption &disruption);
  void crashServer(std::size_t server, const Disruption &disruption);
  void replaceServer(std::size_t server);
  /// Picks a random share of the servers that are alive and not draining, at
  /// least one.
  std::vector<std::size_t> pickRandomServers(double share);
  void sendToHost(std::size_t zone, FlowNumber flow,
                  const routing::FlowPacket &packet);
  void sendToServer(const EmulatedFleet::RouteTarget &from,
                    const routing::ForwardPacket &forward, FlowNumber flow,
                    routing::FlowPacket packet);
  std::chrono::nanoseconds toNanoseconds(double ms) const;
  routing::RoutingConfiguration configuration() const;

  const Deployment &Config;
  EventQueue Queue;
  std::mt19937_64 Random;
  EmulationResult Result;
  EmulatedFleet Fleet;
  EmulatedCallers Callers;
  std::vector<Server> Servers;
  absl::flat_hash_map<std::uint64_t, std::size_t> ServerByIdentity;
  std::optional<std::size_t> IsolatedZone;
};

} // namespace auburnroute::emulator
