#include "State/SettingsReader.h"

#include "State/JsonReader.h"
#include "State/PolicyDescriptors.h"
#include "State/SettingsDescriptors.h"

#include "absl/strings/str_cat.h"

#include <algorithm>

#include <xxhash.h>

namespace auburnroute::state {

absl::StatusOr<SettingsDocument>
SettingsReader::read(std::string_view text, std::string_view fileName) {
  ErrorList errors(fileName);
  const auto root = JsonReader::read(text, errors);
  if (!root)
    return errors.status();
  SettingsReader reader(errors);
  if (reader.Objects.checkObject(*root, ""))
    reader.readDocument(*root);
  if (!errors.empty())
    return errors.status();
  const auto canonical = root->toJson().dump();
  reader.Document.Content.Digest =
      XXH3_64bits(canonical.data(), canonical.size());
  return std::move(reader.Document);
}

void SettingsReader::readDocument(const JsonNode &root) {
  Objects.read(root, "", documentDescriptors(), Document.Content,
               {"defaults", "zones", "owners", "services"});
  if (const auto *it = root.find("defaults"))
    Document.Policies.setDefaults(readPolicy(*it, "defaults"));
  readLayer(root, "zones", 1, MaxZones, true);
  readLayer(root, "owners", 1, MaxOwners, false);
  readServices(root);
}

void SettingsReader::readLayer(const JsonNode &root, std::string_view key,
                               std::size_t min, std::size_t max, bool isZones) {
  const auto *layer = requireMember(root, key, "", "an object with names");
  if (layer == nullptr || !Objects.checkNames(*layer, key, min, max))
    return;
  auto &names = isZones ? Document.Content.Zones : Owners;
  for (const auto &it : layer->Members) {
    names.push_back(it.Key);
    auto values = readPolicy(it.Value, memberPath(key, it.Key));
    if (isZones)
      Document.Policies.setZone(it.Key, std::move(values));
    else
      Document.Policies.setOwner(it.Key, std::move(values));
  }
  // The order of names in the text has no meaning: hosts that received the
  // document as a delta may see another order.
  std::sort(names.begin(), names.end());
}

PolicyResolver::Overrides SettingsReader::readPolicy(const JsonNode &node,
                                                     std::string_view path) {
  return Objects.readValues(node, path,
                            ObjectReader::descriptorsOf(policyDescriptors()));
}

void SettingsReader::readServices(const JsonNode &root) {
  const auto *services =
      requireMember(root, "services", "", "an object with names");
  if (services == nullptr ||
      !Objects.checkNames(*services, "services", 1, MaxServices))
    return;
  for (const auto &it : services->Members)
    readService(it);
  std::sort(Document.Content.Services.begin(), Document.Content.Services.end(),
            [](const auto &a, const auto &b) { return a.Name < b.Name; });
}

void SettingsReader::readService(const JsonMember &entry) {
  const auto &node = entry.Value;
  const auto path = memberPath("services", entry.Key);
  Service service;
  service.Name = entry.Key;
  const auto policies = ObjectReader::descriptorsOf(policyDescriptors());
  auto descriptors = policies;
  for (const auto &it : serviceDescriptors())
    descriptors.push_back(&it.Value);
  auto values = Objects.readValues(node, path, descriptors,
                                   {"listeners", "backendServers"});
  for (std::size_t i = 0; i < serviceDescriptors().size(); ++i)
    if (const auto &it = values[policies.size() + i])
      serviceDescriptors()[i].Set(service, it->Value);
  if (!node.Value.is_object())
    return;
  values.resize(policies.size());
  Document.Policies.setService(service.Name, std::move(values));
  if (const auto *owner = node.find("owner");
      !service.Owner.empty() && !Owners.empty() &&
      !std::binary_search(Owners.begin(), Owners.end(), service.Owner))
    Errors.add(
        owner->Line, memberPath(path, "owner"),
        absl::StrCat(quotedText(service.Owner), " is missing from owners"),
        "the name of an owner");
  if (const auto *it = requireMember(node, "listeners", path, "an array"))
    readListeners(*it, memberPath(path, "listeners"), service);
  if (const auto *it = requireMember(node, "backendServers", path, "an array"))
    readBackendServers(*it, memberPath(path, "backendServers"), service);
  resolve(service);
  Document.Content.Services.push_back(std::move(service));
}

void SettingsReader::readListeners(const JsonNode &node,
                                   const std::string &path, Service &service) {
  if (!Objects.checkArray(node, path, 1, MaxListeners))
    return;
  UsedValues ports;
  for (std::size_t i = 0; i < node.Items.size(); ++i) {
    const auto &item = node.Items[i];
    const auto itemPath = absl::StrCat(path, "[", i, "]");
    Listener listener;
    Objects.read(item, itemPath, listenerDescriptors(), listener);
    if (listener.Address.Port != 0)
      requireUnique(Listeners, item, "address", itemPath,
                    common::toString(listener.Address));
    // The source port of a reply identifies its listener.
    if (listener.BackendPort != 0)
      requireUnique(ports, item, "backendPort", itemPath,
                    absl::StrCat(listener.BackendPort));
    service.Listeners.push_back(listener);
  }
}

void SettingsReader::readBackendServers(const JsonNode &node,
                                        const std::string &path,
                                        Service &service) {
  if (!Objects.checkArray(node, path, 1, MaxBackendServers))
    return;
  UsedValues usedInService;
  for (std::size_t i = 0; i < node.Items.size(); ++i) {
    const auto itemPath = absl::StrCat(path, "[", i, "]");
    BackendServer server;
    Objects.read(node.Items[i], itemPath, backendServerDescriptors(), server);
    checkBackendServer(node.Items[i], itemPath, service, server, usedInService);
    service.BackendServers.push_back(std::move(server));
  }
}

void SettingsReader::checkBackendServer(const JsonNode &node,
                                        const std::string &path,
                                        const Service &service,
                                        const BackendServer &server,
                                        UsedValues &usedInService) {
  if (!server.Name.empty())
    requireUnique(usedInService, node, "name", path, server.Name);
  if (server.Number != 0)
    requireUnique(usedInService, node, "number", path,
                  absl::StrCat("#", server.Number));
  if (!server.Zone.empty() && !Document.Content.Zones.empty() &&
      !Document.Content.zoneIndex(server.Zone))
    Errors.add(node.find("zone")->Line, memberPath(path, "zone"),
               absl::StrCat(quotedText(server.Zone), " is missing from zones"),
               "the name of a zone");
  if (server.LoadReport.Port != 0)
    requireUnique(LoadReports, node, "loadReport", path,
                  common::toString(server.LoadReport));
  if (const auto *it = node.find("address"); it && it->Value.is_string())
    for (const auto &listener : service.Listeners)
      if (server.Address != 0 && listener.BackendPort != 0)
        requireUnique(Sources, node, "address", path,
                      common::toString({server.Address, listener.BackendPort}));
}

void SettingsReader::resolve(Service &service) {
  const auto indexOf = [](std::string_view key) {
    const auto &table = policyDescriptors();
    return static_cast<std::size_t>(
        std::find_if(table.begin(), table.end(),
                     [&](const auto &it) { return it.Value.Key == key; }) -
        table.begin());
  };
  static const auto interval = indexOf("reportInterval");
  static const auto ttl = indexOf("reportTtl");
  for (const auto &zone : Document.Content.Zones) {
    const auto values = Document.Policies.resolve(service, zone);
    const auto policy = PolicyResolver::toPolicy(values);
    if (policy.ReportTtl < policy.ReportInterval)
      Errors.add(std::max(values[ttl].Line, values[interval].Line),
                 memberPath("services", service.Name),
                 absl::StrCat("reportTtl ", formatDuration(policy.ReportTtl),
                              " is shorter than reportInterval ",
                              formatDuration(policy.ReportInterval),
                              " in zone ", zone),
                 "reportTtl of at least reportInterval");
    service.PolicyByZone.push_back(policy);
  }
}

const JsonNode *SettingsReader::requireMember(const JsonNode &node,
                                              std::string_view key,
                                              std::string_view path,
                                              std::string_view expected) {
  const auto *it = node.find(key);
  if (it == nullptr)
    Errors.add(node.Line, memberPath(path, key), "is missing", expected);
  return it;
}

void SettingsReader::requireUnique(UsedValues &used, const JsonNode &node,
                                   std::string_view key,
                                   const std::string &path,
                                   const std::string &value) {
  // Bounds the memory used for an invalid document.
  if (Errors.isFull())
    return;
  const auto line = node.find(key)->Line;
  const auto [it, isNew] = used.emplace(value, line);
  if (!isNew)
    Errors.add(line, memberPath(path, key),
               absl::StrCat(value, " is already used on line ", it->second),
               "a unique value");
}

} // namespace auburnroute::state
