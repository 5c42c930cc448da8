#include "UnitTests/Fleet/OpenFlowRegistry.h"

namespace auburnroute::unittests {

using common::TimePoint;
using fleet::RegistryCallKind;

void OpenFlowRegistry::write(const routing::ServerRegistration &entry,
                             TimePoint expiresAt) {
  auto &stored = Servers[entry.Name];
  stored.ExpiresAt = expiresAt;
  const auto &known = stored.Entry;
  if (known.Revision != 0 && known.State == entry.State &&
      known.StartTimeMs == entry.StartTimeMs && known.Address == entry.Address)
    return;
  stored.Entry = entry;
  stored.Entry.Revision = ++Revision;
  Events.push_back({Revision, entry.Name, stored.Entry});
}

void OpenFlowRegistry::remove(const std::string &name) {
  if (Servers.erase(name) != 0)
    Events.push_back({++Revision, name, std::nullopt});
}

void OpenFlowRegistry::configure(
    const routing::RoutingConfiguration &configuration) {
  Configuration = configuration;
  Events.push_back({++Revision, {}, std::nullopt});
}

void OpenFlowRegistry::expire(TimePoint now) {
  std::vector<std::string> expired;
  for (const auto &[name, it] : Servers)
    if (now > it.ExpiresAt)
      expired.push_back(name);
  for (const auto &it : expired)
    remove(it);
}

std::optional<fleet::RegistryPage>
OpenFlowRegistry::answer(const fleet::RegistryCall &call, TimePoint sentAt,
                         TimePoint now) const {
  fleet::RegistryPage page;
  page.Revision = Revision;
  page.Era = 1;
  if (call.Kind == RegistryCallKind::List) {
    page.Configuration = Configuration;
    for (const auto &[name, it] : Servers)
      page.Servers.push_back(it.Entry);
    return page;
  }
  for (const auto &it : Events) {
    if (it.Revision <= call.Revision)
      continue;
    if (it.Name.empty())
      page.Configuration = Configuration;
    else if (it.Entry)
      page.Servers.push_back(*it.Entry);
    else
      page.Removed.push_back({it.Name, it.Revision});
  }
  const bool hasChanges =
      !page.Servers.empty() || !page.Removed.empty() || page.Configuration;
  if (!hasChanges && now - sentAt < call.Wait)
    return std::nullopt;
  return page;
}

} // namespace auburnroute::unittests
