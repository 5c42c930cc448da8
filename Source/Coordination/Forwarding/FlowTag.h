#pragma once

#include "Coordination/Forwarding/FlowKey.h"

#include <cstdint>

namespace auburnroute::forwarding {

/// Carries the number of a flow's backend server in the TCP timestamps that
/// the caller echoes (RFC 7323), so that any host can forward any packet
/// without state. The idea is that of Cheetah (Barbette et al., NSDI 2020).
///
/// The lowest bit of a timestamp names its layout. Both hold 24 bits' worth of
/// milliseconds of the backend server's clock, so PAWS allows idle times of up
/// to 2^23 ms in either:
///  - narrow (0): 24 bits of time in ms, 7 bits of number; numbers up to 127.
///    The echo is restored exactly. Stacks may refuse to complete a handshake
///    if it echoes another value than that of their SYN|ACK.
///  - wide (1): 19 bits of time in 32 ms, 12 bits of number. The restored echo
///    is up to 31 ms too old; such stacks do not work with these numbers.
/// A flow keeps one layout, since it keeps its backend server.
class FlowTag {
public:
  /// Highest number of the narrow layout.
  static constexpr std::uint16_t MaxNarrowNumber = 127;
  /// Highest number of all.
  static constexpr std::uint16_t MaxNumber = 4095;

  /// The tag of \p number (1 to MaxNumber) for one flow, including the layout
  /// bit. The number is masked with the flow hash so that a caller cannot
  /// choose a backend server.
  static std::uint32_t encode(const FlowKey &key, std::uint16_t number,
                              std::uint64_t seed);
  /// The number that \p tag stands for; 0 to MaxNumber, may name no server. 0
  /// if the tag is not one that encode() makes.
  static std::uint16_t decode(const FlowKey &key, std::uint32_t tag,
                              std::uint64_t seed);

  /// The TSval that the caller sees. Non-decreasing in \p value modulo 2^32,
  /// as PAWS requires, for gaps of up to 2^23 ms.
  static std::uint32_t tagValue(std::uint32_t value, std::uint32_t tag);
  /// The tag in an echoed timestamp.
  static std::uint32_t tagOf(std::uint32_t echo);
  /// The backend server's timestamp that \p echo stands for; in the wide layout
  /// rounded down to 32 ms. The missing upper bits are those that bring the
  /// result closest to \p lastValue, a recent TSval of that server.
  static std::uint32_t restoreEcho(std::uint32_t echo, std::uint32_t lastValue);
};

} // namespace auburnroute::forwarding
