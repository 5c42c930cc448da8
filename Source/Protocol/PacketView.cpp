#include "Protocol/PacketView.h"

#include <cstring>

namespace auburnroute::protocol {

namespace {

constexpr std::size_t MinIpHeaderSize = 20;
constexpr std::size_t MinTcpHeaderSize = 20;
constexpr std::size_t SourceAddressOffset = 12;
constexpr std::size_t DestinationAddressOffset = 16;
constexpr std::size_t TimeToLiveOffset = 8; // 16-bit word with the protocol.
constexpr std::size_t IpChecksumOffset = 10;
constexpr std::size_t TcpFlagsOffset = 13;
constexpr std::size_t TcpChecksumOffset = 16;
constexpr std::uint8_t TcpProtocol = 6;
constexpr std::uint8_t OptionEnd = 0;
constexpr std::uint8_t OptionNop = 1;
constexpr std::uint8_t OptionTimestamps = 8;
constexpr std::uint8_t OptionTimestampsSize = 10;

std::uint16_t fold(std::uint32_t sum) {
  sum = (sum & 0xFFFF) + (sum >> 16);
  sum = (sum & 0xFFFF) + (sum >> 16);
  return static_cast<std::uint16_t>(sum);
}

/// RFC 1624, equation 3: HC' = ~(~HC + ~m + m').
std::uint16_t updateChecksum(std::uint16_t checksum, std::uint16_t before,
                             std::uint16_t after) {
  const std::uint32_t sum = static_cast<std::uint16_t>(~checksum) +
                            static_cast<std::uint16_t>(~before) +
                            std::uint32_t{after};
  return static_cast<std::uint16_t>(~fold(sum));
}

std::uint32_t sumWords(const std::byte *data, std::size_t n) {
  std::uint32_t sum = 0;
  for (std::size_t i = 0; i + 1 < n; i += 2)
    sum += (std::to_integer<std::uint32_t>(data[i]) << 8) |
           std::to_integer<std::uint32_t>(data[i + 1]);
  if (n % 2 != 0)
    sum += std::to_integer<std::uint32_t>(data[n - 1]) << 8;
  return sum;
}

/// Checksum sum over the TCP pseudo header and segment; \p tcp is the offset of
/// the TCP header.
std::uint32_t tcpSum(const std::byte *data, std::size_t n, std::size_t tcp) {
  return sumWords(data + SourceAddressOffset, 8) + TcpProtocol +
         static_cast<std::uint32_t>(n - tcp) + sumWords(data + tcp, n - tcp);
}

} // namespace

state::Cause PacketView::parse(std::span<std::byte> buf) {
  Data = buf.data();
  TimestampOffset = 0;
  if (buf.size() < MinIpHeaderSize)
    return state::Cause::Truncated;
  const auto first = std::to_integer<unsigned>(Data[0]);
  if (first >> 4 != 4)
    return state::Cause::NotIpv4;
  TcpOffset = std::size_t{first & 0xF} * 4;
  Size = load16(2);
  if (TcpOffset < MinIpHeaderSize)
    return state::Cause::BadHeader;
  if (Size > buf.size())
    return state::Cause::Truncated;
  if (std::to_integer<std::uint8_t>(Data[9]) != TcpProtocol)
    return state::Cause::NotTcp;
  // MF flag or a fragment offset; only the first fragment carries the ports.
  if ((load16(6) & 0x3FFF) != 0)
    return state::Cause::Fragment;
  if (Size < TcpOffset + MinTcpHeaderSize)
    return state::Cause::Truncated;
  const std::size_t tcpHeader =
      std::size_t{std::to_integer<unsigned>(Data[TcpOffset + 12]) >> 4} * 4;
  if (tcpHeader < MinTcpHeaderSize || TcpOffset + tcpHeader > Size)
    return state::Cause::BadHeader;
  HeaderSize = TcpOffset + tcpHeader;
  if (!parseOptions() || !hasConsistentFlags())
    return state::Cause::BadHeader;
  return state::Cause::None;
}

bool PacketView::hasConsistentFlags() const {
  if (hasFlag(SynFlag) && (isFin() || isRst()))
    return false;
  if (isSyn() && payloadSize() != 0)
    return false;
  // RFC 9293, 3.10.7: a segment of an established flow has ACK or RST set.
  return hasFlag(SynFlag | AckFlag | RstFlag);
}

bool PacketView::parseOptions() {
  auto at = TcpOffset + MinTcpHeaderSize;
  while (at < HeaderSize) {
    const auto kind = std::to_integer<std::uint8_t>(Data[at]);
    if (kind == OptionEnd)
      return true;
    if (kind == OptionNop) {
      ++at;
      continue;
    }
    if (at + 1 >= HeaderSize)
      return false;
    const auto length = std::to_integer<std::uint8_t>(Data[at + 1]);
    if (length < 2 || at + length > HeaderSize)
      return false;
    if (kind == OptionTimestamps) {
      // TCP stacks differ in which of two timestamps options they use.
      if (length != OptionTimestampsSize || TimestampOffset != 0)
        return false;
      TimestampOffset = at + 2;
    }
    at += length;
  }
  return true;
}

std::uint8_t PacketView::timeToLive() const {
  return std::to_integer<std::uint8_t>(Data[TimeToLiveOffset]);
}

bool PacketView::decrementTimeToLive() {
  if (timeToLive() <= 1)
    return false;
  const auto before = load16(TimeToLiveOffset);
  const auto after = static_cast<std::uint16_t>(before - 0x100);
  store16(IpChecksumOffset,
          updateChecksum(load16(IpChecksumOffset), before, after));
  store16(TimeToLiveOffset, after);
  return true;
}

bool PacketView::hasFlag(std::uint8_t flag) const {
  return (std::to_integer<std::uint8_t>(Data[TcpOffset + TcpFlagsOffset]) &
          flag) != 0;
}

common::Endpoint PacketView::source() const {
  return {load32(SourceAddressOffset), load16(TcpOffset)};
}

common::Endpoint PacketView::destination() const {
  return {load32(DestinationAddressOffset), load16(TcpOffset + 2)};
}

void PacketView::setSource(common::Endpoint endpoint) {
  setEndpoint(SourceAddressOffset, TcpOffset, endpoint);
}

void PacketView::setDestination(common::Endpoint endpoint) {
  setEndpoint(DestinationAddressOffset, TcpOffset + 2, endpoint);
}

std::uint32_t PacketView::sequence() const { return load32(TcpOffset + 4); }

std::uint32_t PacketView::acknowledgement() const {
  return load32(TcpOffset + 8);
}

std::uint32_t PacketView::timestampValue() const {
  return load32(TimestampOffset);
}

std::uint32_t PacketView::timestampEcho() const {
  return load32(TimestampOffset + 4);
}

void PacketView::setTimestampValue(std::uint32_t value) {
  replace32(TimestampOffset, value);
}

void PacketView::setTimestampEcho(std::uint32_t value) {
  replace32(TimestampOffset + 4, value);
}

bool PacketView::hasValidChecksums() const {
  return fold(sumWords(Data, TcpOffset)) == 0xFFFF &&
         fold(tcpSum(Data, Size, TcpOffset)) == 0xFFFF;
}

void PacketView::writeChecksums() {
  store16(IpChecksumOffset, 0);
  store16(IpChecksumOffset,
          static_cast<std::uint16_t>(~fold(sumWords(Data, TcpOffset))));
  store16(TcpOffset + TcpChecksumOffset, 0);
  store16(TcpOffset + TcpChecksumOffset,
          static_cast<std::uint16_t>(~fold(tcpSum(Data, Size, TcpOffset))));
}

std::uint16_t PacketView::load16(std::size_t offset) const {
  return static_cast<std::uint16_t>(
      (std::to_integer<unsigned>(Data[offset]) << 8) |
      std::to_integer<unsigned>(Data[offset + 1]));
}

std::uint32_t PacketView::load32(std::size_t offset) const {
  return (std::uint32_t{load16(offset)} << 16) | load16(offset + 2);
}

void PacketView::store16(std::size_t offset, std::uint16_t value) {
  Data[offset] = static_cast<std::byte>(value >> 8);
  Data[offset + 1] = static_cast<std::byte>(value & 0xFF);
}

void PacketView::store32(std::size_t offset, std::uint32_t value) {
  store16(offset, static_cast<std::uint16_t>(value >> 16));
  store16(offset + 2, static_cast<std::uint16_t>(value & 0xFFFF));
}

void PacketView::replace32(std::size_t offset, std::uint32_t value) {
  const auto before = load32(offset);
  const auto at = TcpOffset + TcpChecksumOffset;
  auto checksum = load16(at);
  // An option may start at an odd offset. The field then straddles the 16-bit
  // words of the checksum, which is the same as swapping its bytes.
  const bool odd = (offset - TcpOffset) % 2 != 0;
  const auto words = [odd](std::uint32_t v) {
    return odd ? ((v & 0x00FF00FF) << 8) | ((v >> 8) & 0x00FF00FF) : v;
  };
  const auto oldWords = words(before);
  const auto newWords = words(value);
  checksum =
      updateChecksum(checksum, static_cast<std::uint16_t>(oldWords >> 16),
                     static_cast<std::uint16_t>(newWords >> 16));
  checksum =
      updateChecksum(checksum, static_cast<std::uint16_t>(oldWords & 0xFFFF),
                     static_cast<std::uint16_t>(newWords & 0xFFFF));
  store16(at, checksum);
  store32(offset, value);
}

void PacketView::setEndpoint(std::size_t addressOffset, std::size_t portOffset,
                             common::Endpoint endpoint) {
  const auto before = load32(addressOffset);
  auto ipChecksum = load16(IpChecksumOffset);
  ipChecksum =
      updateChecksum(ipChecksum, static_cast<std::uint16_t>(before >> 16),
                     static_cast<std::uint16_t>(endpoint.Address >> 16));
  ipChecksum =
      updateChecksum(ipChecksum, static_cast<std::uint16_t>(before & 0xFFFF),
                     static_cast<std::uint16_t>(endpoint.Address & 0xFFFF));
  store16(IpChecksumOffset, ipChecksum);
  // The address is part of the TCP pseudo header.
  replace32(addressOffset, endpoint.Address);
  const auto at = TcpOffset + TcpChecksumOffset;
  store16(at, updateChecksum(load16(at), load16(portOffset), endpoint.Port));
  store16(portOffset, endpoint.Port);
}

} // namespace auburnroute::protocol
