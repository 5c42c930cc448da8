#include "State/SettingsDiff.h"

#include "State/ServiceComparison.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <map>

namespace auburnroute::state {

namespace {

struct ByKey {
  bool operator()(const common::Endpoint &a, const common::Endpoint &b) const {
    return a.key() < b.key();
  }
};

using ServiceByEndpoint = std::map<common::Endpoint, std::string, ByKey>;

/// The service of each listener address.
ServiceByEndpoint servicesByListener(const Settings &settings) {
  ServiceByEndpoint services;
  for (const auto &service : settings.Services)
    for (const auto &it : service.Listeners)
      services[it.Address] = service.Name;
  return services;
}

/// The service of each backend server address and port.
ServiceByEndpoint servicesByBackendServer(const Settings &settings) {
  ServiceByEndpoint services;
  for (const auto &service : settings.Services)
    for (const auto &listener : service.Listeners)
      for (const auto &it : service.BackendServers)
        services[{it.Address, listener.BackendPort}] = service.Name;
  return services;
}

void warnOfMovedAddresses(SettingsDiff &diff, const ServiceByEndpoint &before,
                          const ServiceByEndpoint &after, const char *what) {
  for (const auto &[address, service] : after)
    if (const auto it = before.find(address);
        it != before.end() && it->second != service)
      diff.Warnings.push_back(
          {WarningKind::AddressMoved,
           absl::StrCat(service, ": ", what, " ", common::toString(address),
                        " moves directly from service ", it->second,
                        "; remove it there, wait until every host has that "
                        "revision, then add it here")});
}

void compareDocuments(SettingsDiff &diff, const Settings &before,
                      const Settings &after) {
  if (after.Revision <= before.Revision)
    diff.Warnings.push_back(
        {WarningKind::RevisionNotHigher,
         absl::StrCat("revision ", after.Revision, " is not above ",
                      before.Revision, "; hosts do not apply it")});
  if (before.Region != after.Region)
    diff.Changes.push_back(
        {ChangeKind::RegionChanged, "region", before.Region, after.Region});
  if (before.FlowSeed != after.FlowSeed) {
    diff.Changes.push_back({ChangeKind::FlowSeedChanged, "flowSeed",
                            absl::StrCat(before.FlowSeed),
                            absl::StrCat(after.FlowSeed)});
    diff.Warnings.push_back(
        {WarningKind::FlowSeedChanged,
         "flowSeed changes; every established flow breaks"});
  }
  for (const auto &it : after.Zones)
    if (!before.zoneIndex(it))
      diff.Changes.push_back({ChangeKind::ZoneAdded, it, "", it});
  for (const auto &it : before.Zones)
    if (!after.zoneIndex(it))
      diff.Changes.push_back({ChangeKind::ZoneRemoved, it, it, ""});
}

std::string sizeSummary(const Service &service) {
  return absl::StrCat(service.Listeners.size(), " listeners, ",
                      service.BackendServers.size(), " backend servers");
}

void addRemovedService(SettingsDiff &diff, const Service &service) {
  diff.Services.push_back(
      {service.Name,
       {{ChangeKind::ServiceRemoved, service.Name, sizeSummary(service), ""}},
       std::nullopt});
  const auto active = std::count_if(
      service.BackendServers.begin(), service.BackendServers.end(),
      [](const auto &it) { return it.Mode == BackendServerMode::Active; });
  if (active > 0)
    diff.Warnings.push_back(
        {WarningKind::RemovedWithoutDraining,
         absl::StrCat(service.Name, ": the service is removed while ", active,
                      " of its backend servers are not draining; their "
                      "established flows break")});
}

void compareServices(SettingsDiff &diff, const Settings &before,
                     const Settings &after) {
  for (const auto &it : after.Services) {
    const auto *old = before.findService(it.Name);
    if (old == nullptr) {
      diff.Services.push_back(
          {it.Name,
           {{ChangeKind::ServiceAdded, it.Name, "", sizeSummary(it)}},
           std::nullopt});
      continue;
    }
    const ServiceComparison comparison(before, *old, after, it);
    if (!comparison.changes().empty())
      diff.Services.push_back(
          {it.Name, comparison.changes(),
           AffectedFlowShares::between(before, *old, after, it)});
    diff.Warnings.insert(diff.Warnings.end(), comparison.warnings().begin(),
                         comparison.warnings().end());
  }
  for (const auto &it : before.Services)
    if (after.findService(it.Name) == nullptr)
      addRemovedService(diff, it);
  std::sort(diff.Services.begin(), diff.Services.end(),
            [](const auto &a, const auto &b) { return a.Name < b.Name; });
}

} // namespace

SettingsDiff SettingsDiff::between(const Settings &before,
                                   const Settings &after) {
  SettingsDiff diff;
  diff.OldRevision = before.Revision;
  diff.NewRevision = after.Revision;
  compareDocuments(diff, before, after);
  compareServices(diff, before, after);
  warnOfMovedAddresses(diff, servicesByListener(before),
                       servicesByListener(after), "listener address");
  warnOfMovedAddresses(diff, servicesByBackendServer(before),
                       servicesByBackendServer(after),
                       "backend server address");
  return diff;
}

} // namespace auburnroute::state
