#pragma once

#include "Common/Endpoint.h"
#include "State/Cause.h"

#include <cstdint>
#include <variant>

namespace auburnroute::forwarding {

/// Send the packet to a backend server.
struct ForwardToBackendServer {
  std::uint32_t BackendServer = 0; ///< Id in the service table.
  common::Endpoint Tunnel;      ///< Destination of the encapsulating datagram.
  common::Endpoint Destination; ///< New destination of the packet.
  std::uint32_t TimestampEcho = 0; ///< New TSecr, if it has timestamps.
  std::uint32_t Service = 0;
  bool EndsFlow = false; ///< RST; sent via the admission owner.
};

/// Send the packet to its caller.
struct ForwardToCaller {
  std::uint32_t BackendServer = 0;
  std::uint32_t Service = 0;
  std::uint16_t Number = 0;         ///< Number of the backend server.
  common::Endpoint Source;          ///< New source of the packet.
  std::uint32_t TimestampValue = 0; ///< New TSval, if it has timestamps.
  bool EndsFlow = false; ///< FIN or RST; sent via the admission owner.
};

/// Hand over a SYN to the admission owner of the service. A SYN that has been
/// handed over is not handed over again; see
/// protocol::HandOverView::mayHandOverAgain.
struct HandOver {
  std::uint32_t Service = 0;
};

/// Answer a SYN with a reset (protocol::ResetBuilder). Only this outcome tells
/// the caller that its request was not executed.
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
