#include "State/SettingsLoader.h"

#include "Common/Text.h"

#include "absl/strings/str_cat.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace auburnroute::state {

namespace {

using Json = nlohmann::json;

common::Endpoint endpointOf(const Json &node, const char *key) {
  if (!node.contains(key))
    return {};
  auto endpoint = common::parseEndpoint(node.at(key).get<std::string>());
  if (!endpoint.ok())
    throw std::invalid_argument(std::string(endpoint.status().message()));
  return *endpoint;
}

BackendServer backendServerOf(const Json &node) {
  BackendServer server;
  server.Name = node.at("name");
  server.Number = node.at("number");
  server.Zone = node.at("zone");
  server.Address =
      common::parseEndpoint(node.at("address").get<std::string>() + ":1")
          .value()
          .Address;
  server.Tunnel = endpointOf(node, "tunnel");
  server.LoadReport = endpointOf(node, "loadReport");
  if (node.value("state", "active") == "draining")
    server.Mode = BackendServerMode::Draining;
  server.Weight = node.value("weight", server.Weight);
  server.Slots = node.value("slots", server.Slots);
  server.Connections = node.value("connections", server.Connections);
  return server;
}

Service serviceOf(const std::string &name, const Json &node,
                  std::size_t zones) {
  Service service;
  service.Name = name;
  service.Owner = node.at("owner");
  for (const auto &it : node.at("listeners"))
    service.Listeners.push_back({endpointOf(it, "address"),
                                 it.value("kind", "request") == "feed"
                                     ? ListenerKind::Feed
                                     : ListenerKind::Request,
                                 it.at("backendPort").get<std::uint16_t>()});
  for (const auto &it : node.at("backendServers"))
    service.BackendServers.push_back(backendServerOf(it));
  service.PolicyByZone.resize(zones);
  return service;
}

} // namespace

absl::StatusOr<Settings> loadSettings(std::string_view text,
                                      std::string_view fileName) {
  try {
    const auto root = Json::parse(text, nullptr, true, true);
    Settings settings;
    settings.Revision = root.at("revision");
    settings.FlowSeed = root.value("flowSeed", std::uint64_t{0});
    settings.Region = root.value("region", "");
    for (const auto &[name, zone] : root.at("zones").items())
      settings.Zones.push_back(name);
    for (const auto &[name, node] : root.at("services").items())
      settings.Services.push_back(serviceOf(name, node, settings.Zones.size()));
    const auto canonical = root.dump();
    settings.Digest = XXH3_64bits(canonical.data(), canonical.size());
    return settings;
  } catch (const std::exception &ex) {
    return absl::InvalidArgumentError(
        absl::StrCat(common::toAbsl(fileName), ":1: ", ex.what()));
  }
}

} // namespace auburnroute::state
