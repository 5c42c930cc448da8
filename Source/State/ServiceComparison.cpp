#include "State/ServiceComparison.h"

#include "State/PolicyDescriptors.h"
#include "State/SettingsDescriptors.h"

#include "Common/Text.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <map>

namespace auburnroute::state {

using common::toAbsl;

namespace {

struct ByKey {
  bool operator()(const common::Endpoint &a, const common::Endpoint &b) const {
    return a.key() < b.key();
  }
};

/// Key and value of all fields except those \p excludedKey.
template <class Target>
std::string describe(const FieldTable<Target> &fields, const Target &target,
                     std::string_view excludedKey) {
  std::string text;
  for (const auto &it : fields)
    if (it.Value.Key != excludedKey)
      absl::StrAppend(&text, text.empty() ? "" : ", ", toAbsl(it.Value.Key),
                      " ", it.Value.format(it.Get(target)));
  return text;
}

/// Value of one policy in each zone that both settings have.
struct ZoneValues {
  std::vector<std::string> Zones;
  std::vector<std::string> Before;
  std::vector<std::string> After;

  static bool isUniform(const std::vector<std::string> &values) {
    return std::all_of(values.begin(), values.end(),
                       [&](const auto &it) { return it == values.front(); });
  }
};

} // namespace

ServiceComparison::ServiceComparison(const Settings &oldSettings,
                                     const Service &oldService,
                                     const Settings &newSettings,
                                     const Service &newService)
    : OldSettings(oldSettings), NewSettings(newSettings), Old(oldService),
      New(newService) {
  compareOwners();
  compareListeners();
  compareBackendServers();
  comparePolicies();
}

void ServiceComparison::compareOwners() {
  if (Old.Owner != New.Owner)
    Changes.push_back(
        {ChangeKind::OwnerChanged, New.Name, Old.Owner, New.Owner});
}

void ServiceComparison::compareListeners() {
  std::map<common::Endpoint, Listener, ByKey> before;
  for (const auto &it : Old.Listeners)
    before[it.Address] = it;
  const auto text = [](const Listener &it) {
    return describe(listenerDescriptors(), it, "address");
  };
  for (const auto &it : New.Listeners) {
    const auto address = common::toString(it.Address);
    const auto found = before.find(it.Address);
    if (found == before.end()) {
      Changes.push_back({ChangeKind::ListenerAdded, address, "", text(it)});
      continue;
    }
    if (found->second != it)
      Changes.push_back({ChangeKind::ListenerChanged, address,
                         text(found->second), text(it)});
    before.erase(found);
  }
  for (const auto &[address, it] : before) {
    const auto name = common::toString(address);
    Changes.push_back({ChangeKind::ListenerRemoved, name, text(it), ""});
    Warnings.push_back(
        {WarningKind::ListenerRemoved,
         absl::StrCat(New.Name, ": listener ", name,
                      " is removed; its established flows break")});
  }
}

void ServiceComparison::compareBackendServers() {
  std::map<std::uint16_t, const BackendServer *> before;
  for (const auto &it : Old.BackendServers)
    before[it.Number] = &it;
  for (const auto &it : New.BackendServers) {
    const auto found = before.find(it.Number);
    if (found == before.end()) {
      Changes.push_back({ChangeKind::BackendServerAdded, it.Name, "",
                         describe(backendServerDescriptors(), it, "name")});
      continue;
    }
    compareBackendServer(*found->second, it);
    before.erase(found);
  }
  for (const auto &[number, server] : before)
    addRemovedServer(*server);
}

void ServiceComparison::compareBackendServer(const BackendServer &before,
                                             const BackendServer &after) {
  for (const auto &it : backendServerDescriptors()) {
    const auto from = it.Value.format(it.Get(before));
    const auto to = it.Value.format(it.Get(after));
    if (from == to)
      continue;
    auto kind = ChangeKind::BackendServerChanged;
    if (it.Value.Key == "weight")
      kind = ChangeKind::BackendServerReweighted;
    else if (it.Value.Key == "state")
      kind = after.Mode == BackendServerMode::Draining
                 ? ChangeKind::BackendServerDrained
                 : ChangeKind::BackendServerActivated;
    Changes.push_back(
        {kind, after.Name, absl::StrCat(toAbsl(it.Value.Key), " ", from), to});
  }
  if (before.Address != after.Address)
    Warnings.push_back(
        {WarningKind::NumberReused,
         absl::StrCat(New.Name, ": number ", after.Number, " of ",
                      common::addressToString(before.Address), " (",
                      before.Name, ") is reused for ",
                      common::addressToString(after.Address), " (", after.Name,
                      "); established flows would reach it")});
}

void ServiceComparison::addRemovedServer(const BackendServer &server) {
  Changes.push_back({ChangeKind::BackendServerRemoved, server.Name,
                     describe(backendServerDescriptors(), server, "name"), ""});
  if (server.Mode == BackendServerMode::Active)
    Warnings.push_back(
        {WarningKind::RemovedWithoutDraining,
         absl::StrCat(New.Name, ": backend server ", server.Name, " (number ",
                      server.Number,
                      ") is removed without draining first; its established "
                      "flows break")});
}

void ServiceComparison::comparePolicies() {
  for (const auto &it : policyDescriptors()) {
    ZoneValues values;
    for (std::size_t i = 0; i < NewSettings.Zones.size(); ++i)
      if (const auto n = OldSettings.zoneIndex(NewSettings.Zones[i])) {
        values.Zones.push_back(NewSettings.Zones[i]);
        values.Before.push_back(it.Value.format(it.Get(Old.PolicyByZone[*n])));
        values.After.push_back(it.Value.format(it.Get(New.PolicyByZone[i])));
      }
    if (values.Before == values.After)
      continue;
    const std::string key(it.Value.Key);
    if (ZoneValues::isUniform(values.Before) &&
        ZoneValues::isUniform(values.After)) {
      Changes.push_back({ChangeKind::PolicyChanged, key, values.Before.front(),
                         values.After.front()});
      continue;
    }
    for (std::size_t i = 0; i < values.Zones.size(); ++i)
      if (values.Before[i] != values.After[i])
        Changes.push_back({ChangeKind::PolicyChanged,
                           absl::StrCat(key, " in zone ", values.Zones[i]),
                           values.Before[i], values.After[i]});
  }
}

} // namespace auburnroute::state
