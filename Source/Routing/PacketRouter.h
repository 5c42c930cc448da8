#pragma once

#include "Common/Clock.h"
#include "Routing/FlowTable.h"
#include "Routing/Placement.h"
#include "Routing/RouteTable.h"
#include "Routing/RoutingObserver.h"
#include "Routing/RoutingOutcome.h"

#include "absl/container/flat_hash_map.h"
#include "absl/container/inlined_vector.h"

namespace auburnroute::routing {

/// Decides what happens to each packet of a caller.
///
/// A packet of an open flow goes to the backend server that its tag names, on
/// whichever host it arrives. A SYN goes to a server chosen by ServerPlacement;
/// copies of it go to others, since the first did not answer. Everything else
/// that is kept serves the choice and may be lost at any time.
class PacketRouter {
public:
  /// References must outlive the object.
  PacketRouter(const RouteTable &routes, ServerDirectory &directory,
               ServerHealthTracker &health, Placement &placement,
               RoutingObserver &observer)
      : Routes(routes), Directory(directory), Health(health), Flows(health),
        PlacementPolicy(placement), Observer(observer) {}

  RoutingOutcome onPacket(const FlowPacket &packet, common::TimePoint now);
  /// Housekeeping; once a second or more often.
  void onTick(common::TimePoint now);
  /// Whether servers whose entry lapsed unannounced may get new flows when
  /// none is registered, as while the registry is away.
  void setUseLapsed(bool use) { UseLapsed = use; }

  /// The directory held all registered servers at \p time.
  void setDirectoryCompleteAt(common::TimePoint time) {
    DirectoryCompleteAt = time;
  }

  std::size_t flowCount() const { return Flows.size(); }
  /// SYNs and tags that are remembered beside the flows.
  std::size_t transientEntryCount() const {
    return PendingSyns.size() + UnknownTags.size();
  }

private:
  static constexpr std::size_t MaxTriedServers = 4;

  /// Servers that got the SYN of a flow that is not open yet.
  struct PendingSyn {
    /// The last few; callers send three SYNs.
    absl::InlinedVector<ServerId, MaxTriedServers> TriedServers;
    common::TimePoint LastSent;
  };

  RoutingOutcome onSyn(const Route &route, const FlowPacket &packet,
                       common::TimePoint now);
  RoutingOutcome onFlowPacket(const Route &route, const FlowPacket &packet,
                              common::TimePoint now);
  RoutingOutcome refuse(const RefusedPacket &packet);
  /// The service of a flow; the same for all copies of its SYN.
  NameTable::Id serviceOf(const Route &route, const FlowId &id);
  /// A packet with a tag that names no server: a server that ended before this
  /// host began, or one that this host has not heard of yet.
  RoutingOutcome onUnknownTag(const FlowId &id, NameTable::Id service,
                              const FlowPacket &packet, common::TimePoint now);
  void recordRetransmission(ServerId server, SuspicionReason why,
                            const FlowId &id, common::TimePoint sentAt,
                            common::TimePoint now);
  void recordAnswer(ServerId server, common::TimePoint now);
  /// Whether the server has certainly ended, so that its flows are lost.
  bool hasEnded(const KnownServer &server, common::TimePoint now);

  const RouteTable &Routes;
  ServerDirectory &Directory;
  ServerHealthTracker &Health;
  FlowTable Flows;
  Placement &PlacementPolicy;
  RoutingObserver &Observer;
  absl::flat_hash_map<FlowId, PendingSyn> PendingSyns;
  // Callers choose tags and addresses, so both tables are bounded.
  static constexpr std::size_t MaxPendingSyns = 16384;
  static constexpr std::size_t MaxUnknownTags = 4096;
  /// When a packet with a tag that names no server came first.
  absl::flat_hash_map<std::uint32_t, common::TimePoint> UnknownTags;
  common::TimePoint DirectoryCompleteAt;
  bool UseLapsed = false;
};

} // namespace auburnroute::routing
