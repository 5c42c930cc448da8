#include "platform/PacketCodec.h"

namespace auburnroute::platform {

namespace {

constexpr std::size_t FlagsOffset = 4;
constexpr std::size_t SequenceOffset = 5;
constexpr std::size_t AcknowledgementOffset = 9;
constexpr std::size_t SourcePortOffset = 13;
constexpr std::size_t SourceAddressOffset = 15;
constexpr std::size_t DestinationPortOffset = 19;
constexpr std::size_t DestinationAddressOffset = 21;
constexpr std::size_t EchoOffset = 25;
constexpr std::size_t LengthOffset = 29;

constexpr unsigned RstFlag = 4;
constexpr unsigned SynFlag = 8;
constexpr unsigned FinFlag = 64;
constexpr unsigned AckFlag = 128;

template <typename T>
T loadBigEndian(std::span<const std::byte> buffer, std::size_t offset) {
  T value = 0;
  for (std::size_t i = 0; i < sizeof(T); ++i)
    value = static_cast<T>(value << 8 | std::to_integer<T>(buffer[offset + i]));
  return value;
}

template <typename T>
void storeBigEndian(std::span<std::byte> buffer, std::size_t offset, T value) {
  for (std::size_t i = sizeof(T); i-- > 0; value = static_cast<T>(value >> 8))
    buffer[offset + i] = static_cast<std::byte>(value & 0xff);
}

} // namespace

std::optional<routing::FlowPacket>
PacketCodec::decode(std::span<const std::byte> datagram) {
  if (datagram.size() < HeaderSize)
    return std::nullopt;
  const auto length = loadBigEndian<std::uint16_t>(datagram, LengthOffset);
  if (length > MaxPayloadSize || datagram.size() != HeaderSize + length)
    return std::nullopt;
  const auto flags = std::to_integer<unsigned>(datagram[FlagsOffset]);
  routing::FlowPacket packet;
  packet.Source = {loadBigEndian<std::uint32_t>(datagram, SourceAddressOffset),
                   loadBigEndian<std::uint16_t>(datagram, SourcePortOffset)};
  packet.Destination = {
      loadBigEndian<std::uint32_t>(datagram, DestinationAddressOffset),
      loadBigEndian<std::uint16_t>(datagram, DestinationPortOffset)};
  packet.Syn = (flags & SynFlag) != 0;
  packet.Ack = (flags & AckFlag) != 0;
  packet.Fin = (flags & FinFlag) != 0;
  packet.Rst = (flags & RstFlag) != 0;
  packet.Sequence = loadBigEndian<std::uint32_t>(datagram, SequenceOffset);
  packet.Acknowledgement =
      loadBigEndian<std::uint32_t>(datagram, AcknowledgementOffset);
  packet.Echo = loadBigEndian<std::uint32_t>(datagram, EchoOffset);
  packet.PayloadSize = length;
  return packet;
}

void PacketCodec::writeEcho(std::span<std::byte> datagram, std::uint32_t echo) {
  storeBigEndian(datagram, EchoOffset, echo);
}

std::array<std::byte, PacketCodec::IdentityPrefixSize>
PacketCodec::identityPrefix(std::uint64_t identity) {
  std::array<std::byte, IdentityPrefixSize> buffer{};
  storeBigEndian(std::span<std::byte>(buffer), 0, identity);
  return buffer;
}

std::array<std::byte, PacketCodec::HeaderSize>
PacketCodec::makeReset(const routing::FlowPacket &packet) {
  std::array<std::byte, HeaderSize> header{};
  const std::span<std::byte> buffer(header);
  header[FlagsOffset] = static_cast<std::byte>(RstFlag);
  storeBigEndian(buffer, SequenceOffset,
                 packet.Syn ? 0 : packet.Acknowledgement);
  storeBigEndian(buffer, SourcePortOffset, packet.Destination.Port);
  storeBigEndian(buffer, SourceAddressOffset, packet.Destination.Address);
  storeBigEndian(buffer, DestinationPortOffset, packet.Source.Port);
  storeBigEndian(buffer, DestinationAddressOffset, packet.Source.Address);
  return header;
}

} // namespace auburnroute::platform
