#pragma once

#include "Routing/ServerDirectory.h"

#include <cstdint>
#include <string_view>
#include <variant>

namespace auburnroute::routing {

/// Why a packet was not forwarded.
enum class RefusalReason : std::uint8_t {
  NoConfiguration, ///< No configuration has been received yet.
  NoRoute,         ///< No route matches the destination.
  RouteRemoved,    ///< The route of an open flow was removed from the
                   ///< configuration.
  UnknownRoute,    ///< An open flow of a route that this host never had.
  NoServer,        ///< No backend server is available for a new flow.
  Overloaded,      ///< No server could serve a new flow in time.
  UnknownServer,   ///< The tag matches no known backend server.
  ServerGone,      ///< The backend server of an open flow has ended.
  Malformed,
  Count, ///< Number of reasons; not a reason.
};

std::string_view toString(RefusalReason refusal);

/// Forward the packet to a backend server with \p Tag in its echo field.
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
