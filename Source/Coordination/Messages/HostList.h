#pragma once

#include "State/HostTable.h"

#include <cstdint>
#include <string>
#include <vector>

namespace auburnroute::messages {

/// A host as the platform lists it.
struct ListedHost {
  std::string Name;
  std::string Zone;
  bool IsLeaving = false; ///< Is being stopped; still forwards packets.
  state::HostAddresses Addresses;
};

/// A backend server that the platform is about to stop. While it is listed, its
/// health state is health::HealthState::Draining.
struct LeavingBackendServer {
  std::string Service;
  std::string Name;
};

/// The platform's list of hosts, which may be out of date.
///
/// The platform is the external HTTP service that publishes this list and the
/// settings of the load balancer.
struct HostList {
  std::uint64_t Version = 0;     ///< A higher version replaces a lower one.
  std::vector<ListedHost> Hosts; ///< Of all zones.
  std::vector<LeavingBackendServer> LeavingBackendServers;
};

} // namespace auburnroute::messages
