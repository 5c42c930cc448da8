#pragma once

#include "Coordination/FlowKey.h"

#include <cstdint>

namespace auburnroute::coordination {

/// Carries the number of a flow's backend server in the TCP timestamps that
/// the caller echoes (RFC 7323), so that any host can forward any packet
/// without state. The idea is that of Cheetah (Barbette et al., NSDI 2020).
class FlowTag {
public:
  /// Bits of a timestamp that hold the tag.
  static constexpr unsigned Bits = 12;
  static constexpr std::uint32_t Mask = (1U << Bits) - 1;
  /// Low bits of the backend server's timestamp that are given up.
  static constexpr unsigned DroppedBits = 4;

  /// The tag of \p number (1 to 4095) for one flow. It is masked with the flow
  /// hash so that a caller cannot choose a backend server.
  static std::uint32_t encode(const FlowKey &key, std::uint16_t number,
                              std::uint64_t seed);
  /// The number that \p tag stands for; 0 to 4095, may name no server.
  static std::uint16_t decode(const FlowKey &key, std::uint32_t tag,
                              std::uint64_t seed);

  /// The TSval that the caller sees. Non-decreasing in \p value modulo 2^32,
  /// as PAWS requires, for gaps of up to 2^23 ms.
  static std::uint32_t tagValue(std::uint32_t value, std::uint32_t tag);
  /// The tag in an echoed timestamp.
  static std::uint32_t tagOf(std::uint32_t echo) { return echo & Mask; }
  /// The backend server's timestamp that \p echo stands for, less its low
  /// DroppedBits. The missing upper bits are those that bring the result
  /// closest to \p lastValue, a recent TSval of that server.
  static std::uint32_t restoreEcho(std::uint32_t echo, std::uint32_t lastValue);
};

} // namespace auburnroute::coordination
