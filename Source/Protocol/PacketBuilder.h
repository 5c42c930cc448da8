#pragma once

#include "Common/Endpoint.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace auburnroute::protocol {

/// TCP timestamps option (RFC 7323).
struct Timestamps {
  std::uint32_t Value = 0;
  std::uint32_t Echo = 0;
};

/// Fields of a TCP segment to build.
struct Segment {
  common::Endpoint Source;
  common::Endpoint Destination;
  std::uint8_t Flags = 0; ///< PacketView::SynFlag and so on.
  std::uint32_t Sequence = 0;
  std::uint32_t Acknowledgement = 0;
  std::optional<Timestamps> Times;
  std::span<const std::byte> Payload;
};

/// Builds an IPv4 packet with a TCP segment and valid checksums.
std::vector<std::byte> buildPacket(const Segment &segment);

} // namespace auburnroute::protocol
