#include "State/RendezvousHash.h"

#include <cmath>

namespace auburnroute::state {

double RendezvousHash::score(const Candidate &candidate,
                             std::uint64_t flowHash) {
  // Finaliser of SplitMix64.
  auto x = flowHash + 0x9E3779B97F4A7C15 * candidate.Number;
  x = (x ^ (x >> 30)) * 0xBF58476D1CE4E5B9;
  x = (x ^ (x >> 27)) * 0x94D049BB133111EB;
  x ^= x >> 31;
  // 53 bits fit a double; the half keeps the result above 0.
  const auto uniform = (static_cast<double>(x >> 11) + 0.5) * 0x1p-53;
  return -static_cast<double>(candidate.Weight) / std::log(uniform);
}

std::uint16_t RendezvousHash::choose(std::span<const Candidate> candidates,
                                     std::uint64_t flowHash) {
  std::uint16_t best = 0;
  double bestScore = 0;
  for (const auto &it : candidates)
    if (const auto n = score(it, flowHash); n > bestScore) {
      best = it.Number;
      bestScore = n;
    }
  return best;
}

} // namespace auburnroute::state
