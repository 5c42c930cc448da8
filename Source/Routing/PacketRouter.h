#pragma once

#include "Common/Clock.h"
#include "Routing/FlowAdmission.h"
#include "Routing/FlowTable.h"
#include "Routing/OutcomeTracker.h"
#include "Routing/Placement.h"
#include "Routing/RouteTable.h"
#include "Routing/RoutingObserver.h"
#include "Routing/RoutingOutcome.h"
#include "Routing/ZoneDelays.h"

#include "absl/container/flat_hash_map.h"
#include "absl/container/inlined_vector.h"

namespace auburnroute::routing {

/// Decides whether to forward, reset or drop each packet of a caller.
///
/// A packet of an open flow goes to the backend server that its tag identifies,
/// on whichever host it arrives. A SYN goes to a server chosen by the
/// Placement; retransmissions of it go to other servers, since the first did
/// not answer. All other state only improves the choice and may be lost at any
/// time.
class PacketRouter {
public:
  /// References must outlive the object.
  PacketRouter(const RouteTable &routes, ServerDirectory &directory,
               ServerHealthTracker &health, Placement &placement,
               RoutingObserver &observer)
      : Routes(routes), Directory(directory), Health(health), Flows(health),
        PlacementPolicy(placement), Observer(observer) {}

  /// Sets what decides whether new flows are accepted; all are if it is null.
  /// It must outlive the object.
  void setAdmission(FlowAdmission *admission) { Admission = admission; }
  /// Sets what measures the delay between zones, if anything. It must outlive
  /// the object.
  void setZoneDelays(ZoneDelays *delays) { Delays = delays; }

  /// Sets what counts the outcomes of requests; none are if it is null. It must
  /// outlive the object.
  void setOutcomes(OutcomeTracker *outcomes) { Outcomes = outcomes; }

  RoutingOutcome onPacket(const FlowPacket &packet, common::TimePoint now);
  /// Gives up the flows with a pending request to \p server if it is dead:
  /// its callers would otherwise wait for a retransmission or their timeout.
  /// Non-idempotent requests are left until they are retransmitted: a reset
  /// gains their callers nothing, and the server may be slow after all. Returns
  /// the last packet of each flow as far as a reset needs it.
  std::vector<FlowPacket> abandonFlowsOf(ServerId server,
                                         common::TimePoint now);
  /// Suspects servers that did not answer a SYN. A server that crashed on a
  /// machine that is up resets SYNs past this host, so that callers send no
  /// copies. Call every 50 to 100 ms.
  void checkOpeningFlows(common::TimePoint now);
  /// Forgets what waits for an answer. Call after a stall of the process:
  /// packets have waited in its socket, and what it then reads says nothing
  /// about the servers.
  void discardEvidence(common::TimePoint now);
  /// Hosts of the zone joined or left, so that the routers move flows.
  void onRoutersChanged(common::TimePoint now) { Flows.onRoutersChanged(now); }
  /// Removes expired state. Call at least once a second.
  void onTick(common::TimePoint now);
  /// Whether servers whose entry lapsed without draining may get new flows when
  /// none is registered, for example during a registry outage.
  void setUsesLapsed(bool use) { UsesLapsed = use; }
  /// Unknown tags of packets since the last call, at most \p limit: hosts that
  /// ran earlier may know the servers. Each is returned again for packets after
  /// TagRetryInterval.
  std::vector<std::uint32_t> takeUnknownTags(std::size_t limit,
                                             common::TimePoint now);
  bool hasUnknownTags() const { return !NewUnknownTags.empty(); }

  std::size_t flowCount() const { return Flows.size(); }
  /// Number of pending SYNs and unknown tags.
  std::size_t transientEntryCount() const {
    return PendingSyns.size() + UnknownTags.size();
  }

private:
  static constexpr std::size_t MaxTriedServers = 4;

  /// Servers that were sent the SYN of a flow that is not open yet.
  struct PendingSyn {
    /// Bounded; callers send three SYNs.
    absl::InlinedVector<ServerId, MaxTriedServers> TriedServers;
    common::TimePoint LastSent;
  };

  RoutingOutcome onSyn(const Route &route, const FlowPacket &packet,
                       common::TimePoint now);
  RoutingOutcome onFlowPacket(const Route &route, const FlowPacket &packet,
                              common::TimePoint now);
  /// Handles a packet to an address that the active configuration has no route
  /// for.
  RoutingOutcome onPacketWithoutRoute(const FlowPacket &packet,
                                      common::TimePoint now);
  RoutingOutcome refuse(const RefusedPacket &packet);
  /// The service of a flow; the same for all retransmissions of its SYN.
  NameTable::Id serviceOf(const Route &route, const FlowId &id);
  /// Handles a tag of an unknown server: one whose entry was removed before
  /// this host started, or one that this host has not learned of yet.
  RoutingOutcome onUnknownTag(const FlowId &id, NameTable::Id service,
                              const FlowPacket &packet, common::TimePoint now);
  void recordRetransmission(ServerId server, SuspicionReason why,
                            const FlowId &id, common::TimePoint sentAt,
                            common::TimePoint now);
  /// \p sentAt: when the answered packet was sent; the default value if that
  /// is unknown.
  void recordAnswer(ServerId server, common::TimePoint sentAt,
                    common::TimePoint now);
  /// Whether to forward a packet of flow \p id though its server is taken for
  /// dead.
  bool mayProbe(const ServerEnd &end, const Route &route, const FlowId &id);
  /// Whether the server is taken to have ended, so that its flows are reset.
  ServerEnd endOf(const KnownServer &server, common::TimePoint now);

  const RouteTable &Routes;
  ServerDirectory &Directory;
  ServerHealthTracker &Health;
  FlowTable Flows;
  Placement &PlacementPolicy;
  RoutingObserver &Observer;
  FlowAdmission *Admission = nullptr;
  ZoneDelays *Delays = nullptr;
  OutcomeTracker *Outcomes = nullptr;
  absl::flat_hash_map<FlowId, PendingSyn> PendingSyns;
  // Callers control tags and addresses, so both tables are bounded.
  static constexpr std::size_t MaxPendingSyns = 16384;
  static constexpr std::size_t MaxUnknownTags = 4096;
  /// Less than the 200 ms after which callers retransmit, so that each copy of
  /// a packet asks again.
  static constexpr std::chrono::milliseconds TagRetryInterval{150};
  struct UnknownTag {
    common::TimePoint LastSeen;
    common::TimePoint TakenAt; ///< By takeUnknownTags().
    bool IsListed = false;     ///< In NewUnknownTags.
  };
  absl::flat_hash_map<std::uint32_t, UnknownTag> UnknownTags;
  std::vector<std::uint32_t> NewUnknownTags;
  bool UsesLapsed = false;
};

} // namespace auburnroute::routing
