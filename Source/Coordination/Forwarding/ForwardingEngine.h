#pragma once

#include "Coordination/Forwarding/FlowKey.h"
#include "Coordination/Forwarding/Outcome.h"
#include "Coordination/Forwarding/PacketSummary.h"
#include "State/ServiceTable.h"

#include <memory>
#include <optional>
#include <vector>

namespace auburnroute::forwarding {

/// Decides how to forward each packet. One instance per traffic thread.
///
/// Keeps no per-flow state: the tag in a packet's timestamps (FlowTag) selects
/// its backend server. The only state is the last timestamp of each backend
/// server. Decisions take no lock and do not allocate.
///
/// A packet without timestamps has no tag. In mode `hash`, HashPlacement
/// selects its backend server; otherwise it is dropped. This includes the
/// resets that a caller's TCP sends for unknown flows: the backend server then
/// closes the flow when its retransmissions or keep-alives time out.
///
/// Tags depend on the flow seed, so a revision must not change it while there
/// are established flows.
class ForwardingEngine {
public:
  /// Replaces the table; \p table must not be null. Call between packets, on
  /// the traffic thread.
  void setTable(std::shared_ptr<const state::ServiceTable> table);

  /// Handles a packet of either direction. One that is sent to the address of a
  /// service is from a caller, any other from a backend server.
  Outcome onPacket(const PacketSummary &packet);
  /// Handles a packet that a caller sent to a service.
  Outcome onCallerPacket(const PacketSummary &packet);
  /// Handles a packet that a backend server sent. It is identified only by its
  /// source address, so the fabric must not let callers use those addresses.
  Outcome onBackendServerPacket(const PacketSummary &packet);
  /// Forwards a SYN to the backend server that admission chose. Drops it if,
  /// after a change of settings, its destination no longer belongs to
  /// \p service; the caller's TCP repeats the SYN.
  Outcome forwardSyn(std::uint32_t service, std::uint16_t number,
                     const PacketSummary &packet) const;

  const state::ServiceTable *table() const { return Table.get(); }

private:
  Outcome onSyn(const state::ListenerEntry &listener,
                const PacketSummary &packet) const;
  Outcome forwardTo(const state::BackendServerEntry &server,
                    const state::ListenerEntry &listener,
                    const PacketSummary &packet, std::uint32_t echo) const;
  /// TSecr for the backend server; 0 if no timestamp of the server is known.
  std::uint32_t echoFor(std::uint32_t server,
                        const PacketSummary &packet) const;
  const state::BackendServerEntry *chooseByHash(std::uint32_t service,
                                                const FlowKey &key) const;

  std::shared_ptr<const state::ServiceTable> Table;
  /// By backend server id; empty until a packet of the server is seen.
  std::vector<std::optional<std::uint32_t>> LastTimestamp;
};

} // namespace auburnroute::forwarding
