#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace auburnroute::membership {

/// In zones of up to this many hosts, each host is a neighbour of all others.
inline constexpr std::size_t MaxFullMeshHosts = 16;

/// The hosts that \p self exchanges heartbeats with, sorted.
///
/// All others if \p ring has at most MaxFullMeshHosts hosts, otherwise those at
/// distance 1, 2, 4, ... in both directions, up to half the ring, so that the
/// cost grows with the logarithm of the zone. \p ring is sorted and holds
/// \p self. The relation is symmetric for hosts with the same ring.
std::vector<std::string> computeNeighbours(const std::vector<std::string> &ring,
                                           std::string_view self);

} // namespace auburnroute::membership
