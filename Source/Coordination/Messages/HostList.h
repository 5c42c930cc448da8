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
  bool Leaving = false;
  state::HostAddresses Addresses;
};

/// A backend server that the platform is about to stop.
struct LeavingBackendServer {
  std::string Service;
  std::string Name;
};

/// The platform's list of hosts, which may be out of date.
struct HostList {
  std::uint64_t Version = 0;
  std::vector<ListedHost> Hosts; ///< Of all zones.
  std::vector<LeavingBackendServer> LeavingBackendServers;
};

} // namespace auburnroute::messages
