#pragma once

#include "Common/Endpoint.h"
#include "State/Cause.h"

#include <cstdint>
#include <variant>

namespace auburnroute::forwarding {

/// Send the packet to a backend server.
struct ForwardToBackendServer {
  std::uint32_t BackendServer = 0; ///< Id in the service table.
  common::Endpoint Tunnel;         ///< Where the datagram goes.
  common::Endpoint Destination;    ///< New destination of the packet.
  std::uint32_t TimestampEcho = 0; ///< New TSecr, if it has timestamps.
  std::uint32_t Service = 0;
  bool EndsFlow = false; ///< RST; goes by way of the admission owner.
};

/// Send the packet to its caller.
struct ForwardToCaller {
  std::uint32_t BackendServer = 0;
  std::uint32_t Service = 0;
  std::uint16_t Number = 0;         ///< Number of the backend server.
  common::Endpoint Source;          ///< New source of the packet.
  std::uint32_t TimestampValue = 0; ///< New TSval, if it has timestamps.
  bool EndsFlow = false; ///< FIN or RST; goes by way of the admission owner.
};

/// Give a SYN to the host that admits new flows of the service. A SYN that came
/// by a hand-over is not given on; see
/// protocol::HandOverView::mayHandOverAgain.
struct HandOver {
  std::uint32_t Service = 0;
};

/// Answer a SYN with a reset (protocol::ResetBuilder). The only outcome that
/// tells the caller that its request was not run.
struct Refuse {
  std::uint32_t Service = 0;
  state::Cause Why = state::Cause::None;
};

/// Discard the packet.
struct Drop {
  state::Cause Why = state::Cause::None;
};

using Outcome = std::variant<ForwardToBackendServer, ForwardToCaller, HandOver,
                             Refuse, Drop>;

} // namespace auburnroute::forwarding
