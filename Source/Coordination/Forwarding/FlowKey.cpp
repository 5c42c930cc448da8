#include "Coordination/Forwarding/FlowKey.h"

#include <array>

#include <xxhash.h>

namespace auburnroute::forwarding {

std::uint64_t FlowKey::hash(std::uint64_t seed) const {
  const std::array<std::uint64_t, 2> words{Caller.key(), Service.key()};
  return XXH3_64bits_withSeed(words.data(), sizeof(words), seed);
}

} // namespace auburnroute::forwarding
