#pragma once

#include "Fleet/PeerTable.h"
#include "Fleet/SharedColdStartLimiter.h"

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace auburnroute::unittests {

/// Hosts that gossip as PeerExchange does and send cold servers as many flows
/// as their limiters admit, while hosts and links fail.
class ColdStartModel {
public:
  struct Parameters {
    std::uint64_t Seed = 1;
    std::size_t Zones = 3;
    std::size_t HostsPerZone = 2;
    std::size_t Servers = 6;
    double FlowsPerSecond = 10; ///< As the service states it.
    fleet::ColdStartRule Rule{1.5, 5};
    bool HasFaults = true;
    /// Whether hosts hear of each other. If not, each one takes itself for the
    /// only one.
    bool Gossips = true;
  };

  explicit ColdStartModel(const Parameters &parameters);
  ~ColdStartModel();
  /// All hosts and their tables refer to the model.
  ColdStartModel(const ColdStartModel &) = delete;
  ColdStartModel &operator=(const ColdStartModel &) = delete;

  void run(std::chrono::milliseconds time);

  /// Largest number of flows that reached one server within a second.
  std::size_t busiestSecond() const;
  /// Mean flows per second and server from \p from after the start on.
  double meanRate(std::chrono::milliseconds from) const;
  /// Time from the start to the first flow.
  std::chrono::milliseconds firstFlowAfter() const;
  std::size_t limit() const {
    return static_cast<std::size_t>(
        Settings.FlowsPerSecond * Settings.Rule.Overage + Settings.Rule.Slack);
  }

private:
  struct Host;
  Host &start(std::uint32_t address, const std::string &zone);
  bool canReach(const Host &from, const Host &to) const;
  void gossip(Host &from);
  void send(Host &from, std::uint32_t to,
            const std::vector<fleet::PeerInfo> &known);
  void placeFlows(Host &host);
  void injectFault();
  Host &anyHost() { return *Hosts[Random() % Hosts.size()]; }
  std::string anyZone() {
    return "z" + std::to_string(Random() % Settings.Zones);
  }

  Parameters Settings;
  std::mt19937_64 Random;
  std::vector<std::unique_ptr<Host>> Hosts;
  std::vector<std::uint32_t> Seeds;
  bool ArePartitioned = false; ///< Zones cannot reach each other.
  std::uint32_t NextAddress = 0x0a000001;
  common::TimePoint StartedAt{std::chrono::hours(1)};
  common::TimePoint Now = StartedAt;
  /// Times at which flows reached each server.
  std::vector<std::vector<common::TimePoint>> Arrivals;
};

} // namespace auburnroute::unittests
