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

/// The hosts, the routers that spread packets over them and the registry of
/// backend servers that they read.
class EmulatedFleet {
public:
  /// References must outlive the object.
  EmulatedFleet(const Deployment &deployment, const Candidate &candidate,
                EventQueue &queue, std::uint64_t seed);

  /// Starts all hosts with \p configuration and the servers published so far.
  void start(routing::RoutingConfiguration configuration);
  /// Adds or updates a server in the registry.
  void publish(routing::ServerRegistration server);
  /// Removes a server from the registry, if present.
  void withdraw(const std::string &server);

  struct RouteTarget {
    EmulatedHost *Host = nullptr; ///< Null while the host is down.
    std::size_t Zone = 0;
  };
  /// Returns the host to which the routers of \p zone send a packet with
  /// \p hash: one of the zone if any is in rotation, otherwise of any zone.
  RouteTarget route(std::size_t zone, std::uint64_t hash);
  /// Stops a random share of the hosts, at least one, and starts them again
  /// after \p time.
  void killHosts(double share, std::chrono::milliseconds time);

private:
  struct HostEntry {
    std::size_t Zone = 0;
    std::unique_ptr<EmulatedHost> Host; ///< Null while it is down.
    bool InRotation = true;             ///< Routers send packets to it.
    std::uint64_t Incarnation = 0;      ///< Number of starts.
  };
  void startHost(std::size_t n);
  /// Runs the timers of all hosts and schedules itself again.
  void tick();
  /// Applies \p change to each host after a random delay of up to
  /// PropagationTime. Hosts that stop or restart meanwhile are skipped.
  void propagate(const std::function<void(EmulatedHost &)> &change);
  void updateRotation();
  /// Tells hosts the loads of the last exchange, collects those of the next one
  /// and schedules itself again.
  void exchangeLoads();
  std::chrono::nanoseconds randomDelay(std::chrono::milliseconds max);

  const Deployment &Config;
  const Candidate &CandidateConfig;
  EventQueue &Queue;
  std::mt19937_64 Random;
  routing::RoutingConfiguration Configuration;
  std::map<std::string, routing::ServerRegistration> Registry;
  std::uint64_t Revision = 0;
  std::vector<HostEntry> HostEntries;
  std::vector<std::vector<std::size_t>> Rotation; ///< Hosts by zone.
  std::vector<std::size_t> AllInRotation;
  bool HasStarted = false;
  /// Loads by host as of the last exchange.
  std::vector<LoadByServer> ReportedLoads;
};

} // namespace auburnroute::emulator
