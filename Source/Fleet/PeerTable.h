#pragma once

#include "Common/Clock.h"

#include "absl/container/flat_hash_map.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace auburnroute::fleet {

/// Membership state of a host, as it is gossiped.
struct PeerInfo {
  std::uint32_t Address = 0; ///< IPv4, host byte order; identifies the host.
  std::string Zone;
  /// Random number drawn at process start. Only compared for equality: wall
  /// clocks may jump, and a host keeps no state across restarts that could
  /// order its incarnations.
  std::uint64_t Incarnation = 0;
  std::uint64_t Heartbeat = 0; ///< Increases while the process runs.
  bool IsLeaving = false;      ///< It announced a graceful stop.
};

/// Timeouts and limits of the membership.
struct MembershipLimits {
  /// A host whose heartbeat has not increased for this long is considered dead.
  /// With 13,000 hosts an update takes 9 gossip rounds of half a second.
  std::chrono::milliseconds FailureTimeout{4000};
  /// The entry of a dead host is removed after this time.
  std::chrono::milliseconds RemovalTimeout{30000};
  std::size_t MaxPeers = 16384;
};

/// Membership table: the other hosts, learned by gossip alone, since the
/// platform provides no list of hosts.
class PeerTable {
public:
  PeerTable(PeerInfo self, std::uint64_t seed, MembershipLimits limits = {})
      : Self(std::move(self)), Random(seed), Limits(limits) {}

  /// Applies a host's update about itself. Returns whether the host is new,
  /// restarted or was considered dead.
  bool applyDirectUpdate(const PeerInfo &peer, common::TimePoint now);
  /// Applies a host's update about another host. It may be outdated, so a
  /// different incarnation is accepted only once the known one is dead.
  void applyRelayedUpdate(const PeerInfo &peer, common::TimePoint now);
  /// Increments the own heartbeat and removes expired peers. Call once per
  /// gossip round.
  void advanceHeartbeat(common::TimePoint now);
  void setLeaving() { Self.IsLeaving = true; }

  const PeerInfo &self() const { return Self; }
  /// Number of other hosts that are alive.
  std::size_t aliveCount(common::TimePoint now) const;
  /// Up to \p n random other hosts that are alive; about half of them from the
  /// own zone.
  std::vector<std::uint32_t> choose(std::size_t n, common::TimePoint now);
  /// Up to \p n random live hosts to gossip about.
  std::vector<PeerInfo> sample(std::size_t n, common::TimePoint now);
  /// Sorted addresses of the other hosts that are alive.
  std::vector<std::uint32_t> alive(common::TimePoint now) const;
  /// Hosts that died or restarted without announcing that they were leaving.
  /// Each is returned once.
  std::vector<PeerInfo> takeLostHosts(common::TimePoint now);
  /// Number of live hosts of the own zone that are not leaving and have a lower
  /// address than this host.
  std::size_t rankInZone(common::TimePoint now) const;
  /// Sorted addresses of the live hosts of the own zone that are not leaving,
  /// and of this host.
  std::vector<std::uint32_t> hostsInZone(common::TimePoint now) const;
  /// When this host last learned that another one runs; the default value if
  /// it knows none.
  common::TimePoint lastHeardAt() const;
  /// Addresses of the hosts of the own zone that announced a stop, in no
  /// particular order.
  std::vector<std::uint32_t> leavingInZone() const;
  /// Sorted addresses, by zone, of this host and of the hosts that are not
  /// leaving and whose heartbeat increased within \p timeout.
  std::map<std::string, std::vector<std::uint32_t>>
  hostsByZone(std::chrono::milliseconds timeout, common::TimePoint now) const;
  /// Whether no other live host that is not leaving has a lower address.
  bool hasLowestAddress(common::TimePoint now) const;
  /// Removes hosts whose heartbeat has not increased for RemovalTimeout.
  void expire(common::TimePoint now);

private:
  struct Peer {
    PeerInfo Info;
    common::TimePoint HeartbeatRoseAt; ///< When the heartbeat last increased.
    bool IsReportedLost = false;
  };
  bool isAlive(const Peer &peer, common::TimePoint now) const;
  /// The entry of a host, added if it is new; nullptr if the table is full or
  /// \p peer is this host.
  Peer *entryOf(const PeerInfo &peer, common::TimePoint now, bool &added);

  PeerInfo Self;
  std::mt19937_64 Random;
  MembershipLimits Limits;
  absl::flat_hash_map<std::uint32_t, Peer> Peers;
  /// Incarnations superseded before their death was detected.
  std::vector<PeerInfo> ReplacedPeers;
};

} // namespace auburnroute::fleet
