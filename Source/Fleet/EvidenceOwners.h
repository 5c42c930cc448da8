#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace auburnroute::fleet {

/// Chooses the hosts of a zone that collect evidence on a backend server.
///
/// Rendezvous hashing: hosts that know the same zone agree without messages,
/// and a change of the zone moves only the servers of the host that came or
/// went.
class EvidenceOwners {
public:
  /// Hosts that collect evidence on each server. Each decides by itself, so
  /// that the loss of one delays no verdict.
  static constexpr std::size_t PerServer = 2;
  /// Verdicts are accepted from this many hosts in the order of preference:
  /// hosts may know slightly different zones.
  static constexpr std::size_t AcceptedPerServer = 4;

  /// The first \p n of \p hosts (IPv4 addresses) in the order of preference for
  /// the server with \p identity.
  static std::vector<std::uint32_t> choose(std::uint64_t identity,
                                           std::span<const std::uint32_t> hosts,
                                           std::size_t n);
};

} // namespace auburnroute::fleet
