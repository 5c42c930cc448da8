#include "Coordination/Membership/NeighbourRing.h"

#include <algorithm>

namespace auburnroute::membership {

std::vector<std::string> computeNeighbours(const std::vector<std::string> &ring,
                                           std::string_view self) {
  std::vector<std::string> out;
  if (ring.size() <= MaxFullMeshHosts) {
    std::copy_if(ring.begin(), ring.end(), std::back_inserter(out),
                 [&](const auto &name) { return name != self; });
    return out;
  }
  const auto n = ring.size();
  const auto at = static_cast<std::size_t>(
      std::lower_bound(ring.begin(), ring.end(), self) - ring.begin());
  for (std::size_t distance = 1; distance <= n / 2; distance *= 2) {
    out.push_back(ring[(at + distance) % n]);
    out.push_back(ring[(at + n - distance) % n]);
  }
  std::sort(out.begin(), out.end());
  out.erase(std::unique(out.begin(), out.end()), out.end());
  return out;
}

} // namespace auburnroute::membership
