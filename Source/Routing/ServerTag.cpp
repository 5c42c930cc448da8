#include "Routing/ServerTag.h"

#include <xxhash.h>

namespace auburnroute::routing {

std::array<std::uint32_t, ServerTag::Candidates>
ServerTag::of(std::uint64_t identity) {
  std::array<std::uint32_t, Candidates> tags{};
  for (std::size_t i = 0; i < Candidates; ++i) {
    const auto hash = XXH3_64bits_withSeed(&identity, sizeof(identity), i + 1);
    const auto tag = static_cast<std::uint32_t>(hash);
    tags[i] = tag == None ? 1 : tag;
  }
  return tags;
}

} // namespace auburnroute::routing
