#include "platform/PacketCodec.h"

namespace auburnroute::platform {

namespace {

constexpr std::size_t FlagsAt = 4;
constexpr std::size_t SequenceAt = 5;
constexpr std::size_t AcknowledgementAt = 9;
constexpr std::size_t SourcePortAt = 13;
constexpr std::size_t SourceAddressAt = 15;
constexpr std::size_t DestinationPortAt = 19;
constexpr std::size_t DestinationAddressAt = 21;
constexpr std::size_t EchoAt = 25;
constexpr std::size_t LengthAt = 29;

constexpr unsigned RstFlag = 4;
constexpr unsigned SynFlag = 8;
constexpr unsigned FinFlag = 64;
constexpr unsigned AckFlag = 128;

template <typename T> T load(std::span<const std::byte> buf, std::size_t at) {
  T value = 0;
  for (std::size_t i = 0; i < sizeof(T); ++i)
    value = static_cast<T>(value << 8 | std::to_integer<T>(buf[at + i]));
  return value;
}

template <typename T>
void store(std::span<std::byte> buf, std::size_t at, T value) {
  for (std::size_t i = sizeof(T); i-- > 0; value = static_cast<T>(value >> 8))
    buf[at + i] = static_cast<std::byte>(value & 0xff);
}

} // namespace

std::optional<routing::FlowPacket>
PacketCodec::decode(std::span<const std::byte> datagram) {
  if (datagram.size() < HeadSize)
    return std::nullopt;
  const auto length = load<std::uint16_t>(datagram, LengthAt);
  if (length > MaxPayload || datagram.size() != HeadSize + length)
    return std::nullopt;
  const auto flags = std::to_integer<unsigned>(datagram[FlagsAt]);
  routing::FlowPacket packet;
  packet.Source = {load<std::uint32_t>(datagram, SourceAddressAt),
                   load<std::uint16_t>(datagram, SourcePortAt)};
  packet.Destination = {load<std::uint32_t>(datagram, DestinationAddressAt),
                        load<std::uint16_t>(datagram, DestinationPortAt)};
  packet.Syn = (flags & SynFlag) != 0;
  packet.Ack = (flags & AckFlag) != 0;
  packet.Fin = (flags & FinFlag) != 0;
  packet.Rst = (flags & RstFlag) != 0;
  packet.Sequence = load<std::uint32_t>(datagram, SequenceAt);
  packet.Acknowledgement = load<std::uint32_t>(datagram, AcknowledgementAt);
  packet.Echo = load<std::uint32_t>(datagram, EchoAt);
  packet.PayloadSize = length;
  return packet;
}

void PacketCodec::writeEcho(std::span<std::byte> datagram, std::uint32_t echo) {
  store(datagram, EchoAt, echo);
}

std::array<std::byte, PacketCodec::PrefixSize>
PacketCodec::prefix(std::uint64_t identity) {
  std::array<std::byte, PrefixSize> buf{};
  store(std::span<std::byte>(buf), 0, identity);
  return buf;
}

std::array<std::byte, PacketCodec::HeadSize>
PacketCodec::reset(const routing::FlowPacket &packet) {
  std::array<std::byte, HeadSize> head{};
  const std::span<std::byte> buf(head);
  head[FlagsAt] = static_cast<std::byte>(RstFlag);
  store(buf, SequenceAt, packet.Syn ? 0 : packet.Acknowledgement);
  store(buf, SourcePortAt, packet.Destination.Port);
  store(buf, SourceAddressAt, packet.Destination.Address);
  store(buf, DestinationPortAt, packet.Source.Port);
  store(buf, DestinationAddressAt, packet.Source.Address);
  return head;
}

} // namespace auburnroute::platform
