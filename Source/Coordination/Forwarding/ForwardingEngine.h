#pragma once

#include "Coordination/Forwarding/FlowKey.h"
#include "Coordination/Forwarding/Outcome.h"
#include "Coordination/Forwarding/PacketSummary.h"
#include "State/ServiceTable.h"

#include <memory>
#include <optional>
#include <vector>

namespace auburnroute::forwarding {

/// Decides what happens to each packet. One per traffic thread.
///
/// Holds no state per flow: a packet's backend server is named by the tag in
/// its timestamps. The only state is the last timestamp of each backend server.
/// Decisions take no lock and allocate nothing.
///
/// A packet without timestamps has no tag. In mode `hash` HashPlacement names
/// its backend server; otherwise it is dropped. That includes the resets that a
/// caller's TCP sends for flows that it does not know: the backend server then
/// ends the flow when its retransmissions or keep-alives run out.
///
/// The flow seed is part of every tag, so a revision must not change it while
/// flows live.
class ForwardingEngine {
public:
  /// Replaces the tables; \p table is not null. Call between packets, on the
  /// traffic thread.
  void setTable(std::shared_ptr<const state::ServiceTable> table);

  /// A packet of either direction: one to the address of a service is from a
  /// caller, any other from a backend server.
  Outcome onPacket(const PacketSummary &packet);
  /// A packet that a caller sent to a service.
  Outcome onCallerPacket(const PacketSummary &packet);
  /// A packet that a backend server sent. The source address is all that shows
  /// it, so the fabric must not let callers send from those addresses.
  Outcome onBackendServerPacket(const PacketSummary &packet);
  /// Forwards a SYN to the backend server that admission chose. Dropped if
  /// \p service no longer is the service of the SYN's destination, as after a
  /// change of settings; the caller's TCP repeats the SYN.
  Outcome forwardSyn(std::uint32_t service, std::uint16_t number,
                     const PacketSummary &packet) const;

  const state::ServiceTable *table() const { return Table.get(); }

private:
  Outcome onSyn(const state::ListenerEntry &listener,
                const PacketSummary &packet) const;
  Outcome forwardTo(const state::BackendServerEntry &server,
                    const state::ListenerEntry &listener,
                    const PacketSummary &packet, std::uint32_t echo) const;
  /// TSecr for the backend server; 0 if its timestamps are not known yet.
  std::uint32_t echoFor(std::uint32_t server,
                        const PacketSummary &packet) const;
  const state::BackendServerEntry *chooseByHash(std::uint32_t service,
                                                const FlowKey &key) const;

  std::shared_ptr<const state::ServiceTable> Table;
  /// By backend server id; empty until a packet of the server was seen.
  std::vector<std::optional<std::uint32_t>> LastTimestamp;
};

} // namespace auburnroute::forwarding
