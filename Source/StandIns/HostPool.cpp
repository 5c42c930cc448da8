#include "StandIns/HostPool.h"

#include <nlohmann/json.hpp>

namespace auburnroute::standins {

namespace {

using Json = nlohmann::json;

constexpr unsigned FailuresUntilOut = 2;

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

absl::Status HostPool::apply(std::string_view document,
                             std::uint64_t &version) {
  std::map<std::string, Entry> hosts;
  try {
    const auto root = Json::parse(document, nullptr, true, true);
    version = root.at("version");
    for (const auto &node : root.at("hosts")) {
      auto host = hostOf(node);
      const auto name = host.Name;
      hosts[name].Listed = std::move(host);
    }
  } catch (const std::exception &ex) {
    return absl::InvalidArgumentError(ex.what());
  }
  const std::lock_guard lock(Mutex);
  for (auto &[name, entry] : hosts) {
    HostEndpoints.insert(entry.Listed.Packets);
    HostEndpoints.insert(entry.Listed.Admission);
    if (const auto it = Hosts.find(name); it != Hosts.end()) {
      entry.Ready = it->second.Ready;
      entry.Failures = it->second.Failures;
    }
  }
  Hosts = std::move(hosts);
  return absl::OkStatus();
}

std::vector<HostPool::Host> HostPool::ownHosts() const {
  const std::lock_guard lock(Mutex);
  std::vector<Host> hosts;
  for (const auto &[name, entry] : Hosts)
    if (Zones.empty() || Zones.contains(entry.Listed.Zone))
      hosts.push_back(entry.Listed);
  return hosts;
}

void HostPool::onProbe(const std::string &name, int status) {
  const std::lock_guard lock(Mutex);
  const auto it = Hosts.find(name);
  if (it == Hosts.end())
    return;
  auto &entry = it->second;
  if (status == 200) {
    entry.Ready = true;
    entry.Failures = 0;
    return;
  }
  // 503 is the host's own word; silence may be a lost probe.
  if (status == 503 || ++entry.Failures >= FailuresUntilOut)
    entry.Ready = false;
}

bool HostPool::usable(const Entry &entry) const {
  return entry.Ready && entry.Listed.State == "live" &&
         (Zones.empty() || Zones.contains(entry.Listed.Zone));
}

std::optional<std::pair<std::string, common::Endpoint>>
HostPool::pick(std::uint64_t random) const {
  const std::lock_guard lock(Mutex);
  std::vector<const Entry *> usableHosts;
  for (const auto &[name, entry] : Hosts)
    if (usable(entry))
      usableHosts.push_back(&entry);
  if (usableHosts.empty())
    return std::nullopt;
  const auto &host = usableHosts[random % usableHosts.size()]->Listed;
  return std::pair{host.Name, host.Packets};
}

bool HostPool::isHost(const common::Endpoint &endpoint) const {
  const std::lock_guard lock(Mutex);
  return HostEndpoints.contains(endpoint);
}

std::vector<std::string> HostPool::readyHosts() const {
  const std::lock_guard lock(Mutex);
  std::vector<std::string> names;
  for (const auto &[name, entry] : Hosts)
    if (usable(entry))
      names.push_back(name);
  return names;
}

} // namespace auburnroute::standins
