#pragma once

#include "Coordination/Outcome.h"
#include "Coordination/PacketSummary.h"
#include "State/ServiceTable.h"

#include <memory>
#include <vector>

namespace auburnroute::coordination {

/// Decides what happens to each packet. One per traffic thread.
///
/// Holds no state per flow: a packet's backend server is named by the tag in
/// its timestamps. The only state is the last timestamp of each backend server.
/// Decisions take no lock and allocate nothing.
class ForwardingEngine {
public:
  /// Replaces the tables. Call between packets, on the traffic thread.
  void setTable(std::shared_ptr<const state::ServiceTable> table);

  /// A packet that a caller sent to a service.
  Outcome onCallerPacket(const PacketSummary &packet);
  /// A packet that a backend server sent.
  Outcome onBackendServerPacket(const PacketSummary &packet);
  /// Forwards a SYN to the backend server that admission chose.
  Outcome forwardSyn(std::uint32_t service, std::uint16_t number,
                     const PacketSummary &packet) const;

  const state::ServiceTable *table() const { return Table.get(); }

private:
  std::shared_ptr<const state::ServiceTable> Table;
  std::vector<std::uint32_t> LastTimestamp; ///< By backend server id.
};

} // namespace auburnroute::coordination
