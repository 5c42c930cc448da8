#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace auburnroute::routing {

/// The 32-bit values that name a backend server in the echo field of a flow's
/// packets.
///
/// An identity has up to 64 bits and the field 32. Each backend server
/// therefore has several candidate tags, hashes of its identity. A host writes
/// the first that no other known backend server has as a candidate; every host
/// understands all of them. The tags of a backend server are the same on all
/// hosts and need no agreement, so a host that has just started can forward
/// the flows of its predecessors.
class ServerTag {
public:
  /// With 89,000 backend servers a candidate is shared with probability 8e-5,
  /// so that all four are shared once in 10^16.
  static constexpr std::size_t Candidates = 4;
  /// Written by callers that know no backend server yet.
  static constexpr std::uint32_t None = 0;

  /// The candidate tags of \p identity in order of preference; never None.
  static std::array<std::uint32_t, Candidates> of(std::uint64_t identity);
};

} // namespace auburnroute::routing
