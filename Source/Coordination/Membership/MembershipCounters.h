#pragma once

#include <cstdint>

namespace auburnroute::membership {

/// Counts since the start.
struct MembershipCounters {
  std::uint64_t HeartbeatsSent = 0;
  std::uint64_t HeartbeatsAccepted = 0;
  std::uint64_t HeartbeatsIgnored = 0; ///< Other zone, own name, old, no room.
  std::uint64_t Probes = 0;
  std::uint64_t OnDemandProbes = 0; ///< Those of them that followed a doubt.
  std::uint64_t Suspicions = 0;     ///< Raised here, not those reported.
  std::uint64_t Refutations = 0; ///< Suspicions of this host that it refuted.
  std::uint64_t Pauses = 0;      ///< Gaps longer than the pause limit.
};

} // namespace auburnroute::membership
