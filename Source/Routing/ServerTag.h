#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace auburnroute::routing {

/// The 32-bit tags that identify a backend server in the echo field of a flow's
/// packets.
///
/// An identity has up to 64 bits but the field only 32. Each backend server
/// therefore has several candidate tags, which are hashes of its identity. A
/// host writes the first one that no other known backend server has as a
/// candidate; every host accepts all of them. The candidates are the same on
/// all hosts without coordination, so a newly started host can forward existing
/// flows.
class ServerTag {
public:
  /// With 89,000 backend servers a candidate collides with probability 8e-5, so
  /// all four collide with a probability of about 1e-16.
  static constexpr std::size_t Candidates = 4;
  /// Sent by callers that have no tag yet.
  static constexpr std::uint32_t None = 0;

  /// The candidate tags of \p identity in order of preference; never None.
  static std::array<std::uint32_t, Candidates> of(std::uint64_t identity);
};

} // namespace auburnroute::routing
