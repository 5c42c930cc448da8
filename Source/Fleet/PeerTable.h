#pragma once

#include "Common/Clock.h"

#include "absl/container/flat_hash_map.h"

#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace auburnroute::fleet {

/// A host as hosts tell of it.
struct PeerInfo {
  std::uint32_t Address = 0; ///< IPv4, host byte order; identifies the host.
  std::string Zone;
  /// Random number of its process. Compared for equality only: wall clocks
  /// jump, and a host keeps nothing over a restart that could order its starts.
  std::uint64_t Incarnation = 0;
  std::uint64_t Heartbeat = 0; ///< Rises while the process runs.
  bool Leaving = false;
};

/// Pace and limits of the membership.
struct MembershipLimits {
  /// A host whose heartbeat has not risen for this long is gone. News of 13,000
  /// hosts takes 9 rounds of half a second.
  std::chrono::milliseconds FailureTimeout{4000};
  /// It is forgotten after this time.
  std::chrono::milliseconds RemovalTimeout{30000};
  std::size_t MaxPeers = 16384;
};

/// The hosts that this host knows to run. Only hosts that were heard of are in
/// it; the platform keeps no list.
class PeerTable {
public:
  PeerTable(PeerInfo self, std::uint64_t seed, MembershipLimits limits = {})
      : Self(std::move(self)), Random(seed), Limits(limits) {}

  /// Takes over what a host says of itself. Returns whether it was not known to
  /// run before.
  bool applyDirectUpdate(const PeerInfo &peer, common::TimePoint now);
  /// Takes over what a host says of another. An incarnation other than the
  /// known one counts only once that one is gone: the news may be old.
  void applyRelayedUpdate(const PeerInfo &peer, common::TimePoint now);
  /// Raises the own heartbeat; once a round.
  void advanceHeartbeat(common::TimePoint now);
  void setLeaving() { Self.Leaving = true; }

  const PeerInfo &self() const { return Self; }
  /// Number of other hosts that run.
  std::size_t aliveCount(common::TimePoint now) const;
  /// Up to \p n other hosts that run, at random; about half of them of the own
  /// zone.
  std::vector<std::uint32_t> choose(std::size_t n, common::TimePoint now);
  /// Up to \p n hosts to tell others about, at random.
  std::vector<PeerInfo> sample(std::size_t n, common::TimePoint now);
  /// Addresses of the other hosts that run.
  std::vector<std::uint32_t> alive(common::TimePoint now) const;
  /// Hosts that fell silent, or were replaced by another start of theirs,
  /// without saying that they were leaving; each is returned once.
  std::vector<PeerInfo> takeLostHosts(common::TimePoint now);
  /// Number of hosts of the own zone that run, are not leaving and come before
  /// this host in the order of addresses.
  std::size_t rankInZone(common::TimePoint now) const;
  /// Whether this host comes before all others that run and are not leaving.
  bool hasLowestAddress(common::TimePoint now) const;
  void expire(common::TimePoint now);

private:
  struct Peer {
    PeerInfo Info;
    common::TimePoint HeartbeatRoseAt; ///< When the heartbeat rose last.
    bool IsReportedLost = false;
  };
  bool isAlive(const Peer &peer, common::TimePoint now) const;
  /// The entry of a host, added if it is new; nullptr if there is no room or it
  /// is this host.
  Peer *entryOf(const PeerInfo &peer, common::TimePoint now, bool &added);

  PeerInfo Self;
  std::mt19937_64 Random;
  MembershipLimits Limits;
  absl::flat_hash_map<std::uint32_t, Peer> Peers;
  std::vector<PeerInfo>
      ReplacedPeers; ///< Ended; a new start was heard of first.
};

} // namespace auburnroute::fleet
