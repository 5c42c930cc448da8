#pragma once

#include <cstdint>
#include <span>

namespace auburnroute::state {

/// Weighted rendezvous hashing with the logarithmic method (Schindelhauer and
/// Schomaker, SPAA 2005), as used for packets without a tag.
class RendezvousHash {
public:
  struct Candidate {
    std::uint16_t Number = 0;
    std::uint32_t Weight = 1;
  };

  /// Score of one candidate for a flow; the highest one wins.
  static double score(const Candidate &candidate, std::uint64_t flowHash);
  /// Number of the winner; 0 if there is no candidate with a weight above 0.
  static std::uint16_t choose(std::span<const Candidate> candidates,
                              std::uint64_t flowHash);
};

} // namespace auburnroute::state
