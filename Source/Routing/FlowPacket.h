#pragma once

#include "Common/Endpoint.h"

#include <cstdint>

namespace auburnroute::routing {

/// Header fields of a caller's packet that routing decisions depend on.
struct FlowPacket {
  common::Endpoint Source;
  common::Endpoint Destination;
  bool Syn = false;
  bool Ack = false;
  bool Fin = false;
  bool Rst = false;
  std::uint32_t Sequence = 0;
  /// In a SYN, the number of times that the caller sent it before.
  std::uint32_t Acknowledgement = 0;
  /// Last tag that the caller received on the flow; see ServerTag.
  std::uint32_t Echo = 0;
  std::uint16_t PayloadSize = 0; ///< Bytes.
};

} // namespace auburnroute::routing
