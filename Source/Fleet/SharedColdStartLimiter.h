#pragma once

#include "Fleet/ZoneMembership.h"
#include "Routing/ColdStartLimiter.h"
#include "Routing/RouteTable.h"
#include "Routing/ServerDirectory.h"

#include "absl/container/flat_hash_map.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace auburnroute::fleet {

/// The cold start rule: a cold server gets at most rate x Overage + Slack new
/// flows in any second, where the rate is that of its service.
struct ColdStartRule {
  double Overage = 1;
  double Slack = 0;
  /// Interval in which servers write their entries.
  std::chrono::milliseconds Heartbeat{1000};
};

/// Receives what the limiter decides, for logs and metrics.
class ColdStartObserver {
public:
  virtual ~ColdStartObserver() = default;

  /// \p server is cold; this host may send it \p share new flows a second.
  virtual void onCold(routing::ServerId server, std::uint32_t share) = 0;
  virtual void onWarm(routing::ServerId server) = 0;
  /// Cold servers were left out for a SYN, which went to \p server, or was
  /// refused if there is none.
  virtual void onLimited(std::optional<routing::ServerId> server) = 0;
};

/// Limits new flows to cold servers without messages between hosts.
///
/// The hosts of a server's zone divide a part of its limit among themselves, in
/// the order of a rendezvous hash. Hosts of other zones send it nothing while
/// it is cold, so that zones which cannot reach each other need not agree.
class SharedColdStartLimiter final : public routing::ColdStartLimiter {
public:
  /// Part of the limit that the hosts divide. The rest covers hosts that count
  /// other members than the others do, see docs/design/cold-start.md.
  static constexpr double DividedPart = 0.75;
  /// Span in which a host spends its share once: the second of the rule, and a
  /// margin, since packets take a different time from each host to the server.
  static constexpr std::chrono::milliseconds Window{1200};

  /// References must outlive the object. \p start: see ZoneMembership.
  SharedColdStartLimiter(const PeerTable &peers, FleetStart start,
                         const routing::RouteTable &routes,
                         routing::ServerDirectory &directory,
                         ColdStartObserver &observer, ColdStartRule rule)
      : Peers(peers), Routes(routes), Directory(directory), Observer(observer),
        Rule(rule), Membership(peers, start) {}

  bool admits(const routing::KnownServer &server,
              common::TimePoint now) const override;
  void onPlaced(const routing::KnownServer &server,
                common::TimePoint now) override;
  void onRefused(common::TimePoint now) override;
  /// Updates members and shares. Call each 250 ms.
  void update(common::TimePoint now);

  /// Number of cold servers of services that state a rate.
  std::size_t coldCount() const { return Cold.size(); }

  /// Flows per Window that the hosts of a zone divide, for a service with \p
  /// flowsPerSecond.
  static std::uint32_t dividedFlows(const ColdStartRule &rule,
                                    double flowsPerSecond);
  /// The share of \p flows of the member that comes after \p rank others of \p
  /// members. With more members no share grows, and the shares of any one set
  /// of members add up to \p flows.
  static std::uint32_t shareOf(std::uint32_t flows, std::size_t rank,
                               std::size_t members);

private:
  /// A cold server. It is kept for Window after it became warm.
  struct ColdServer {
    std::uint64_t Identity = 0;
    std::uint32_t Share = 0;
    /// Membership::changeCount() and Routes.version() that Share is for.
    std::uint64_t MembersSeen = 0;
    std::uint64_t VersionSeen = 0;
    /// Flows of this host, oldest first.
    std::vector<common::TimePoint> PlacedAt;
  };
  /// The limit of \p server's service, or nullptr.
  const routing::ColdStartLimit *
  limitOf(const routing::KnownServer &server) const;
  bool isCold(const routing::KnownServer &server,
              const routing::ColdStartLimit &limit,
              common::TimePoint now) const;
  /// Number of members that come before this host for \p identity.
  std::size_t rankFor(std::uint64_t identity) const;
  void updateServer(routing::ServerId id, const routing::ColdStartLimit &limit,
                    common::TimePoint now);
  void rebuildLimits();

  const PeerTable &Peers;
  const routing::RouteTable &Routes;
  routing::ServerDirectory &Directory;
  ColdStartObserver &Observer;
  ColdStartRule Rule;
  ZoneMembership Membership;
  /// Index of the limit in the configuration LimitsVersion, by service.
  absl::flat_hash_map<routing::NameTable::Id, std::size_t> Limits;
  std::uint64_t LimitsVersion = 0;
  absl::flat_hash_map<routing::ServerId, ColdServer> Cold;
  /// A cold server was left out since the last SYN.
  mutable bool IsLimited = false;
};

} // namespace auburnroute::fleet
