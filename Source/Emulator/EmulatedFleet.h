#pragma once

#include "Emulator/EmulatedHost.h"
#include "Emulator/EventQueue.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace auburnroute::emulator {

/// The entry hosts with the routers before them and the registry behind them.
class EmulatedFleet {
public:
  /// References must outlive the object.
  EmulatedFleet(const Deployment &deployment, const Candidate &candidate,
                EventQueue &queue, std::uint64_t seed);

  /// Starts all hosts with \p configuration and what is published already.
  void start(routing::RoutingConfiguration configuration);
  /// Enters a server, or a new state of it, in the registry.
  void publish(routing::ServerRegistration server);
  void withdraw(const std::string &server);

  struct RouteTarget {
    EmulatedHost *Host = nullptr; ///< Nothing if it is down.
    std::size_t Zone = 0;
  };
  /// The host to which the routers of \p zone send a packet with \p hash.
  RouteTarget route(std::size_t zone, std::uint64_t hash);
  /// Takes a share of the hosts down for \p time.
  void killHosts(double share, std::chrono::milliseconds time);

private:
  struct HostEntry {
    std::size_t Zone = 0;
    std::unique_ptr<EmulatedHost> Host; ///< Nothing while it is down.
    bool InRotation = true;             ///< For the routers.
    std::uint64_t Incarnation = 0;
  };
  void startHost(std::size_t n);
  void tick();
  /// Tells each host that runs within the time of a change.
  void propagate(const std::function<void(EmulatedHost &)> &change);
  void updateRotation();
  std::chrono::nanoseconds randomDelay(std::chrono::milliseconds max);

  const Deployment &Config;
  const Candidate &CandidateConfig;
  EventQueue &Queue;
  std::mt19937_64 Random;
  routing::RoutingConfiguration Configuration;
  std::map<std::string, routing::ServerRegistration> Registry;
  std::uint64_t Revision = 0;
  std::vector<HostEntry> HostEntries;
  std::vector<std::vector<std::size_t>> Rotation; ///< By zone.
  std::vector<std::size_t> AllInRotation;
  bool Started = false;
};

} // namespace auburnroute::emulator
