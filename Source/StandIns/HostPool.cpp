#include "StandIns/HostPool.h"

#include <nlohmann/json.hpp>

namespace auburnroute::standins {

namespace {

using Json = nlohmann::json;

constexpr unsigned FailuresUntilNotReady = 2;

common::Endpoint endpointOf(const Json &node, const char *key) {
  auto endpoint = common::parseEndpoint(node.at(key).get<std::string>());
  if (!endpoint.ok())
    throw std::invalid_argument(std::string(endpoint.status().message()));
  return *endpoint;
}

HostPool::Host hostOf(const Json &node) {
  HostPool::Host host;
  host.Name = node.at("name");
  host.Zone = node.at("zone");
  host.State = node.value("state", "live");
  host.Packets = endpointOf(node, "packets");
  host.Admission = endpointOf(node, "admission");
  host.Operator = endpointOf(node, "operator");
  return host;
}

} // namespace

HostPool::HostPool(std::set<std::string> zones) : Zones(std::move(zones)) {}

absl::Status HostPool::applyHostList(std::string_view document,
                                     std::uint64_t &version) {
  std::map<std::string, Entry> hosts;
  try {
    const auto root = Json::parse(document, nullptr, true, true);
    version = root.at("version");
    for (const auto &node : root.at("hosts")) {
      auto host = hostOf(node);
      const auto name = host.Name;
      hosts[name].Info = std::move(host);
    }
  } catch (const std::exception &ex) {
    return absl::InvalidArgumentError(ex.what());
  }
  const std::lock_guard lock(Mutex);
  for (auto &[name, entry] : hosts) {
    KnownHostEndpoints.insert(entry.Info.Packets);
    KnownHostEndpoints.insert(entry.Info.Admission);
    if (const auto it = Hosts.find(name); it != Hosts.end()) {
      entry.IsReady = it->second.IsReady;
      entry.ConsecutiveFailures = it->second.ConsecutiveFailures;
    }
  }
  Hosts = std::move(hosts);
  return absl::OkStatus();
}

std::vector<HostPool::Host> HostPool::hostsOfZones() const {
  const std::lock_guard lock(Mutex);
  std::vector<Host> hosts;
  for (const auto &[name, entry] : Hosts)
    if (Zones.empty() || Zones.contains(entry.Info.Zone))
      hosts.push_back(entry.Info);
  return hosts;
}

void HostPool::onProbeResult(const std::string &name, int status) {
  const std::lock_guard lock(Mutex);
  const auto it = Hosts.find(name);
  if (it == Hosts.end())
    return;
  auto &entry = it->second;
  if (status == 200) {
    entry.IsReady = true;
    entry.ConsecutiveFailures = 0;
    return;
  }
  // With 503 the host itself reports that it is not ready; a failed probe may
  // be a lost packet.
  if (status == 503 || ++entry.ConsecutiveFailures >= FailuresUntilNotReady)
    entry.IsReady = false;
}

bool HostPool::isEligible(const Entry &entry) const {
  return entry.IsReady && entry.Info.State == "live" &&
         (Zones.empty() || Zones.contains(entry.Info.Zone));
}

std::optional<std::pair<std::string, common::Endpoint>>
HostPool::pickHost(std::uint64_t random) const {
  const std::lock_guard lock(Mutex);
  std::vector<const Entry *> eligible;
  for (const auto &[name, entry] : Hosts)
    if (isEligible(entry))
      eligible.push_back(&entry);
  if (eligible.empty())
    return std::nullopt;
  const auto &host = eligible[random % eligible.size()]->Info;
  return std::pair{host.Name, host.Packets};
}

bool HostPool::isHost(const common::Endpoint &endpoint) const {
  const std::lock_guard lock(Mutex);
  return KnownHostEndpoints.contains(endpoint);
}

std::vector<std::string> HostPool::readyHosts() const {
  const std::lock_guard lock(Mutex);
  std::vector<std::string> names;
  for (const auto &[name, entry] : Hosts)
    if (isEligible(entry))
      names.push_back(name);
  return names;
}

} // namespace auburnroute::standins
