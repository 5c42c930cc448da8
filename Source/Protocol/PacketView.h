#pragma once

#include "Common/Endpoint.h"
#include "State/Cause.h"

#include <cstddef>
#include <cstdint>
#include <span>

namespace auburnroute::protocol {

/// A parsed IPv4 packet with a TCP header, rewritten in place.
///
/// Refers to the caller's buffer and does not allocate. Header layouts follow
/// RFC 791 and RFC 9293, the timestamps option RFC 7323; checksums are updated
/// incrementally as RFC 1624 describes.
class PacketView {
public:
  /// Parses \p buf. Returns Cause::None, or why the packet is refused; the view
  /// is valid only in the first case. Bytes after the IPv4 total length are
  /// ignored. Checksums are not verified: an incremental update keeps a wrong
  /// checksum wrong, so the endpoint discards the segment.
  ///
  /// Also refuses option lists that TCP stacks interpret differently, flags
  /// that contradict each other, and a SYN with payload (TCP Fast Open): each
  /// backend server that gets a copy of the SYN could execute the payload. The
  /// caller's TCP retransmits such a SYN without payload.
  state::Cause parse(std::span<std::byte> buf);

  common::Endpoint source() const;
  common::Endpoint destination() const;
  void setSource(common::Endpoint endpoint);
  void setDestination(common::Endpoint endpoint);

  bool isSyn() const { return hasFlag(SynFlag) && !hasFlag(AckFlag); }
  bool isSynAck() const { return hasFlag(SynFlag) && hasFlag(AckFlag); }
  bool isFin() const { return hasFlag(FinFlag); }
  bool isRst() const { return hasFlag(RstFlag); }

  std::uint32_t sequence() const;
  std::uint32_t acknowledgement() const;
  std::size_t payloadSize() const { return Size - HeaderSize; }
  std::span<const std::byte> payload() const {
    return {Data + HeaderSize, payloadSize()};
  }

  std::uint8_t timeToLive() const;
  /// Decrements the time to live, as RFC 1812 requires of each hop. Returns
  /// false, without a change, if it has run out; the packet must be dropped.
  bool decrementTimeToLive();

  bool hasTimestamps() const { return TimestampOffset != 0; }
  std::uint32_t timestampValue() const;
  std::uint32_t timestampEcho() const;
  void setTimestampValue(std::uint32_t value);
  void setTimestampEcho(std::uint32_t value);

  /// Whether both the IPv4 header checksum and the TCP checksum are correct.
  bool hasValidChecksums() const;
  /// Recomputes both checksums over the whole packet.
  void writeChecksums();

  std::span<std::byte> bytes() const { return {Data, Size}; }

  static constexpr std::uint8_t FinFlag = 0x01;
  static constexpr std::uint8_t SynFlag = 0x02;
  static constexpr std::uint8_t RstFlag = 0x04;
  static constexpr std::uint8_t PshFlag = 0x08;
  static constexpr std::uint8_t AckFlag = 0x10;

  /// Whether any of the bits in \p flag is set.
  bool hasFlag(std::uint8_t flag) const;

private:
  std::uint16_t load16(std::size_t offset) const;
  std::uint32_t load32(std::size_t offset) const;
  void store16(std::size_t offset, std::uint16_t value);
  void store32(std::size_t offset, std::uint32_t value);
  /// Replaces 32 bits and updates the TCP checksum.
  void replace32(std::size_t offset, std::uint32_t value);
  /// Finds the timestamps option. Returns false if the option list is
  /// malformed.
  bool parseOptions();
  bool hasConsistentFlags() const;
  void setEndpoint(std::size_t addressOffset, std::size_t portOffset,
                   common::Endpoint endpoint);

  std::byte *Data = nullptr;
  std::size_t Size = 0;
  std::size_t TcpOffset = 0;
  std::size_t HeaderSize = 0;      ///< IPv4 and TCP headers, in bytes.
  std::size_t TimestampOffset = 0; ///< Offset of TSval; 0 if absent.
};

} // namespace auburnroute::protocol
