#pragma once

#include "Emulator/Deployment.h"
#include "Emulator/EmulatedSharedLoad.h"
#include "Routing/PacketRouter.h"

#include <memory>

namespace auburnroute::emulator {

/// One incarnation of a host. Runs the routing code of the daemon.
class EmulatedHost {
public:
  EmulatedHost(const Candidate &candidate, const std::string &zone,
               std::uint64_t seed);

  // Input from the registry.
  void configure(const routing::RoutingConfiguration &configuration) {
    Routes.apply(configuration);
  }
  void apply(const routing::ServerRegistration &server, common::TimePoint now) {
    Directory.apply(server, now);
  }
  void remove(const std::string &server, std::uint64_t revision,
              common::TimePoint now) {
    Directory.apply(routing::removalOf(server, 0, revision), now);
  }

  routing::RoutingOutcome onPacket(const routing::FlowPacket &packet,
                                   common::TimePoint now) {
    return Router.onPacket(packet, now);
  }
  void onTick(common::TimePoint now) { Router.onTick(now); }
  /// Identity of the server in a ForwardPacket.
  std::uint64_t serverIdentity(routing::ServerId id) const {
    return Directory.at(id).Registration.Identity;
  }

  /// What this host causes, by identity of the server.
  LoadByServer ownLoads(common::TimePoint now) const;
  /// Takes over the load by all hosts; \p own is this host's part of it.
  void setTotals(const LoadByServer &totals, const LoadByServer &own);

private:
  class NullObserver;

  routing::RouteTable Routes;
  routing::ServerDirectory Directory;
  routing::ServerHealthTracker Health;
  std::unique_ptr<routing::RoutingObserver> Observer;
  EmulatedSharedLoad Shared;
  std::unique_ptr<routing::Placement> Placement;
  routing::PacketRouter Router;
};

} // namespace auburnroute::emulator
