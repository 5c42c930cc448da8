#pragma once

#include <cstdint>

namespace auburnroute::common {

/// Whether TCP sequence number \p a precedes \p b modulo 2^32 (RFC 9293,
/// section 3.4).
constexpr bool sequenceBefore(std::uint32_t a, std::uint32_t b) {
  return static_cast<std::int32_t>(a - b) < 0;
}

/// Whether TCP sequence number \p a follows \p b modulo 2^32.
constexpr bool sequenceAfter(std::uint32_t a, std::uint32_t b) {
  return static_cast<std::int32_t>(a - b) > 0;
}

} // namespace auburnroute::common
