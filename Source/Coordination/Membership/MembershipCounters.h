#pragma once

#include <cstdint>

namespace auburnroute::membership {

/// Counts since the start.
struct MembershipCounters {
  std::uint64_t HeartbeatsSent = 0;
  std::uint64_t HeartbeatsAccepted = 0;
  /// From another zone, with the name of this host, old, or table full.
  std::uint64_t HeartbeatsIgnored = 0;
  std::uint64_t Probes = 0;
  std::uint64_t OnDemandProbes = 0; ///< Included in Probes.
  std::uint64_t Suspicions = 0;     ///< Detected here, not reported by peers.
  std::uint64_t Refutations = 0;    ///< Of reports that this host is down.
  std::uint64_t Pauses = 0;         ///< Gaps longer than the pause limit.
};

} // namespace auburnroute::membership
