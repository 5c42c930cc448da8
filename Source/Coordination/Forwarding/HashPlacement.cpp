#include "Coordination/Forwarding/HashPlacement.h"

#include "State/RendezvousHash.h"

namespace auburnroute::forwarding {

const state::BackendServerEntry *
HashPlacement::choose(std::span<const state::BackendServerEntry> servers,
                      std::uint64_t flowHash) {
  const state::BackendServerEntry *best = nullptr;
  double bestScore = 0;
  for (const auto &it : servers) {
    const auto score =
        state::RendezvousHash::score({it.Number, it.Weight}, flowHash);
    if (score > bestScore) {
      best = &it;
      bestScore = score;
    }
  }
  return best;
}

} // namespace auburnroute::forwarding
