#pragma once

#include "Routing/ServerDirectory.h"

#include <cstdint>
#include <string_view>
#include <variant>

namespace auburnroute::routing {

/// Why a packet was not forwarded.
enum class RefusalReason : std::uint8_t {
  NoConfiguration, ///< No configuration is known yet.
  NoRoute,         ///< No route has the destination.
  RouteRemoved,    ///< An open flow whose route a configuration dropped.
  NoServer,        ///< No backend server may take the flow.
  UnknownServer,   ///< The tag names no backend server that is known.
  ServerGone,      ///< The backend server of an open flow has ended.
  Malformed,
  Count, ///< Number of refusals; not a refusal.
};

std::string_view toString(RefusalReason refusal);

/// Send the packet to a backend server, with \p Tag as its echo.
struct ForwardPacket {
  ServerId Server = 0;
  std::uint32_t Tag = 0;
};

/// Answer the caller with a reset.
struct ResetFlow {
  RefusalReason Why = RefusalReason::NoRoute;
};

/// Send nothing.
struct DropPacket {
  RefusalReason Why = RefusalReason::NoRoute;
};

using RoutingOutcome = std::variant<ForwardPacket, ResetFlow, DropPacket>;

} // namespace auburnroute::routing
