#pragma once

#include "State/ServiceTable.h"

#include <cstdint>
#include <memory>

namespace auburnroute::forwarding {

constexpr std::uint32_t CounterAddress = 0xC6336401; // 198.51.100.1
constexpr std::uint32_t CatalogueAddress = 0xC6336402;
constexpr std::uint32_t CallerAddress = 0xCB007101; // 203.0.113.1
constexpr std::uint32_t ServerAddress = 0xC0000200; // 192.0.2.0
constexpr std::uint16_t BackendPort = 9001;

/// A backend server of a service. Its address is derived from the service and
/// the low 6 bits of its number.
inline state::BackendServer makeServer(std::uint32_t service,
                                       std::uint16_t number) {
  state::BackendServer server;
  server.Number = number;
  server.Address = ServerAddress + service * 64 + number % 64;
  server.Tunnel = {0x7F000001,
                   static_cast<std::uint16_t>(31000 + service * 100 + number)};
  return server;
}

/// Settings with two services, counter and catalogue, each with \p servers
/// backend servers and a listener on port 7001.
inline state::Settings makeSettings(std::uint16_t servers) {
  state::Settings settings;
  settings.Revision = 1;
  settings.FlowSeed = 7321;
  settings.Zones = {"sando"};
  for (std::uint32_t i = 0; i < 2; ++i) {
    state::Service service;
    service.Name = i == 0 ? "counter" : "catalogue";
    service.Listeners = {
        {{CounterAddress + i, 7001}, state::ListenerKind::Feed, BackendPort}};
    for (std::uint16_t n = 1; n <= servers; ++n)
      service.BackendServers.push_back(makeServer(i, n));
    service.PolicyByZone.resize(1);
    settings.Services.push_back(service);
  }
  return settings;
}

inline std::shared_ptr<const state::ServiceTable>
makeTable(const state::Settings &settings) {
  return std::make_shared<const state::ServiceTable>(settings, "sando");
}

} // namespace auburnroute::forwarding
