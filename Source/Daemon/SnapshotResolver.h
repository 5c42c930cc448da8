#pragma once

#include "Coordination/Membership/Membership.h"
#include "Coordination/Messages/HostList.h"
#include "State/DaemonSettings.h"
#include "State/ServiceTable.h"
#include "State/Settings.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace auburnroute::daemon {

/// What the traffic threads need to know of other hosts and of servers that
/// leave, worked out from the control state.
class SnapshotResolver {
public:
  /// References must outlive the object.
  SnapshotResolver(const state::DaemonSettings &local,
                   const membership::Membership &members,
                   const state::Settings &settings,
                   const state::ServiceTable &table)
      : Local(local), Members(members), Settings(settings), Table(table) {}

  /// Admission endpoint of the owner of each service, in their order.
  std::vector<common::Endpoint> admissionOwners() const;
  /// A live reader of the platform other than this host.
  std::optional<common::Endpoint> relayEndpoint() const;
  /// Admission endpoints of hosts that are suspect or dead.
  std::vector<common::Endpoint> unreachableAdmissionEndpoints() const;
  /// Ids of the servers that the host list names as leaving.
  std::vector<std::uint32_t> leavingBackendServers(
      const std::vector<messages::LeavingBackendServer> &listed) const;

private:
  const state::DaemonSettings &Local;
  const membership::Membership &Members;
  const state::Settings &Settings;
  const state::ServiceTable &Table;
};

} // namespace auburnroute::daemon
