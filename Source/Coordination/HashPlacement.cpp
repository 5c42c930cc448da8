#include "Coordination/HashPlacement.h"

#include <cmath>

namespace auburnroute::coordination {

namespace {

/// Uniform in (0, 1) for one flow and server (finaliser of SplitMix64).
double uniform(std::uint64_t flowHash, std::uint16_t number) {
  auto x = flowHash + 0x9E3779B97F4A7C15 * number;
  x = (x ^ (x >> 30)) * 0xBF58476D1CE4E5B9;
  x = (x ^ (x >> 27)) * 0x94D049BB133111EB;
  x ^= x >> 31;
  // 53 bits fit a double; the half keeps the result above 0.
  return (static_cast<double>(x >> 11) + 0.5) * 0x1p-53;
}

} // namespace

const state::BackendServerEntry *
HashPlacement::choose(std::span<const state::BackendServerEntry> servers,
                      std::uint64_t flowHash) {
  const state::BackendServerEntry *best = nullptr;
  double bestScore = 0;
  for (const auto &it : servers) {
    const auto score = -static_cast<double>(it.Weight) /
                       std::log(uniform(flowHash, it.Number));
    if (score > bestScore) {
      best = &it;
      bestScore = score;
    }
  }
  return best;
}

} // namespace auburnroute::coordination
