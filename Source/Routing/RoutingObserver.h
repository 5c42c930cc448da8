#pragma once

#include "Routing/FlowId.h"
#include "Routing/RoutingOutcome.h"
#include "Routing/ServerEnd.h"
#include "Routing/ServerHealthTracker.h"

#include <optional>

namespace auburnroute::routing {

/// A packet of a caller that was not forwarded.
struct RefusedPacket {
  FlowId Flow;
  RefusalReason Why = RefusalReason::NoRoute;
  bool IsDropped = false; ///< Dropped without a reset to the caller.
  bool IsSyn = false;     ///< It was a SYN, so that no request was executed.
  /// Service of the route, if the configuration has one.
  std::optional<NameTable::Id> Service = std::nullopt;
  /// Backend server of an open flow, if it is known.
  std::optional<ServerId> Server = std::nullopt;
  /// Tag of the packet; ServerTag::None in a SYN.
  std::uint32_t Tag = ServerTag::None;
  /// Why the server is taken to have ended, if the reason is ServerGone.
  ServerEnd End = {};
};

/// Receives the decisions of a PacketRouter, for logs and metrics.
class RoutingObserver {
public:
  virtual ~RoutingObserver() = default;

  /// A SYN is forwarded to \p server; \p copy is the number of times that the
  /// caller sent it before.
  virtual void onPlaced(const FlowId &flow, ServerId server,
                        std::uint32_t copy) = 0;
  virtual void onRefused(const RefusedPacket &packet) = 0;
  /// The server did not answer a packet of \p flow for \p silence.
  virtual void onSuspected(const FlowId &flow, ServerId server,
                           SuspicionReason why,
                           std::chrono::milliseconds silence) = 0;
  /// A suspected server answered.
  virtual void onSuspicionCleared(ServerId server) = 0;
  /// A request was answered after \p time; its route's objective is
  /// \p objective, 0 if it has none.
  virtual void onAnswered(const FlowId &flow, ServerId server,
                          std::chrono::milliseconds time,
                          std::chrono::milliseconds objective) = 0;
};

} // namespace auburnroute::routing
