#pragma once

#include <string_view>

namespace auburnroute::state {

/// Why a packet, a flow or a request was not handled as usual, or what changed.
enum class Cause {
  None,
  // Packets that are dropped.
  Truncated,
  NotIpv4,
  NotTcp,
  Fragment,
  BadHeader,
  UnknownAddress,     ///< No service listens on the destination.
  UnknownSource,      ///< No backend server has the source address.
  MissingTag,         ///< A flow packet without a tag.
  UnknownTag,         ///< The tag names no backend server of the service.
  BackendServerMoved, ///< The server reports that it serves another service.
  BadHandOver,        ///< A hand-over datagram that fails authentication.
  Unconfirmed,        ///< The host is not up to date and places no new flow.
  NoSettings,         ///< No settings are in force yet.
  // New flows that are refused; none of their payload was forwarded.
  MissingTimestamps,
  NoBackendServer, ///< No usable backend server.
  QueueFull,
  QueueTimeout,
  ConnectionLimit, ///< All usable backend servers are at their limit.
  NoRoute,         ///< No route of the configuration has the address.
  // Flows that were broken.
  RouteRemoved,  ///< A configuration dropped the route of an open flow.
  UnknownServer, ///< The server of an open flow ended before it was known.
  BackendServerRefused, ///< The backend server answered the SYN with a reset.
  BackendServerReset,   ///< The backend server reset an established flow.
  BackendServerDown,    ///< The backend server stopped answering.
  // Requests that were delayed.
  SynUnanswered, ///< The caller had to repeat its SYN.
  AnsweredLate,  ///< Answered after the objective of the route.
  // Events that may lead to the outcomes above.
  BackendServerSilent, ///< Did not answer a packet in time.
  BackendServerLapsed, ///< Left the registry without notice.
  BackendServerDraining,
  BackendServerEjected,
  HostStarted,
  HostDead,
  HostPaused,
  HostLeaving,
  PlatformUnreachable,
  SettingsRefused,
  SettingsApplied,
  StopTimeout,      ///< A graceful stop reached its limit.
  PlatformRestored, ///< The registry went back to a copy.
  Count,            ///< Number of causes; not a cause.
};

/// Stable name of a cause, as in reports and metrics.
std::string_view toString(Cause cause);

} // namespace auburnroute::state
