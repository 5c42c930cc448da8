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

/// Resolves the host endpoints and backend server ids of a snapshot from the
/// control state.
class SnapshotResolver {
public:
  /// References must outlive the object.
  SnapshotResolver(const state::DaemonSettings &local,
                   const membership::Membership &members,
                   const state::Settings &settings,
                   const state::ServiceTable &table)
      : Local(local), Members(members), Settings(settings), Table(table) {}

  /// Admission endpoint of each service's owner, by service index; that of this
  /// host if the owner's is not known.
  std::vector<common::Endpoint> admissionOwners() const;
  /// Admission endpoint of a live platform reader other than this host.
  std::optional<common::Endpoint> relayEndpoint() const;
  /// Admission endpoints of hosts that are suspect or dead and did not leave
  /// gracefully.
  std::vector<common::Endpoint> unreachableAdmissionEndpoints() const;
  /// Table ids of the backend servers in \p listed; unknown ones are left out.
  std::vector<std::uint32_t> leavingBackendServers(
      const std::vector<messages::LeavingBackendServer> &listed) const;

private:
  const state::DaemonSettings &Local;
  const membership::Membership &Members;
  const state::Settings &Settings;
  const state::ServiceTable &Table;
};

} // namespace auburnroute::daemon
