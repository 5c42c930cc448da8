#pragma once

#include "Common/Endpoint.h"

#include <cstdint>

namespace auburnroute::forwarding {

/// The header fields that forwarding decisions depend on.
struct PacketSummary {
  common::Endpoint Source;
  common::Endpoint Destination;
  bool Syn = false;    ///< SYN without ACK.
  bool SynAck = false; ///< SYN with ACK.
  bool Ack = false;    ///< The timestamp echo is valid (RFC 7323, 3.2).
  bool Fin = false;
  bool Rst = false;
  bool HasTimestamps = false;
  std::uint32_t TimestampValue = 0;
  std::uint32_t TimestampEcho = 0;
};

} // namespace auburnroute::forwarding
