#pragma once

#include "Coordination/Forwarding/FlowKey.h"

#include <cstdint>

namespace auburnroute::forwarding {

/// Encodes the number of a flow's backend server in the TCP timestamps that
/// the caller echoes (RFC 7323), so that any host can forward any packet
/// without per-flow state, as in Cheetah (Barbette et al., NSDI 2020).
///
/// The lowest bit of a timestamp selects its layout. Both cover 2^24 ms of the
/// backend server's clock, so PAWS allows idle times of up to 2^23 ms:
///  - narrow (0): 24 bits of time in units of 1 ms, 7 bits of number, for
///    numbers up to 127. The echo is restored exactly, as some TCP stacks
///    complete a handshake only if it echoes the timestamp of their SYN-ACK.
///  - wide (1): 19 bits of time in units of 32 ms, 12 bits of number. The
///    restored echo is up to 31 ms too old, so backend servers with such a
///    stack cannot have these numbers.
/// The layout of a flow does not change, as its backend server does not.
class FlowTag {
public:
  /// Highest number of the narrow layout.
  static constexpr std::uint16_t MaxNarrowNumber = 127;
  /// Highest number of the wide layout.
  static constexpr std::uint16_t MaxNumber = 4095;

  /// The tag of \p number (1 to MaxNumber) for one flow, including the layout
  /// bit. The number is masked with the seeded flow hash, so that a caller
  /// cannot select a backend server.
  static std::uint32_t encode(const FlowKey &key, std::uint16_t number,
                              std::uint64_t seed);
  /// The number that \p tag encodes, 0 to MaxNumber; 0 if encode() cannot have
  /// returned the tag. There may be no server with this number.
  static std::uint16_t decode(const FlowKey &key, std::uint32_t tag,
                              std::uint64_t seed);

  /// The TSval that is sent to the caller. Non-decreasing in \p value modulo
  /// 2^32, as PAWS requires, for gaps of up to 2^23 ms.
  static std::uint32_t tagValue(std::uint32_t value, std::uint32_t tag);
  /// The tag in an echoed timestamp.
  static std::uint32_t tagOf(std::uint32_t echo);
  /// The backend server's timestamp that \p echo was made from; in the wide
  /// layout rounded down to 32 ms. The upper bits are chosen so that the result
  /// is closest to \p lastValue, a recent TSval of that server.
  static std::uint32_t restoreEcho(std::uint32_t echo, std::uint32_t lastValue);
};

} // namespace auburnroute::forwarding
