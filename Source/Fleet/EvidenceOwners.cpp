#include "Fleet/EvidenceOwners.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace auburnroute::fleet {

std::vector<std::uint32_t>
EvidenceOwners::choose(std::uint64_t identity,
                       std::span<const std::uint32_t> hosts, std::size_t n) {
  std::vector<std::pair<std::uint64_t, std::uint32_t>> ranked;
  ranked.reserve(hosts.size());
  for (const auto host : hosts)
    ranked.emplace_back(XXH3_64bits_withSeed(&identity, sizeof(identity), host),
                        host);
  n = std::min(n, ranked.size());
  std::ranges::partial_sort(ranked,
                            ranked.begin() + static_cast<std::ptrdiff_t>(n));
  std::vector<std::uint32_t> chosen;
  for (std::size_t i = 0; i < n; ++i)
    chosen.push_back(ranked[i].second);
  return chosen;
}

} // namespace auburnroute::fleet
