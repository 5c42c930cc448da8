#pragma once

#include "Common/Endpoint.h"

#include <cstdint>

namespace auburnroute::routing {

/// The header fields of a caller's packet that decisions look at.
struct FlowPacket {
  common::Endpoint Source;
  common::Endpoint Destination;
  bool Syn = false;
  bool Ack = false;
  bool Fin = false;
  bool Rst = false;
  std::uint32_t Sequence = 0;
  /// In a SYN, the number of copies sent before this one.
  std::uint32_t Acknowledgement = 0;
  std::uint32_t Echo = 0; ///< Last echo that the caller received on the flow.
  std::uint16_t PayloadSize = 0; ///< Bytes.
};

} // namespace auburnroute::routing
