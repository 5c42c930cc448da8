#pragma once

#include "Fleet/GossipMessage.h"
#include "Fleet/RegistryReader.h"
#include "Routing/ServerPlacement.h"
#include "UnitTests/Fleet/FleetFixture.h"
#include "UnitTests/Fleet/RegistryModel.h"

#include <map>
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

  /// Time from an operator's request until no host places new flows in the
  /// zone, and from its end until they do again.
  static constexpr std::chrono::milliseconds EvacuationBound{5000};

  /// After this time with contact to the registry, evacuations must be known.
  static constexpr std::chrono::milliseconds ContactTime = ChangeBound;

  /// \p placementEvacuates: whether the placement asks for evacuations.
  explicit FleetModel(std::uint64_t seed, bool placementEvacuates = true);

  /// Runs for \p time; with \p isCalm without faults and changes.
  void run(std::chrono::milliseconds time, bool isCalm);
  void restoreRegistry(std::chrono::milliseconds age,
                       std::chrono::milliseconds downtime) {
    Registry.restore(Clock.now(), age, downtime);
  }
  /// What broke a promise so far, and where the views differ from the registry.
  std::vector<std::string> faults() const;
  std::uint64_t registryCalls() const { return RegistryCalls; }
  /// How often the promises on evacuations were checked on a host that had
  /// contact.
  std::uint64_t evacuationChecks() const { return EvacuationChecks; }

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
    explicit Host(std::string_view zone)
        : Placement(Fixture.Directory, Health,
                    Fixture.Directory.zoneNames().idOf(zone), /*seed=*/1) {}

    ViewFixture Fixture;
    routing::ServerHealthTracker Health;
    routing::ServerPlacement Placement;
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
    /// Zones that it evacuated within the bound, by the time of the request.
    std::map<std::string, common::TimePoint> Evacuated;
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
  void checkEvacuations(std::size_t n);
  /// Since when the host runs and can reach the registry.
  common::TimePoint contactSince(const Host &host) const;
  void report(std::size_t n, const std::string &text);
  std::size_t below(std::size_t n) { return Random() % n; }

  std::mt19937_64 Random;
  /// Limit of the changes in a message. In some runs it is low, so that hosts
  /// often leave changes out.
  std::size_t MaxChanges;
  common::ManualClock Clock;
  RegistryModel Registry;
  std::vector<std::unique_ptr<Host>> Hosts;
  std::vector<std::string> BrokenPromises;
  std::uint64_t RegistryCalls = 0;
  std::uint64_t EvacuationChecks = 0;
  bool PlacementEvacuates;
  bool IsCalm = false;
};

} // namespace auburnroute::unittests
