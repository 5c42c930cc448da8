#pragma once

#include "Fleet/GossipMessage.h"
#include "Fleet/RegistryReader.h"
#include "UnitTests/Fleet/FleetFixture.h"
#include "UnitTests/Fleet/RegistryModel.h"

#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace auburnroute::unittests {

/// Several hosts with their views and readers, without a network: gossip is
/// late, lost and out of order, and hosts freeze, restart and are cut off from
/// each other or from the registry.
class FleetModel {
public:
  static constexpr std::size_t HostCount = 4;
  static constexpr std::chrono::milliseconds ChangeBound{3000};
  static constexpr std::chrono::milliseconds Step{50};

  explicit FleetModel(std::uint64_t seed);

  /// Runs for \p time; with \p isCalm without faults and changes.
  void run(std::chrono::milliseconds time, bool isCalm);
  void restoreRegistry(std::chrono::milliseconds age,
                       std::chrono::milliseconds downtime) {
    Registry.restore(Clock.now(), age, downtime);
  }
  /// What broke a promise so far, and where the views differ from the registry.
  std::vector<std::string> faults() const;
  std::uint64_t registryCalls() const { return RegistryCalls; }

private:
  struct PendingCall {
    fleet::RegistryCall Call;
    common::TimePoint SentAt;
    common::TimePoint DeliveredAt;
    std::optional<RegistryModel::Answer> Answer;
  };
  struct Datagram {
    common::TimePoint At;
    std::size_t From = 0;
    std::string Bytes;
  };
  struct SnapshotFetch {
    common::TimePoint At;
    std::size_t From = 0;
  };
  struct Host {
    ViewFixture Fixture;
    fleet::RegistryReader Reader{
        Fixture.View, fleet::RegistryReadTiming::forBound(ChangeBound)};
    std::optional<PendingCall> Call;
    std::vector<Datagram> Inbox;
    std::optional<SnapshotFetch> Fetch;
    common::TimePoint StartedAt;
    common::TimePoint NextRound;
    common::TimePoint FrozenUntil;
    common::TimePoint CutFromPeersUntil;
    common::TimePoint CutFromRegistryUntil;
    std::uint64_t AnnouncedChangeCount = 0;
    std::uint64_t HighestVersion = 0;
    /// Runs of servers that this host knew to be draining.
    std::set<std::pair<std::string, std::int64_t>> Drained;
  };

  void injectFault();
  void restartHost(std::size_t n);
  void poll(std::size_t n);
  void pollCall(std::size_t n);
  void deliver(Host &host, const PendingCall &call);
  void gossip(std::size_t n, bool toAll);
  void receive(std::size_t n);
  void finishFetch(std::size_t n);
  void checkPromises(std::size_t n);
  void report(std::size_t n, const std::string &text);
  std::size_t below(std::size_t n) { return Random() % n; }

  std::mt19937_64 Random;
  common::ManualClock Clock;
  RegistryModel Registry;
  std::vector<std::unique_ptr<Host>> Hosts;
  std::vector<std::string> BrokenPromises;
  std::uint64_t RegistryCalls = 0;
  bool IsCalm = false;
};

} // namespace auburnroute::unittests
