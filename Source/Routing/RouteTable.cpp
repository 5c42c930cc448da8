#include "Routing/RouteTable.h"

#include "Routing/BackendServer.h"

#include <utility>

namespace auburnroute::routing {

std::string_view toString(ServerState state) {
  switch (state) {
  case ServerState::Ready:
    return "ready";
  case ServerState::Draining:
    return "draining";
  case ServerState::Lapsed:
    return "lapsed";
  }
  return "invalid";
}

bool RouteTable::apply(RoutingConfiguration configuration) {
  if (configuration.Version <= Configuration.Version)
    return false;
  if (RemovedAddresses.size() + ByAddress.size() <= MaxRemovedAddresses)
    for (const auto &[address, index] : ByAddress)
      RemovedAddresses.insert(address);
  Configuration = std::move(configuration);
  RoutedServices.clear();
  for (const auto &route : Configuration.Routes)
    for (const auto &share : route.Services)
      RoutedServices.insert(share.Service);
  ByAddress.clear();
  ByAddress.reserve(Configuration.Routes.size());
  for (std::uint32_t i = 0; i < Configuration.Routes.size(); ++i) {
    const auto address = Configuration.Routes[i].Address.key();
    ByAddress.try_emplace(address, i);
    RemovedAddresses.erase(address);
  }
  return true;
}

const Route *RouteTable::find(common::Endpoint address) const {
  const auto it = ByAddress.find(address.key());
  return it == ByAddress.end() ? nullptr : &Configuration.Routes[it->second];
}

} // namespace auburnroute::routing
