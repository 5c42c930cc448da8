#include "Daemon/SnapshotResolver.h"

#include <algorithm>

namespace auburnroute::daemon {

using state::HostState;

std::vector<common::Endpoint> SnapshotResolver::admissionOwners() const {
  std::vector<common::Endpoint> owners;
  for (const auto &it : Settings.Services) {
    const auto name = Members.admissionOwner(it.Name);
    const auto *host = name ? Members.hosts().find(*name) : nullptr;
    const bool known = host != nullptr && host->Addresses.Admission.Port != 0;
    owners.push_back(known ? host->Addresses.Admission : Local.Admission);
  }
  return owners;
}

std::optional<common::Endpoint> SnapshotResolver::relayEndpoint() const {
  for (const auto &name : Members.settingsReaders()) {
    const auto *host = Members.hosts().find(name);
    if (name != Local.Host && host != nullptr &&
        host->State == HostState::Live && host->Addresses.Admission.Port != 0)
      return host->Addresses.Admission;
  }
  return std::nullopt;
}

std::vector<common::Endpoint>
SnapshotResolver::unreachableAdmissionEndpoints() const {
  std::vector<common::Endpoint> unreachable;
  for (const auto &[name, host] : Members.hosts())
    if (!host.IsLeaving &&
        (host.State == HostState::Suspect || host.State == HostState::Dead))
      unreachable.push_back(host.Addresses.Admission);
  return unreachable;
}

std::vector<std::uint32_t> SnapshotResolver::leavingBackendServers(
    const std::vector<messages::LeavingBackendServer> &listed) const {
  std::vector<std::uint32_t> ids;
  const auto &services = Settings.Services;
  for (const auto &it : listed) {
    const auto service =
        std::find_if(services.begin(), services.end(),
                     [&](const auto &s) { return s.Name == it.Service; });
    if (service == services.end())
      continue;
    const auto server = std::find_if(
        service->BackendServers.begin(), service->BackendServers.end(),
        [&](const auto &s) { return s.Name == it.Name; });
    if (server == service->BackendServers.end())
      continue;
    const auto index = static_cast<std::uint32_t>(service - services.begin());
    ids.push_back(Table.findBackendServer(index, server->Number)->Id);
  }
  return ids;
}

} // namespace auburnroute::daemon
