#include "Fleet/FleetView.h"

#include <algorithm>

namespace auburnroute::fleet {

using common::TimePoint;
using routing::DirectoryChange;
using routing::ServerRegistration;
using routing::ServerState;
using std::chrono::milliseconds;

namespace {

/// Allowance for network delay, which the age stated by a peer does not
/// include.
constexpr milliseconds TransitTime{50};

} // namespace

void FleetView::applyServer(const ServerRegistration &server, TimePoint now) {
  const auto change = Directory.apply(server, now);
  if (change == DirectoryChange::None)
    return;
  // Also record refreshes (a new revision with the same content): a peer may
  // hold an older state that differs in content.
  History.push_back({server.Revision, now, server.Name});
  if (change == DirectoryChange::Refreshed)
    return;
  ++ChangeCount;
  if (const auto *known = Directory.findByName(server.Name))
    Observer.onServer(known->Registration, change);
}

void FleetView::applyPeerServer(const ServerRegistration &server,
                                TimePoint now) {
  // The view holds all servers up to its revision, so an unknown one has been
  // removed, so long ago that its removal was discarded.
  if (server.Revision <= Revision &&
      Directory.findByName(server.Name) == nullptr)
    return;
  applyServer(server, now);
}

void FleetView::applyConfiguration(
    const routing::RoutingConfiguration &configuration) {
  if (!Routes.apply(configuration))
    return;
  ++ChangeCount;
  Observer.onConfiguration(configuration.Version);
}

void FleetView::applyEntries(const RegistryPage &page, TimePoint now) {
  for (const auto &it : page.Servers) {
    const auto *known = Directory.findByName(it.Name);
    if (known != nullptr && known->Registration.Revision > it.Revision)
      ++Outdated;
    applyServer(it, now);
  }
  for (const auto &it : page.Removed) {
    ServerRegistration lapsed;
    lapsed.Name = it.Name;
    lapsed.Revision = it.Revision;
    lapsed.State = ServerState::Lapsed;
    applyServer(lapsed, now);
  }
  if (page.Configuration)
    applyConfiguration(*page.Configuration);
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
        it.Registration.Revision < revision &&
        !present.contains(it.Registration.Name)) {
      missing.push_back(it.Registration);
      missing.back().State = ServerState::Lapsed;
      missing.back().Revision = revision;
    }
  for (const auto &it : missing)
    applyServer(it, now);
}

void FleetView::finishList(const std::set<std::string> &listed,
                           std::uint64_t baseRevision, TimePoint askedAt,
                           TimePoint now) {
  markMissingAsLapsed(listed, baseRevision, now);
  // Peers with an older view need a full snapshot: what was removed before the
  // list was read does not show in it.
  if (baseRevision > Revision) {
    HistoryStart = std::max(HistoryStart, baseRevision);
    RemovalsUnknownUpTo = std::max(RemovalsUnknownUpTo, baseRevision);
  }
  advance(baseRevision, askedAt);
}

bool FleetView::applyPeerChanges(const ViewChanges &changes,
                                 milliseconds peerViewAge, TimePoint now) {
  for (const auto &it : changes.Servers)
    applyPeerServer(it, now);
  if (Revision < changes.From || Revision == 0 ||
      changes.ConfigurationVersion > Routes.version())
    return false;
  if (changes.To >= Revision)
    advance(changes.To, now - peerViewAge - TransitTime);
  return true;
}

void FleetView::applySnapshot(const ViewSnapshot &snapshot,
                              milliseconds peerViewAge, TimePoint now) {
  for (const auto &it : snapshot.Servers)
    applyPeerServer(it, now);
  if (snapshot.Configuration.Version != 0)
    applyConfiguration(snapshot.Configuration);
  if (snapshot.Revision < Revision || snapshot.From > Revision)
    return;
  if (snapshot.From == 0) {
    std::set<std::string> present;
    for (const auto &it : snapshot.Servers)
      present.insert(it.Name);
    markMissingAsLapsed(present, snapshot.Revision, now);
    // The sender may have discarded removals.
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

milliseconds FleetView::age(TimePoint now) const {
  return std::chrono::duration_cast<milliseconds>(now - FreshAt);
}

ViewChanges FleetView::recentChanges(std::size_t maxServers,
                                     std::uint64_t since) const {
  ViewChanges changes;
  changes.From = std::max(HistoryStart, since);
  changes.To = Revision;
  changes.ConfigurationVersion = Routes.version();
  std::set<std::string_view> seen;
  for (auto it = History.rbegin(); it != History.rend(); ++it) {
    if (it->Revision <= since || !seen.insert(it->Name).second)
      continue;
    if (changes.Servers.size() == maxServers) {
      // Only a receiver that already has the changes left out may apply the
      // rest, so From is raised to the highest revision left out; History is
      // not sorted by revision.
      changes.From = std::max(changes.From, it->Revision);
      continue;
    }
    if (const auto *known = Directory.findByName(it->Name))
      changes.Servers.push_back(known->Registration);
  }
  return changes;
}

ViewSnapshot FleetView::snapshotSince(std::uint64_t after,
                                      std::uint64_t version) const {
  ViewSnapshot snapshot;
  snapshot.Revision = Revision;
  // Without a removal, a partial snapshot would leave the server in place.
  if (after >= RemovalsUnknownUpTo)
    snapshot.From = after;
  if (version < Routes.version())
    snapshot.Configuration = Routes.configuration();
  for (const auto &it : Directory.all())
    if (it.IsOccupied && it.Registration.Revision > snapshot.From)
      snapshot.Servers.push_back(it.Registration);
  return snapshot;
}

void FleetView::discardExpired(TimePoint now) {
  while (!History.empty() && now - History.front().At > HistoryRetention) {
    HistoryStart = std::max(HistoryStart, History.front().Revision);
    History.pop_front();
  }
  RemovalsUnknownUpTo =
      std::max(RemovalsUnknownUpTo, Directory.discardExpired(now));
}

} // namespace auburnroute::fleet
