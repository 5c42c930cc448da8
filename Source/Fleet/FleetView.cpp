#include "Fleet/FleetView.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace auburnroute::fleet {

using common::TimePoint;
using routing::DirectoryChange;
using routing::nameBytes;
using routing::ServerRegistration;
using routing::ServerState;
using std::chrono::milliseconds;

namespace {

/// Allowance for network delay, which the age stated by a peer does not
/// include.
constexpr milliseconds TransitTime{50};

} // namespace

bool FleetView::hasRoomFor(const ServerRegistration &server) const {
  const bool isRouted = Routes.isRouted(server.Service);
  const auto &services = Directory.serviceNames();
  const auto &zones = Directory.zoneNames();
  const bool hasTooManyNames =
      (!isRouted && services.size() >= MaxNames &&
       !services.contains(server.Service)) ||
      (zones.size() >= MaxNames && !zones.contains(server.Zone));
  if (server.hasAddress() && hasTooManyNames)
    return false;
  const auto limit = isRouted ? MaxBytes : MaxBytes / 2;
  const auto bytes =
      (Directory.size() + 1) * NumberBytes + Directory.nameBytes();
  return bytes + nameBytes(server) <= limit ||
         Directory.findByName(server.Name) != nullptr;
}

bool FleetView::applyServer(const ServerRegistration &server, TimePoint now) {
  if (!hasRoomFor(server)) {
    ++Refused;
    Observer.onServerRefused(server);
    return true;
  }
  const auto *known = Directory.findByName(server.Name);
  // Copied, as the directory changes it.
  const auto before = known == nullptr ? server : known->Registration;
  const auto zoneCount = Directory.zoneNames().size();
  const auto change = Directory.apply(server, now);
  // The evacuation of the new zone may be among the refused ones.
  if (HasRefusedEvacuations && Directory.zoneNames().size() > zoneCount) {
    HasRefusedEvacuations = false;
    IsListDue = true;
  }
  const bool isApplied = change != DirectoryChange::None;
  withhold(server, before, isApplied, now);
  if (isApplied)
    recordChange(server, change, now);
  return isApplied ||
         (before.Era == server.Era && before.Revision == server.Revision);
}

void FleetView::recordChange(const ServerRegistration &server,
                             DirectoryChange change, TimePoint now) {
  // Also record refreshes (a new revision with the same content): a peer may
  // hold an older state that differs in content.
  if (server.Era == Era)
    History.push_back({server.Revision, now, server.Name});
  if (change == DirectoryChange::Refreshed)
    return;
  ++ChangeCount;
  if (const auto *known = Directory.findByName(server.Name))
    Observer.onServer(known->Registration, change);
}

void FleetView::withhold(const ServerRegistration &next,
                         const ServerRegistration &known, bool isApplied,
                         TimePoint now) {
  if (isApplied) {
    const auto it = Withheld.find(next.Name);
    if (it != Withheld.end() && next.Era >= it->second.Era)
      Withheld.erase(it);
  }
  const bool isNextNewer = next.Era > known.Era;
  const auto &newer = isNextNewer ? next : known;
  if (next.Era == known.Era || isApplied == isNextNewer ||
      newer.State == ServerState::Lapsed)
    return;
  const auto [it, isNew] = Withheld.try_emplace(newer.Name, newer);
  if (!isNew) {
    // Recording it again would make hosts renew each other's history.
    if (std::tie(it->second.Era, it->second.Revision) >=
        std::tie(newer.Era, newer.Revision))
      return;
    it->second = newer;
  }
  // Peers that reconcile must know of it, too.
  if (newer.Era == Era)
    History.push_back({newer.Revision, now, newer.Name});
}

bool FleetView::isForgotten(const ServerRegistration &server) const {
  // The view holds all entries of its era up to its revision, so another one
  // has been removed, maybe so long ago that its removal was discarded.
  const auto *known = Directory.findByName(server.Name);
  if (server.Era == Era)
    return server.Revision <= Revision && !Withheld.contains(server.Name) &&
           (known == nullptr || known->Registration.Era != Era);
  return known == nullptr && server.Era == PreviousEra &&
         server.Revision <= PreviousRevision;
}

void FleetView::applyPeerServer(const ServerRegistration &server,
                                TimePoint now) {
  // What a peer knew of an era that is over is in the registry again once the
  // view is reconciled.
  if ((server.Era >= Era || !IsReconciled) && !isForgotten(server))
    applyServer(server, now);
  const auto *known = Directory.findByName(server.Name);
  if (!server.hasAddress() ||
      (known != nullptr && known->Registration.hasAddress()))
    return;
  // A server without an entry may still serve its open flows. Older entries of
  // it than the view must not count later.
  auto gone = server;
  if (server.Era < Era && !IsReconciled) {
    gone.Era = PreviousEra;
    gone.Revision = PreviousRevision;
  } else {
    gone.Era = Era;
    gone.Revision = Revision;
  }
  if (hasRoomFor(gone))
    Directory.rememberLapsed(gone, now);
}

bool FleetView::applyConfiguration(
    const routing::RoutingConfiguration &configuration) {
  if (!Routes.apply(configuration))
    return configuration.Version == Routes.version();
  ++ChangeCount;
  // Servers of a service that it adds a route to may have been refused.
  IsListDue = IsListDue || Refused > 0;
  Observer.onConfiguration(configuration.Version);
  return true;
}

void FleetView::applyEntries(const RegistryPage &page, TimePoint now) {
  for (auto server : page.Servers) {
    server.Era = page.Era;
    Outdated += applyServer(server, now) ? 0 : 1;
  }
  for (const auto &it : page.Removed) {
    // No host has applied an entry that was never readable, so nothing needs to
    // be remembered or passed on.
    if (!it.IsUnreadable || contains(it.Name))
      applyServer(routing::removalOf(it.Name, page.Era, it.Revision), now);
  }
  if (page.Configuration)
    Outdated += applyConfiguration(*page.Configuration) ? 0 : 1;
  for (auto evacuation : page.Evacuations) {
    evacuation.Era = page.Era;
    Outdated += applyEvacuation(evacuation, now) ? 0 : 1;
  }
}

bool FleetView::applyEvacuation(const routing::ZoneEvacuation &evacuation,
                                TimePoint now) {
  const auto *known = Evacuations.find(evacuation.Zone, evacuation.Era);
  if (known != nullptr && known->Revision >= evacuation.Revision)
    return known->Revision == evacuation.Revision;
  const bool hasServers = Directory.zoneNames().contains(evacuation.Zone);
  if (!Evacuations.hasRoomFor(evacuation, hasServers)) {
    ++Refused;
    HasRefusedEvacuations = true;
    Observer.onEvacuationRefused(evacuation);
    return true;
  }
  const bool changed = Evacuations.apply(evacuation, now, hasServers);
  if (evacuation.Era == Era)
    History.push_back({evacuation.Revision, now, evacuation.Zone,
                       /*IsEvacuation=*/true});
  if (changed) {
    ++ChangeCount;
    Observer.onEvacuation(evacuation);
  }
  if (!evacuation.IsActive)
    discardEndedEvacuations(now);
  return true;
}

void FleetView::applyPeerEvacuation(const routing::ZoneEvacuation &evacuation,
                                    TimePoint now) {
  if (evacuation.Era < Era && IsReconciled)
    return;
  // As in isForgotten(): it has ended since, and the end was discarded.
  const bool isInView =
      (evacuation.Era == Era && evacuation.Revision <= Revision) ||
      (evacuation.Era == PreviousEra && evacuation.Era < Era &&
       evacuation.Revision <= PreviousRevision);
  if (isInView && Evacuations.find(evacuation.Zone, evacuation.Era) == nullptr)
    return;
  applyEvacuation(evacuation, now);
}

void FleetView::endMissingEvacuations(const std::set<std::string> &present,
                                      std::uint64_t revision, TimePoint now) {
  for (const auto &it : Evacuations.entries())
    if (it.IsActive && it.Era == Era && it.Revision < revision &&
        !present.contains(it.Zone))
      applyEvacuation({it.Zone, /*IsActive=*/false, Era, revision}, now);
}

void FleetView::discardEndedEvacuations(TimePoint now) {
  const auto revision =
      Evacuations.discardEnded(Directory.retention(), now, Era);
  // Peers that may lack these ends need a full snapshot.
  HistoryStart = std::max(HistoryStart, revision);
  RemovalsUnknownUpTo = std::max(RemovalsUnknownUpTo, revision);
}

void FleetView::applyChanges(const RegistryPage &page, TimePoint askedAt,
                             TimePoint now) {
  applyEntries(page, now);
  advance(page.Revision, askedAt);
}

void FleetView::markMissingAsLapsed(const std::set<std::string> &present,
                                    std::uint64_t revision, TimePoint now) {
  std::vector<ServerRegistration> missing;
  for (const auto &it : Directory.all())
    if (it.IsOccupied && it.Registration.State != ServerState::Lapsed &&
        it.Registration.Era == Era && it.Registration.Revision < revision &&
        !present.contains(it.Registration.Name))
      missing.push_back(
          routing::removalOf(it.Registration.Name, Era, revision));
  for (const auto &[name, server] : Withheld)
    if (server.Era == Era && server.Revision < revision &&
        !present.contains(name))
      missing.push_back(routing::removalOf(name, Era, revision));
  for (const auto &it : missing)
    applyServer(it, now);
}

void FleetView::enterEra(std::uint64_t era, std::uint64_t revision,
                         TimePoint enteredAt, TimePoint now) {
  const EraChange change{Era, era, Revision, revision};
  PreviousEra = Era;
  PreviousRevision = Revision;
  Era = era;
  Revision = revision;
  EraEnteredAt = enteredAt;
  // What was known of the previous era does not show that the view is current
  // in this one.
  FreshAt = std::min(FreshAt, enteredAt);
  IsReconciled = false;
  // Peers of the previous era need a full snapshot.
  History.clear();
  HistoryStart = revision;
  // What changed while a list was read is known already, and new to others.
  const auto remember = [&](const ServerRegistration &server) {
    if (server.Era == era && server.Revision > revision)
      History.push_back({server.Revision, now, server.Name});
  };
  for (const auto &it : Directory.all())
    if (it.IsOccupied)
      remember(it.Registration);
  for (const auto &[name, server] : Withheld)
    remember(server);
  for (const auto &it : Evacuations.entries())
    if (it.Era == era && it.Revision > revision)
      History.push_back({it.Revision, now, it.Zone, /*IsEvacuation=*/true});
  RemovalsUnknownUpTo = revision;
  ++ChangeCount;
  if (change.RevisionBefore != 0)
    Observer.onEra(change);
}

void FleetView::reconcileEra(TimePoint now) {
  if (IsReconciled || FreshAt < EraEnteredAt + RewriteTime)
    return;
  IsReconciled = true;
  EraReconciliation result;
  result.Era = Era;
  // Pages of a list of the next era may have been read already.
  std::vector<ServerRegistration> held;
  absl::erase_if(Withheld, [&](const auto &it) {
    if (it.second.Era == Era)
      held.push_back(it.second);
    return it.second.Era <= Era;
  });
  for (const auto &server : held) {
    const auto *known = Directory.findByName(server.Name);
    if (known != nullptr &&
        (known->Registration.Era >= Era || known->hasLeft(server)))
      continue;
    ++result.Confirmed;
    recordChange(server, Directory.confirm(server, now), now);
  }
  std::vector<ServerRegistration> lapsed;
  for (const auto &it : Directory.all())
    if (it.IsOccupied && it.Registration.Era < Era)
      lapsed.push_back(routing::removalOf(it.Registration.Name, Era, Revision));
  for (const auto &it : lapsed)
    if (const auto change = Directory.apply(it, now);
        change == DirectoryChange::Lapsed) {
      ++result.Lapsed;
      recordChange(it, change, now);
    }
  for (const auto &zone : Evacuations.discardErasBefore(Era)) {
    ++ChangeCount;
    Observer.onEvacuation({zone, /*IsActive=*/false, Era, Revision});
  }
  if (PreviousRevision != 0)
    Observer.onEraReconciled(result);
}

void FleetView::finishList(const std::set<std::string> &listed,
                           const ListStart &start, TimePoint now,
                           const std::set<std::string> &evacuated) {
  IsListDue = false;
  if (start.Era < Era)
    return;
  if (start.Era > Era)
    enterEra(start.Era, start.Revision, now, now);
  markMissingAsLapsed(listed, start.Revision, now);
  endMissingEvacuations(evacuated, start.Revision, now);
  // Peers with an older view need a full snapshot: what was removed before the
  // list was read does not show in it.
  if (start.Revision > Revision) {
    HistoryStart = std::max(HistoryStart, start.Revision);
    RemovalsUnknownUpTo = std::max(RemovalsUnknownUpTo, start.Revision);
  }
  advance(start.Revision, start.AskedAt);
}

bool FleetView::applyPeerChanges(const ViewChanges &changes,
                                 milliseconds peerViewAge, TimePoint now) {
  for (const auto &it : changes.Servers)
    applyPeerServer(it, now);
  for (const auto &it : changes.Evacuations)
    applyPeerEvacuation(it, now);
  if (!changes.HasEvacuations)
    return true;
  if (changes.ConfigurationVersion > Routes.version() || changes.Era > Era)
    return false;
  if (changes.Era < Era)
    return true;
  if (Revision < changes.From || Revision == 0)
    return false;
  if (changes.To >= Revision)
    advance(changes.To, now - peerViewAge - TransitTime);
  return true;
}

void FleetView::applySnapshot(const ViewSnapshot &snapshot,
                              milliseconds peerViewAge, TimePoint now) {
  for (const auto &it : snapshot.Servers)
    applyPeerServer(it, now);
  for (const auto &it : snapshot.Evacuations)
    applyPeerEvacuation(it, now);
  if (snapshot.Configuration.Version != 0)
    applyConfiguration(snapshot.Configuration);
  if (snapshot.Era < Era || (snapshot.Era > Era && snapshot.From != 0))
    return;
  if (snapshot.Era > Era)
    enterEra(snapshot.Era, snapshot.Revision, now - snapshot.EraAge, now);
  if (snapshot.Revision < Revision || snapshot.From > Revision)
    return;
  if (snapshot.From == 0) {
    std::set<std::string> present;
    for (const auto &it : snapshot.Servers)
      if (it.Era == Era)
        present.insert(it.Name);
    markMissingAsLapsed(present, snapshot.Revision, now);
    std::set<std::string> evacuated;
    for (const auto &it : snapshot.Evacuations)
      if (it.Era == Era)
        evacuated.insert(it.Zone);
    endMissingEvacuations(evacuated, snapshot.Revision, now);
    // The sender may have discarded removals, so the changes up to its revision
    // are not all known here.
    if (snapshot.Revision > Revision)
      HistoryStart = std::max(HistoryStart, snapshot.Revision);
    RemovalsUnknownUpTo = std::max(RemovalsUnknownUpTo, snapshot.Revision);
  }
  advance(snapshot.Revision, now - peerViewAge - TransitTime);
}

void FleetView::advance(std::uint64_t revision, TimePoint freshAt) {
  if (revision < Revision)
    return;
  if (Revision == 0)
    HistoryStart = revision;
  Revision = revision;
  FreshAt = std::max(FreshAt, freshAt);
}

milliseconds FleetView::eraAge(TimePoint now) const {
  return std::chrono::duration_cast<milliseconds>(now - EraEnteredAt);
}

milliseconds FleetView::age(TimePoint now) const {
  return std::chrono::duration_cast<milliseconds>(now - FreshAt);
}

ViewChanges FleetView::recentChanges(std::size_t maxChanges,
                                     std::uint64_t since) const {
  ViewChanges changes;
  changes.From = std::max(HistoryStart, since);
  changes.To = Revision;
  changes.ConfigurationVersion = Routes.version();
  changes.Era = Era;
  std::set<std::pair<bool, std::string_view>> seen;
  std::size_t bytes = 0;
  std::size_t count = 0;
  // Peers may be in the era already without having known these. They are few,
  // and most of a message is left for changes.
  if (!IsReconciled)
    for (auto &old : Evacuations.entries())
      if (old.IsActive && old.Era < Era && count < maxChanges / 2 &&
          bytes + old.Zone.size() <= MaxNameBytes / 2) {
        ++count;
        bytes += old.Zone.size();
        changes.Evacuations.push_back(std::move(old));
      }
  const auto repeated = count;
  for (auto it = History.rbegin(); it != History.rend(); ++it) {
    if (it->Revision <= since ||
        !seen.emplace(it->IsEvacuation, it->Name).second)
      continue;
    const auto *evacuation =
        it->IsEvacuation ? Evacuations.find(it->Name, Era) : nullptr;
    const auto *known =
        it->IsEvacuation ? nullptr : Directory.findByName(it->Name);
    const auto held =
        it->IsEvacuation ? Withheld.end() : Withheld.find(it->Name);
    std::size_t n = 0;
    if (evacuation != nullptr) {
      ++n;
      bytes += evacuation->Zone.size();
    }
    if (known != nullptr) {
      ++n;
      bytes += nameBytes(known->Registration);
    }
    if (held != Withheld.end()) {
      ++n;
      bytes += nameBytes(held->second);
    }
    const bool isFirst = count == repeated;
    if (count + n > maxChanges || (!isFirst && bytes > MaxNameBytes)) {
      // Only a receiver that already has the changes left out may apply the
      // rest, so From is raised to the highest revision left out; History is
      // not sorted by revision.
      changes.From = std::max(changes.From, it->Revision);
      continue;
    }
    count += n;
    if (evacuation != nullptr)
      changes.Evacuations.push_back(*evacuation);
    if (known != nullptr)
      changes.Servers.push_back(known->Registration);
    if (held != Withheld.end())
      changes.Servers.push_back(held->second);
  }
  return changes;
}

ViewSnapshot FleetView::snapshotSince(std::uint64_t after,
                                      std::uint64_t version,
                                      std::uint64_t era) const {
  ViewSnapshot snapshot;
  snapshot.Revision = Revision;
  snapshot.Era = Era;
  // Without a removal, a partial snapshot would leave the server in place.
  if (era == Era && after >= RemovalsUnknownUpTo)
    snapshot.From = after;
  if (version < Routes.version())
    snapshot.Configuration = Routes.configuration();
  for (const auto &it : Directory.all())
    if (it.IsOccupied && (it.Registration.Era != Era ||
                          it.Registration.Revision > snapshot.From))
      snapshot.Servers.push_back(it.Registration);
  for (const auto &[name, server] : Withheld)
    snapshot.Servers.push_back(server);
  for (auto &it : Evacuations.entries())
    if (it.Era != Era || it.Revision > snapshot.From)
      snapshot.Evacuations.push_back(std::move(it));
  return snapshot;
}

std::vector<ServerRegistration>
FleetView::serversWithTags(const std::vector<std::uint32_t> &tags,
                           std::size_t limit, TimePoint now) const {
  std::vector<ServerRegistration> servers;
  std::size_t bytes = 0;
  for (const auto tag : tags)
    for (const auto id : Directory.serversWithTag(tag)) {
      const auto &server = Directory.at(id).Registration;
      bytes += nameBytes(server);
      if (servers.empty() || (servers.size() < limit && bytes <= MaxNameBytes))
        servers.push_back(server);
    }
  setLapsedTimes(servers, now);
  return servers;
}

void FleetView::setLapsedTimes(std::vector<ServerRegistration> &servers,
                               TimePoint now) const {
  for (auto &it : servers)
    if (it.State == ServerState::Lapsed)
      if (const auto *known = Directory.findByName(it.Name))
        it.LapsedFor =
            std::chrono::duration_cast<milliseconds>(now - known->LapsedAt);
}

void FleetView::discardExpired(TimePoint now) {
  while (!History.empty() && now - History.front().At > HistoryRetention) {
    HistoryStart = std::max(HistoryStart, History.front().Revision);
    History.pop_front();
  }
  RemovalsUnknownUpTo =
      std::max(RemovalsUnknownUpTo, Directory.discardExpired(now, Era));
  discardEndedEvacuations(now);
}

} // namespace auburnroute::fleet
