#include "UnitTests/Fleet/RegistryModel.h"

#include "UnitTests/Fleet/FleetFixture.h"

#include <algorithm>

namespace auburnroute::unittests {

using common::TimePoint;
using fleet::RegistryCall;
using fleet::RegistryCallKind;
using fleet::RegistryFailure;
using fleet::RegistryPage;
using routing::ServerState;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t PageSize = 4;
constexpr std::size_t InitialServers = 6;

bool hasSameContent(const routing::ServerRegistration &a,
                    const routing::ServerRegistration &b) {
  return a.State == b.State && a.Address == b.Address &&
         a.Service == b.Service && a.StartTimeMs == b.StartTimeMs;
}

std::int64_t epochMs(TimePoint now) {
  return std::chrono::duration_cast<milliseconds>(now.time_since_epoch())
      .count();
}

} // namespace

RegistryModel::RegistryModel(std::uint64_t seed, TimePoint now) : Random(seed) {
  writeConfiguration(now);
  for (std::size_t i = 0; i < InitialServers; ++i)
    addServer(now);
  step(now);
}

void RegistryModel::addServer(TimePoint now) {
  Server server;
  server.Entry = sampleServer(Servers.size() + 1, 0);
  server.Entry.Zone = ZoneNames[Servers.size() % ZoneNames.size()];
  // A new server may get the address of one that has ended.
  for (const auto &it : Servers)
    if (!it.IsRunning && !Now.Servers.contains(it.Entry.Name) &&
        below(2) == 0) {
      server.Entry.Address = it.Entry.Address;
      server.Entry.Service = it.Entry.Service == "orders" ? "sheets" : "orders";
      break;
    }
  server.Entry.StartTimeMs = epochMs(now);
  server.NextCheckIn = now;
  Servers.push_back(std::move(server));
}

void RegistryModel::restart(Server &server, TimePoint now) {
  server.IsRunning = true;
  server.LeavesAt.reset();
  server.Sequence = 0;
  server.Entry.State = ServerState::Ready;
  server.Entry.StartTimeMs = epochMs(now);
  server.NextCheckIn = now;
}

void RegistryModel::writeConfiguration(TimePoint now) {
  NewestVersion += 1 + below(3);
  if (isDown(now)) {
    RewriteAt = DownUntil;
    return;
  }
  Now.Version = NewestVersion;
  Now.VersionRevision = ++Now.Revision;
  Events.push_back(
      {Now.Revision, now, {}, std::nullopt, Now.Version, std::nullopt});
}

void RegistryModel::evacuate(const std::string &zone, bool isActive,
                             TimePoint now) {
  if (isDown(now))
    return;
  if (isActive)
    Requested.try_emplace(zone, now);
  else
    Requested.erase(zone);
  if (isActive == isEvacuated(zone))
    return;
  const auto revision = ++Now.Revision;
  if (isActive)
    Now.Evacuations[zone] = revision;
  else
    Now.Evacuations.erase(zone);
  Events.push_back({revision,
                    now,
                    {},
                    std::nullopt,
                    0,
                    routing::ZoneEvacuation{zone, isActive, 0, revision}});
}

void RegistryModel::rewriteEvacuations(TimePoint now) {
  for (const auto name : ZoneNames) {
    const std::string zone(name);
    evacuate(zone, Requested.contains(zone), now);
  }
}

void RegistryModel::removeEntry(const std::string &name, TimePoint now) {
  if (Now.Servers.erase(name) != 0)
    Events.push_back(
        {++Now.Revision, now, name, std::nullopt, 0, std::nullopt});
}

void RegistryModel::checkIn(Server &server, TimePoint now) {
  server.NextCheckIn = now + Heartbeat;
  ++server.Sequence;
  auto &stored = Now.Servers[server.Entry.Name];
  stored.ExpiresAt = now + Lease;
  if (stored.Entry.Revision != 0 && hasSameContent(stored.Entry, server.Entry))
    return;
  stored.Entry = server.Entry;
  stored.Entry.Sequence = server.Sequence;
  stored.Entry.Revision = ++Now.Revision;
  Events.push_back(
      {Now.Revision, now, server.Entry.Name, stored.Entry, 0, std::nullopt});
}

void RegistryModel::step(TimePoint now) {
  for (auto &it : Servers) {
    if (!it.IsRunning)
      continue;
    const bool reaches = !isDown(now) && now >= it.CutOffUntil;
    if (it.LeavesAt && now >= *it.LeavesAt) {
      it.IsRunning = false;
      if (reaches)
        removeEntry(it.Entry.Name, now);
    } else if (reaches && now >= it.NextCheckIn) {
      checkIn(it, now);
    }
  }
  if (isDown(now))
    return;
  if (RewriteAt && now >= *RewriteAt) {
    RewriteAt.reset();
    rewriteEvacuations(now);
    if (Now.Version < NewestVersion) {
      Now.Version = NewestVersion;
      Now.VersionRevision = ++Now.Revision;
      Events.push_back(
          {Now.Revision, now, {}, std::nullopt, Now.Version, std::nullopt});
    }
  }
  std::vector<std::string> expired;
  for (const auto &[name, it] : Now.Servers)
    if (now > it.ExpiresAt)
      expired.push_back(name);
  for (const auto &it : expired)
    removeEntry(it, now);
  while (!Events.empty() && now - Events.front().At > HistoryRetention) {
    CompactedRevision = Events.front().Revision;
    Events.pop_front();
  }
  for (const auto &[zone, revision] : Now.Evacuations)
    LastEvacuated[zone] = now;
  Now.At = now;
  Copies.push_back(Now);
  while (now - Copies.front().At > HistoryRetention)
    Copies.pop_front();
}

void RegistryModel::change(TimePoint now) {
  auto &server = Servers[below(Servers.size())];
  switch (below(10)) {
  case 0:
  case 1:
  case 2:
    writeConfiguration(now);
    break;
  case 3:
    addServer(now);
    break;
  case 4: // Leaves in the planned way.
    if (server.IsRunning && !server.LeavesAt && !isDown(now) &&
        now >= server.CutOffUntil) {
      server.Entry.State = ServerState::Draining;
      server.LeavesAt = now + DrainTime;
      checkIn(server, now);
    }
    break;
  case 5:
    server.IsRunning = false;
    break;
  case 6: // Starts again under its name, after a crash or its end.
    restart(server, now);
    break;
  case 7:
  case 8: {
    const std::string zone(ZoneNames[below(ZoneNames.size())]);
    evacuate(zone, !Requested.contains(zone), now);
    break;
  }
  default:
    server.CutOffUntil = now + milliseconds(1000 + below(4000));
  }
}

void RegistryModel::restore(TimePoint now, milliseconds age,
                            milliseconds downtime) {
  const auto copy =
      std::ranges::find_if(Copies, [&](const Content &it) { // Oldest first.
        return now - it.At <= age;
      });
  if (copy == Copies.end())
    return;
  Now = Content(*copy);
  Copies.erase(copy, Copies.end());
  while (!Events.empty() && Events.back().Revision > Now.Revision)
    Events.pop_back();
  ++Era;
  DownUntil = now + downtime;
  IsSilent = below(2) == 0;
  for (auto &[name, it] : Now.Servers)
    it.ExpiresAt = DownUntil + Lease;
  // The operator notices after a moment that its version is gone.
  RewriteAt = DownUntil + milliseconds(below(2000));
}

RegistryPage RegistryModel::list(const std::string &after) const {
  // The configuration is the first key.
  RegistryPage page;
  if (after.empty()) {
    page.Configuration = sampleConfiguration(Now.Version);
    for (const auto &[zone, revision] : Now.Evacuations)
      page.Evacuations.push_back({zone, true, 0, revision});
    page.LastKey = "!";
  }
  for (auto it = Now.Servers.upper_bound(after); it != Now.Servers.end();
       ++it) {
    if (page.Servers.size() == PageSize) {
      page.HasMore = true;
      break;
    }
    page.Servers.push_back(it->second.Entry);
    page.LastKey = it->first;
  }
  return page;
}

std::optional<RegistryModel::Answer>
RegistryModel::answer(const RegistryCall &call, TimePoint sentAt,
                      TimePoint now) {
  if (RefusesCalls && below(40) == 0)
    return Answer{Era, RegistryFailure::Refused};
  RegistryPage page;
  if (call.Kind == RegistryCallKind::List) {
    page = list(call.After);
  } else {
    if (call.Revision > Now.Revision || call.Revision < CompactedRevision)
      return Answer{Era, RegistryFailure::Compacted};
    for (const auto &it : Events) {
      if (it.Revision <= call.Revision)
        continue;
      if (it.Evacuation)
        page.Evacuations.push_back(*it.Evacuation);
      else if (it.Name.empty())
        page.Configuration = sampleConfiguration(it.Version);
      else if (it.Entry)
        page.Servers.push_back(*it.Entry);
      else
        page.Removed.push_back({it.Name, it.Revision});
    }
    if (page.Servers.empty() && page.Removed.empty() && !page.Configuration &&
        page.Evacuations.empty() && now - sentAt < call.Wait)
      return std::nullopt;
  }
  page.Revision = Now.Revision;
  page.Era = Era;
  return Answer{Era, std::move(page)};
}

} // namespace auburnroute::unittests
