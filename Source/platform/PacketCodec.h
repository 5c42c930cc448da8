#pragma once

#include "Routing/FlowPacket.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace auburnroute::platform {

/// Head of the platform's packets, which travel as UDP datagrams: big-endian
/// fields sum, flags, seq, ack, sport, src, dport, dst, echo, len.
class PacketCodec {
public:
  static constexpr std::size_t HeaderSize = 31;       ///< Bytes.
  static constexpr std::size_t MaxPayloadSize = 1200; ///< Bytes.
  /// In front of a packet to a backend server: the identity that it is for.
  static constexpr std::size_t IdentityPrefixSize = 8;

  /// The fields of \p datagram, or nothing if it is not one whole packet.
  static std::optional<routing::FlowPacket>
  decode(std::span<const std::byte> datagram);
  /// Overwrites the echo field; the keyed sum does not cover it.
  static void writeEcho(std::span<std::byte> datagram, std::uint32_t echo);
  /// The identity prefix for the backend server with \p identity.
  static std::array<std::byte, IdentityPrefixSize>
  identityPrefix(std::uint64_t identity);
  /// A reset that answers \p packet. Its sequence number lies in the window
  /// of the caller: it is the number that the caller expects next.
  static std::array<std::byte, HeaderSize>
  makeReset(const routing::FlowPacket &packet);
};

} // namespace auburnroute::platform
