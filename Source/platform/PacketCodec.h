#pragma once

#include "Routing/FlowPacket.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace auburnroute::platform {

/// Reads and writes the header of the platform's packets, which are carried in
/// UDP datagrams. Fields in order, all big-endian: sum, flags, seq, ack, sport,
/// src, dport, dst, echo, len.
class PacketCodec {
public:
  static constexpr std::size_t HeaderSize = 31;       ///< Bytes.
  static constexpr std::size_t MaxPayloadSize = 1200; ///< Bytes.
  /// Size in bytes of the backend server's identity that precedes a forwarded
  /// packet.
  static constexpr std::size_t IdentityPrefixSize = 8;

  /// Decodes \p datagram; nullopt if it is not exactly one complete packet.
  static std::optional<routing::FlowPacket>
  decode(std::span<const std::byte> datagram);
  /// Overwrites the echo field. The checksum stays valid: it is keyed and does
  /// not cover this field.
  static void writeEcho(std::span<std::byte> datagram, std::uint32_t echo);
  /// Encodes the prefix that addresses the backend server with \p identity.
  static std::array<std::byte, IdentityPrefixSize>
  identityPrefix(std::uint64_t identity);
  /// Builds a reset in response to \p packet. The client ignores resets outside
  /// of its receive window, so the sequence number is the one that it expects
  /// next.
  static std::array<std::byte, HeaderSize>
  makeReset(const routing::FlowPacket &packet);
};

} // namespace auburnroute::platform
