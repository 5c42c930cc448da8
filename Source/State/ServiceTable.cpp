#include "State/ServiceTable.h"

#include <algorithm>

namespace auburnroute::state {

namespace {

constexpr std::uint16_t MaxServerNumber = 4095; // The tag has 12 bits.

/// Number of uses of each listener endpoint and each backend server endpoint
/// in the settings, by Endpoint::key().
absl::flat_hash_map<std::uint64_t, std::uint32_t>
countEndpointUses(const Settings &settings) {
  absl::flat_hash_map<std::uint64_t, std::uint32_t> uses;
  for (const auto &service : settings.Services)
    for (const auto &listener : service.Listeners) {
      ++uses[listener.Address.key()];
      for (const auto &it : service.BackendServers)
        ++uses[common::Endpoint{it.Address, listener.BackendPort}.key()];
    }
  return uses;
}

} // namespace

ServiceTable::ServiceTable(const Settings &settings, std::string_view zone)
    : Revision(settings.Revision), FlowSeed(settings.FlowSeed) {
  const auto zoneIndex = settings.zoneIndex(zone);
  const auto uses = countEndpointUses(settings);
  const auto isAmbiguous = [&uses](common::Endpoint address) {
    return uses.at(address.key()) > 1;
  };
  FirstOfService.push_back(0);
  for (std::uint32_t i = 0; i < settings.Services.size(); ++i) {
    const auto &service = settings.Services[i];
    const auto policy = zoneIndex && *zoneIndex < service.PolicyByZone.size()
                            ? service.PolicyByZone[*zoneIndex]
                            : ServicePolicy{};
    const auto firstListener = static_cast<std::uint32_t>(Listeners.size());
    for (const auto &it : service.Listeners) {
      if (isAmbiguous(it.Address))
        continue;
      ListenerByAddress[it.Address.key()] =
          static_cast<std::uint32_t>(Listeners.size());
      Listeners.push_back(
          {it.Address, i, it.BackendPort, it.Kind, policy.Timestamps});
    }
    auto servers = service.BackendServers;
    std::sort(servers.begin(), servers.end(),
              [](const auto &a, const auto &b) { return a.Number < b.Number; });
    for (const auto &it : servers) {
      if (it.Number == 0 || it.Number > MaxServerNumber ||
          std::any_of(service.Listeners.begin(), service.Listeners.end(),
                      [&](const auto &n) {
                        return isAmbiguous({it.Address, n.BackendPort});
                      }))
        continue;
      const auto id = static_cast<std::uint32_t>(BackendServers.size());
      BackendServers.push_back(
          {it.Address, it.Tunnel, i, id, it.Number, it.Weight, it.Mode});
      for (auto n = firstListener; n < Listeners.size(); ++n)
        SourceByAddress[common::Endpoint{it.Address, Listeners[n].BackendPort}
                            .key()] = {id, n};
    }
    FirstOfService.push_back(static_cast<std::uint32_t>(BackendServers.size()));
  }
}

const ListenerEntry *
ServiceTable::findListener(common::Endpoint address) const {
  const auto it = ListenerByAddress.find(address.key());
  return it == ListenerByAddress.end() ? nullptr : &Listeners[it->second];
}

FlowSource ServiceTable::findSource(common::Endpoint source) const {
  const auto it = SourceByAddress.find(source.key());
  if (it == SourceByAddress.end())
    return {};
  return {&BackendServers[it->second.BackendServer],
          &Listeners[it->second.Listener]};
}

const BackendServerEntry *
ServiceTable::findBackendServer(std::uint32_t service,
                                std::uint16_t number) const {
  const auto servers = backendServersOf(service);
  const auto it =
      std::lower_bound(servers.begin(), servers.end(), number,
                       [](const auto &a, auto n) { return a.Number < n; });
  return it == servers.end() || it->Number != number ? nullptr : &*it;
}

std::span<const BackendServerEntry>
ServiceTable::backendServersOf(std::uint32_t service) const {
  const auto first = FirstOfService[service];
  return {BackendServers.data() + first, FirstOfService[service + 1] - first};
}

} // namespace auburnroute::state
