#include "Protocol/PacketBuilder.h"

#include "Protocol/PacketView.h"

#include <algorithm>

namespace auburnroute::protocol {

namespace {

constexpr std::size_t IpHeaderSize = 20;
constexpr std::size_t TcpHeaderSize = 20;
constexpr std::size_t TimestampsOptionSize = 12; // With two NOPs for padding.

void put16(std::vector<std::byte> &buf, std::size_t at, std::uint16_t value) {
  buf[at] = static_cast<std::byte>(value >> 8);
  buf[at + 1] = static_cast<std::byte>(value & 0xFF);
}

void put32(std::vector<std::byte> &buf, std::size_t at, std::uint32_t value) {
  put16(buf, at, static_cast<std::uint16_t>(value >> 16));
  put16(buf, at + 2, static_cast<std::uint16_t>(value & 0xFFFF));
}

} // namespace

std::vector<std::byte> buildPacket(const Segment &segment) {
  const auto options = segment.Times ? TimestampsOptionSize : 0;
  const auto headers = IpHeaderSize + TcpHeaderSize + options;
  std::vector<std::byte> buf(headers + segment.Payload.size());
  buf[0] = std::byte{0x45};
  put16(buf, 2, static_cast<std::uint16_t>(buf.size()));
  buf[6] = std::byte{0x40}; // Don't fragment.
  buf[8] = std::byte{64};   // Time to live.
  buf[9] = std::byte{6};    // TCP.
  put32(buf, 12, segment.Source.Address);
  put32(buf, 16, segment.Destination.Address);
  put16(buf, IpHeaderSize, segment.Source.Port);
  put16(buf, IpHeaderSize + 2, segment.Destination.Port);
  put32(buf, IpHeaderSize + 4, segment.Sequence);
  put32(buf, IpHeaderSize + 8, segment.Acknowledgement);
  buf[IpHeaderSize + 12] =
      static_cast<std::byte>(((TcpHeaderSize + options) / 4) << 4);
  buf[IpHeaderSize + 13] = static_cast<std::byte>(segment.Flags);
  put16(buf, IpHeaderSize + 14, 0xFFFF); // Window.
  if (segment.Times) {
    const auto at = IpHeaderSize + TcpHeaderSize;
    buf[at] = std::byte{1};
    buf[at + 1] = std::byte{1};
    buf[at + 2] = std::byte{8};
    buf[at + 3] = std::byte{10};
    put32(buf, at + 4, segment.Times->Value);
    put32(buf, at + 8, segment.Times->Echo);
  }
  std::copy(segment.Payload.begin(), segment.Payload.end(),
            buf.begin() + static_cast<std::ptrdiff_t>(headers));
  PacketView view;
  view.parse(buf);
  view.writeChecksums();
  return buf;
}

} // namespace auburnroute::protocol
